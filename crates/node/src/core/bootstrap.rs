//! The first start of a machine: with the whole group, or as a machine that joins it later.

use crate::settings::NodeSettings;
use std::net::SocketAddr;
use woadstall_consensus::{DurableState, Member, ReplicaId, Snapshot};
use woadstall_control::machine::founding_snapshot;
use woadstall_control::shards::hash;

/// The state of a machine whose disk is empty. The seeds found the group at the first start of the
/// whole system; any other machine gets a new identity and joins the group.
pub(super) fn initial_state(settings: &NodeSettings, control: SocketAddr) -> DurableState {
    if !is_founder(settings, control) {
        let id = fastrand::u64(1..);
        return DurableState::new(id, Snapshot::default());
    }
    let founder = |seed: &SocketAddr| Member {
        id: founder_id(*seed),
        address: settings.internal_address_of(*seed).to_string(),
    };
    let founders: Vec<Member> = settings.seeds.iter().map(founder).collect();
    DurableState::new(founder_id(control), founding_snapshot(&founders))
}

/// Whether the machine with this control address, whose disk is empty, founds the groups.
pub(super) fn is_founder(settings: &NodeSettings, control: SocketAddr) -> bool {
    settings.bootstrap && settings.seeds.contains(&control)
}

/// The identity of a founder. Derived from its control address, so that all founders agree on it
/// without a message.
pub(super) fn founder_id(seed: SocketAddr) -> ReplicaId {
    hash(&seed.to_string()).max(1)
}
