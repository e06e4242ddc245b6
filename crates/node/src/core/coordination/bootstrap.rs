//! Initial state of the coordination service on a machine with an empty storage, which either
//! bootstraps the group or joins it.

use super::super::bootstrap::{initial_member_id, is_initial_member};
use crate::settings::NodeSettings;
use std::net::SocketAddr;
use woadstall_consensus::{DurableState, Member, Snapshot};
use woadstall_coordination::machine::initial_snapshot;

/// Returns the state of a machine whose storage is empty. The seeds form the initial group at the
/// first start of the whole system. Any other machine gets a new identity and joins the group.
pub(super) fn initial_state(settings: &NodeSettings, control_address: SocketAddr) -> DurableState {
    if !is_initial_member(settings, control_address) {
        let id = fastrand::u64(1..);
        return DurableState::new(id, Snapshot::default());
    }
    let initial_member = |seed: &SocketAddr| {
        let address = settings.coordination_address_of(seed.ip())?;
        Some(Member {
            id: initial_member_id(*seed),
            address: address.to_string(),
        })
    };
    let members: Vec<Member> = settings.seeds.iter().filter_map(initial_member).collect();
    DurableState::new(
        initial_member_id(control_address),
        initial_snapshot(&members),
    )
}
