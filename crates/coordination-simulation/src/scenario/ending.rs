//! The end of a scenario: the faults end or a final one strikes, then clients ask for everything
//! that was acknowledged.

use super::faults::FaultKinds;
use super::workload::{groups, keys, locks, sequences};
use crate::clients::{FinalCaller, FinalGoal, SavedRevision};
use crate::cluster::{Cluster, HISTORY_MS};
use crate::history::Request;
use std::collections::BTreeMap;
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command, Query, group_of};
use woadstall_coordination::machine::WatchRequest;
use woadstall_coordination::outcome::Outcome;

/// How long all machines are down after a final fault, in milliseconds.
const DOWN_MS: u64 = 1_000;
/// How long the final watches wait, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// The lease of the final acquisitions, in milliseconds.
const HOLD_MS: u64 = 2_000;
/// The disks that are lost at a time.
const LOST_DISKS: usize = 2;
/// How long to wait for an acknowledgement after which the final fault strikes, in milliseconds.
const ACKNOWLEDGEMENT_MS: u64 = 2_000;

/// How a scenario ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All faults end.
    Calm,
    /// All processes are killed.
    KillAll,
    /// All machines lose power.
    LosePowerOfAll,
    /// Two disks are lost, and all other machines lose power at the same time.
    LoseTwoDisks,
}

impl Ending {
    /// One by chance, of those that belong to the kinds of faults.
    pub(super) fn draw(random: &mut fastrand::Rng, kinds: FaultKinds) -> Self {
        let endings = [
            (true, Self::Calm),
            (kinds.process_ends, Self::KillAll),
            (kinds.power_losses, Self::LosePowerOfAll),
            (kinds.disk_losses, Self::LoseTwoDisks),
            (kinds.disk_losses, Self::LoseTwoDisks),
        ];
        let possible = endings.into_iter().filter(|(is_possible, _)| *is_possible);
        let possible: Vec<Self> = possible.map(|(_, ending)| ending).collect();
        random.choice(possible).unwrap_or(Self::Calm)
    }
}

/// Ends the clients and all faults, and strikes with the final one right after an acknowledgement.
/// Returns the ending; disks are kept where more were lost before than the group bears.
pub(super) fn strike(cluster: &mut Cluster, ending: Ending) -> Ending {
    if ending != Ending::Calm {
        wait_for_acknowledgement(cluster);
    }
    cluster.end_clients();
    cluster.clear_faults();
    let present = cluster.present();
    match ending {
        Ending::Calm => {}
        Ending::KillAll => present.iter().for_each(|node| cluster.kill(*node, DOWN_MS)),
        Ending::LosePowerOfAll => lose_power(cluster, &present),
        Ending::LoseTwoDisks => {
            let lost = disks_to_lose(cluster, &present);
            let others: Vec<NodeIndex> = present
                .iter()
                .copied()
                .filter(|node| !lost.contains(node))
                .collect();
            lose_power(cluster, &others);
            lost.iter()
                .for_each(|node| cluster.lose_disk(*node, DOWN_MS));
            if lost.is_empty() {
                return Ending::LosePowerOfAll;
            }
        }
    }
    ending
}

fn lose_power(cluster: &mut Cluster, nodes: &[NodeIndex]) {
    let nodes = nodes.iter();
    nodes.for_each(|node| cluster.lose_power(*node, DOWN_MS));
}

/// Two disks that the group can lose now, or none.
fn disks_to_lose(cluster: &mut Cluster, present: &[NodeIndex]) -> Vec<NodeIndex> {
    let mut nodes = present.to_vec();
    cluster.random.shuffle(&mut nodes);
    nodes.truncate(LOST_DISKS);
    if cluster.may_lose_disks(&nodes) {
        nodes
    } else {
        Vec::new()
    }
}

fn wait_for_acknowledgement(cluster: &mut Cluster) {
    let known = cluster.history.executed().count();
    let end_ms = cluster.now_ms + ACKNOWLEDGEMENT_MS;
    while cluster.history.executed().count() == known && cluster.step(end_ms) {}
}

/// Adds clients that read all keys, ask for numbers and locks, and resume watches from revisions
/// that were saved.
pub(super) fn add_final_clients(cluster: &mut Cluster, saved: &[SavedRevision]) {
    for key in keys() {
        let call = Call::Query(Query::Get { key });
        add(cluster, Request::Call(call), FinalGoal::Executed);
    }
    for sequence in sequences() {
        let call = Call::Command(Command::NextNumber { sequence });
        add(cluster, Request::Call(call), FinalGoal::Executed);
    }
    for lock in locks() {
        let call = Call::Command(Command::AcquireLock {
            lock,
            owner: "final".to_owned(),
            lease_ms: HOLD_MS,
        });
        add(cluster, Request::Call(call), FinalGoal::Executed);
    }
    let acknowledged = acknowledged_revisions(cluster);
    for group in groups() {
        let until = acknowledged.get(&group).copied().unwrap_or_default();
        let goal = FinalGoal::EventsUpTo(until);
        let of_group = saved.iter().filter(|saved| saved.group == group);
        let oldest_ms = cluster.now_ms.saturating_sub(HISTORY_MS / 2);
        let recent = of_group.filter(|saved| saved.received_ms >= oldest_ms && saved.revision > 0);
        let recent: Vec<&SavedRevision> = recent.collect();
        let resumed = [recent.first(), recent.last()];
        for saved in resumed.into_iter().flatten() {
            add(cluster, watch(&group, saved), goal);
        }
    }
}

fn watch(group: &str, saved: &SavedRevision) -> Request {
    Request::Watch {
        watch: WatchRequest {
            group: group.to_owned(),
            after: saved.revision,
            wait_ms: WAIT_MS,
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
            let known = revisions.entry(group_of(key).to_owned()).or_default();
            *known = (*known).max(*revision);
        }
    }
    revisions
}

fn add(cluster: &mut Cluster, request: Request, goal: FinalGoal) {
    let present = cluster.present();
    let node = cluster.random.choice(present).unwrap_or_default();
    FinalCaller::add(cluster, request, goal, node);
}
