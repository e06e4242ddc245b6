//! The final phase of a scenario: ends all faults, injects a final fault if one is chosen, and adds
//! clients that request everything that was acknowledged before.

use super::faults::FaultKinds;
use super::workload::{groups, keys, locks, sequences};
use crate::clients::{FinalClient, FinalGoal, SavedRevision};
use crate::cluster::{Cluster, HISTORY_MS};
use crate::history::Request;
use std::collections::BTreeMap;
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command, Query, group_of};
use woadstall_coordination::machine::WatchRequest;
use woadstall_coordination::outcome::Outcome;

/// Downtime of the machines after the final fault, in milliseconds.
const DOWN_MS: u64 = 1_000;
/// How long a machine may wait for new events before it answers a final watch, in milliseconds.
const WATCH_WAIT_MS: u64 = 1_000;
/// Lease duration of the final lock acquisitions, in milliseconds.
const LEASE_MS: u64 = 2_000;
/// Number of disks lost by [`FinalFault::LoseTwoDisks`].
const LOST_DISK_COUNT: usize = 2;
/// Longest wait for an acknowledgement before the final fault is injected, in milliseconds.
const ACKNOWLEDGEMENT_TIMEOUT_MS: u64 = 2_000;

/// The fault at the end of a scenario, after all other faults have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalFault {
    /// No final fault.
    NoFault,
    /// All processes are killed at the same time.
    KillAll,
    /// All machines lose power at the same time.
    LosePowerOnAll,
    /// Two machines lose their disks, and all others lose power at the same time.
    LoseTwoDisks,
}

impl FinalFault {
    /// Chooses a random final fault of the given kinds.
    pub(super) fn draw(random: &mut fastrand::Rng, fault_kinds: FaultKinds) -> Self {
        let final_faults = [
            (true, Self::NoFault),
            (fault_kinds.process_ends, Self::KillAll),
            (fault_kinds.power_losses, Self::LosePowerOnAll),
            (fault_kinds.disk_losses, Self::LoseTwoDisks),
            (fault_kinds.disk_losses, Self::LoseTwoDisks),
        ];
        let selected = final_faults
            .into_iter()
            .filter(|(is_selected, _)| *is_selected);
        let selected: Vec<Self> = selected.map(|(_, final_fault)| final_fault).collect();
        random.choice(selected).unwrap_or(Self::NoFault)
    }
}

/// Stops the clients, ends all faults and injects the final fault, right after an acknowledgement
/// so that the acknowledged write is at risk. Returns the injected fault:
/// [`FinalFault::LosePowerOnAll`] instead of [`FinalFault::LoseTwoDisks`] if the loss of the two
/// chosen disks could lose committed entries.
pub(super) fn inject(cluster: &mut Cluster, final_fault: FinalFault) -> FinalFault {
    if final_fault != FinalFault::NoFault {
        wait_for_acknowledgement(cluster);
    }
    cluster.stop_clients();
    cluster.clear_faults();
    let present_nodes = cluster.present_nodes();
    match final_fault {
        FinalFault::NoFault => {}
        FinalFault::KillAll => present_nodes
            .iter()
            .for_each(|node| cluster.kill(*node, DOWN_MS)),
        FinalFault::LosePowerOnAll => lose_power(cluster, &present_nodes),
        FinalFault::LoseTwoDisks => {
            let lost_disks = disks_to_lose(cluster, &present_nodes);
            let others: Vec<NodeIndex> = present_nodes
                .iter()
                .copied()
                .filter(|node| !lost_disks.contains(node))
                .collect();
            lose_power(cluster, &others);
            lost_disks
                .iter()
                .for_each(|node| cluster.lose_disk(*node, DOWN_MS));
            if lost_disks.is_empty() {
                return FinalFault::LosePowerOnAll;
            }
        }
    }
    final_fault
}

fn lose_power(cluster: &mut Cluster, nodes: &[NodeIndex]) {
    let nodes = nodes.iter();
    nodes.for_each(|node| cluster.lose_power(*node, DOWN_MS));
}

/// Two random nodes whose disks can be lost without the loss of committed entries; empty if the two
/// chosen nodes can't lose theirs.
fn disks_to_lose(cluster: &mut Cluster, present_nodes: &[NodeIndex]) -> Vec<NodeIndex> {
    let mut nodes = present_nodes.to_vec();
    cluster.random.shuffle(&mut nodes);
    nodes.truncate(LOST_DISK_COUNT);
    if cluster.can_lose_disks(&nodes) {
        nodes
    } else {
        Vec::new()
    }
}

/// Runs the cluster until the next operation is acknowledged, or until the timeout.
fn wait_for_acknowledgement(cluster: &mut Cluster) {
    let executed_before = cluster.history.executed().count();
    let end_ms = cluster.now_ms + ACKNOWLEDGEMENT_TIMEOUT_MS;
    while cluster.history.executed().count() == executed_before && cluster.step_until(end_ms) {}
}

/// Adds clients that read all keys, request a number of each sequence, acquire each lock, and
/// resume watches of each group from the oldest and the newest recent revision in
/// `saved_revisions`.
pub(super) fn add_final_clients(cluster: &mut Cluster, saved_revisions: &[SavedRevision]) {
    for key in keys() {
        let call = Call::Query(Query::Get { key });
        add_final_client(cluster, Request::Call(call), FinalGoal::Executed);
    }
    for sequence in sequences() {
        let call = Call::Command(Command::NextNumber { sequence });
        add_final_client(cluster, Request::Call(call), FinalGoal::Executed);
    }
    for lock in locks() {
        let call = Call::Command(Command::AcquireLock {
            lock,
            owner: "final".to_owned(),
            lease_ms: LEASE_MS,
        });
        add_final_client(cluster, Request::Call(call), FinalGoal::Executed);
    }
    let acknowledged = acknowledged_revisions(cluster);
    for group in groups() {
        let until = acknowledged.get(&group).copied().unwrap_or_default();
        let goal = FinalGoal::EventsUpTo(until);
        let oldest_ms = cluster.now_ms.saturating_sub(HISTORY_MS / 2);
        let is_recent = |saved: &&SavedRevision| {
            saved.group == group && saved.received_ms >= oldest_ms && saved.revision > 0
        };
        let recent: Vec<&SavedRevision> = saved_revisions.iter().filter(is_recent).collect();
        let oldest_and_newest = [recent.first(), recent.last()];
        for saved in oldest_and_newest.into_iter().flatten() {
            add_final_client(cluster, watch_request(&group, saved), goal);
        }
    }
}

fn watch_request(group: &str, saved: &SavedRevision) -> Request {
    Request::Watch {
        watch: WatchRequest {
            group: group.to_owned(),
            after: saved.revision,
            wait_ms: WATCH_WAIT_MS,
        },
        received_ms: saved.received_ms,
    }
}

/// The greatest acknowledged revision of each group.
fn acknowledged_revisions(cluster: &Cluster) -> BTreeMap<String, u64> {
    let mut revisions: BTreeMap<String, u64> = BTreeMap::new();
    for (operation, _, outcome) in cluster.history.executed() {
        if let (Some(Command::Put { key, .. }), Outcome::Put { revision }) =
            (operation.command(), outcome)
        {
            let greatest = revisions.entry(group_of(key).to_owned()).or_default();
            *greatest = (*greatest).max(*revision);
        }
    }
    revisions
}

fn add_final_client(cluster: &mut Cluster, request: Request, goal: FinalGoal) {
    let present_nodes = cluster.present_nodes();
    let node = cluster.random.choice(present_nodes).unwrap_or_default();
    FinalClient::add(cluster, request, goal, node);
}
