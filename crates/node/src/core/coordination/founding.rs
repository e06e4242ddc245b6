//! The first start of the service on a machine: with the whole group, or as a machine that joins it
//! later.

use super::super::bootstrap::{founder_id, is_founder};
use crate::settings::NodeSettings;
use std::net::SocketAddr;
use woadstall_consensus::{DurableState, Member, Snapshot};
use woadstall_coordination::machine::initial_snapshot;

/// The state of a machine whose storage is empty. The seeds found the group at the first start of
/// the whole system; any other machine gets a new identity and joins the group.
pub(super) fn initial_state(settings: &NodeSettings, control: SocketAddr) -> DurableState {
    if !is_founder(settings, control) {
        let id = fastrand::u64(1..);
        return DurableState::new(id, Snapshot::default());
    }
    let founder = |seed: &SocketAddr| {
        let address = settings.coordination_address_of(seed.ip())?;
        Some(Member {
            id: founder_id(*seed),
            address: address.to_string(),
        })
    };
    let founders: Vec<Member> = settings.seeds.iter().filter_map(founder).collect();
    DurableState::new(founder_id(control), initial_snapshot(&founders))
}
