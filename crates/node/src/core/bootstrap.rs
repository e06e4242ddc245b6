//! Initial state of a machine with an empty disk, which either bootstraps the group or joins it.

use crate::settings::NodeSettings;
use std::net::SocketAddr;
use woadstall_consensus::{DurableState, Member, ReplicaId, Snapshot};
use woadstall_control::machine::founding_snapshot;
use woadstall_control::shards::hash;

/// Returns the state of a machine whose disk is empty. The seeds form the initial group at the
/// first start of the whole system. Any other machine gets a new identity and joins the group.
pub(super) fn initial_state(settings: &NodeSettings, control_address: SocketAddr) -> DurableState {
    if !is_initial_member(settings, control_address) {
        let id = fastrand::u64(1..);
        return DurableState::new(id, Snapshot::default());
    }
    let initial_member = |seed: &SocketAddr| Member {
        id: initial_member_id(*seed),
        address: settings.internal_address_of(*seed).to_string(),
    };
    let members: Vec<Member> = settings.seeds.iter().map(initial_member).collect();
    DurableState::new(
        initial_member_id(control_address),
        founding_snapshot(&members),
    )
}

/// Returns whether a machine with an empty disk and this control address belongs to the initial
/// members of the groups.
pub(super) fn is_initial_member(settings: &NodeSettings, control_address: SocketAddr) -> bool {
    settings.bootstrap && settings.seeds.contains(&control_address)
}

/// Returns the replica id of an initial member. The id is derived from the control address, so that
/// all initial members know each other's ids without communication.
pub(super) fn initial_member_id(control_address: SocketAddr) -> ReplicaId {
    hash(&control_address.to_string()).max(1)
}
