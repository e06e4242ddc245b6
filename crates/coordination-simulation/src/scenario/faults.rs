//! Random fault injection. Faults may overlap.

use crate::cluster::{Cluster, Direction};
use std::ops::Range;
use woadstall_control_simulation::NodeIndex;

/// Number of injected faults.
const FAULT_COUNT: Range<usize> = 5..14;
/// Duration of freezes, stalls and partitions, in milliseconds.
const DURATION_MS: Range<u64> = 100..6_000;
/// Downtime of a machine, in milliseconds.
const DOWN_MS: Range<u64> = 200..2_500;

/// The kinds of faults that may be injected.
#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the kinds of faults are independent of each other"
)]
pub struct FaultKinds {
    /// Kills and shutdowns of processes.
    pub process_ends: bool,
    /// Power losses of one machine or of all.
    pub power_losses: bool,
    /// Freezes of processes.
    pub freezes: bool,
    /// Partitions and connection resets.
    pub network: bool,
    /// Stalls of disks.
    pub disk_stalls: bool,
    /// Losses of disks and replacements of machines.
    pub disk_losses: bool,
}

impl FaultKinds {
    /// No faults.
    pub const NONE: Self = Self {
        process_ends: false,
        power_losses: false,
        freezes: false,
        network: false,
        disk_stalls: false,
        disk_losses: false,
    };
    /// Faults of all kinds.
    pub const ALL: Self = Self {
        process_ends: true,
        power_losses: true,
        freezes: true,
        network: true,
        disk_stalls: true,
        disk_losses: true,
    };

    /// The faults of the selected kinds. A fault that is listed twice is injected twice as often.
    fn faults(self) -> Vec<Fault> {
        let fault_kinds = [
            (
                self.process_ends,
                &[Fault::Kill, Fault::ShutDown, Fault::KillAll][..],
            ),
            (
                self.power_losses,
                &[Fault::LosePower, Fault::LosePower, Fault::LosePowerOnAll],
            ),
            (
                self.freezes,
                &[Fault::Freeze, Fault::FreezeLeader, Fault::FreezeLeader],
            ),
            (
                self.network,
                &[
                    Fault::Isolate,
                    Fault::IsolateLeader,
                    Fault::PartitionRegion,
                    Fault::PartitionPair,
                    Fault::ResetConnections,
                ],
            ),
            (
                self.disk_stalls,
                &[Fault::StallDisk, Fault::StallLeaderDisk],
            ),
            (self.disk_losses, &[Fault::LoseDisk, Fault::Replace]),
        ];
        let selected = fault_kinds
            .into_iter()
            .filter(|(is_selected, _)| *is_selected);
        selected
            .flat_map(|(_, faults)| faults.iter().copied())
            .collect()
    }
}

/// A fault that is injected at a random time. Its node and its duration are random, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the names describe the faults")]
pub enum Fault {
    Kill,
    KillAll,
    ShutDown,
    LosePower,
    LosePowerOnAll,
    Freeze,
    FreezeLeader,
    Isolate,
    IsolateLeader,
    PartitionRegion,
    PartitionPair,
    ResetConnections,
    StallDisk,
    StallLeaderDisk,
    LoseDisk,
    Replace,
}

/// Runs the cluster for `duration_ms` and injects random faults at random times.
pub(super) fn inject(cluster: &mut Cluster, fault_kinds: FaultKinds, duration_ms: u64) {
    let end_ms = cluster.now_ms + duration_ms;
    let faults = fault_kinds.faults();
    if !faults.is_empty() {
        let count = cluster.random.usize(FAULT_COUNT);
        let random = &mut cluster.random;
        let mut offsets_ms: Vec<u64> = (0..count).map(|_| random.u64(..duration_ms)).collect();
        offsets_ms.sort_unstable();
        let start_ms = cluster.now_ms;
        for offset_ms in offsets_ms {
            let wait_ms = (start_ms + offset_ms) - cluster.now_ms;
            cluster.run_for(wait_ms);
            if let Some(fault) = cluster.random.choice(&faults).copied() {
                fault.inject(cluster);
            }
        }
    }
    cluster.run_for(end_ms - cluster.now_ms);
}

impl Fault {
    fn inject(self, cluster: &mut Cluster) {
        let present_nodes = cluster.present_nodes();
        let node = cluster
            .random
            .choice(&present_nodes)
            .copied()
            .unwrap_or_default();
        let leader = cluster.leader().unwrap_or(node);
        let duration_ms = cluster.random.u64(DURATION_MS);
        let down_ms = cluster.random.u64(DOWN_MS);
        match self {
            Self::Kill => cluster.kill(node, down_ms),
            Self::KillAll => present_nodes
                .iter()
                .for_each(|node| cluster.kill(*node, down_ms)),
            Self::ShutDown => cluster.shut_down(node, down_ms),
            Self::LosePower => cluster.lose_power(node, down_ms),
            Self::LosePowerOnAll => {
                let nodes = present_nodes.iter();
                nodes.for_each(|node| cluster.lose_power(*node, down_ms));
            }
            Self::Freeze => cluster.freeze(node, duration_ms),
            Self::FreezeLeader => cluster.freeze(leader, duration_ms),
            Self::Isolate => partition_randomly(cluster, &[node], duration_ms),
            Self::IsolateLeader => partition_randomly(cluster, &[leader], duration_ms),
            Self::PartitionRegion => {
                let region = cluster.region(node);
                let in_region = |node: &NodeIndex| cluster.region(*node) == region;
                let nodes: Vec<NodeIndex> =
                    present_nodes.iter().copied().filter(in_region).collect();
                partition_randomly(cluster, &nodes, duration_ms);
            }
            Self::PartitionPair => {
                let other = cluster
                    .random
                    .choice(&present_nodes)
                    .copied()
                    .unwrap_or(node);
                partition_randomly(cluster, &[node, other], duration_ms);
            }
            Self::ResetConnections => cluster.reset_connections(node),
            Self::StallDisk => cluster.stall_disk(node, duration_ms),
            Self::StallLeaderDisk => cluster.stall_disk(leader, duration_ms),
            Self::LoseDisk if cluster.can_lose_disks(&[node]) => cluster.lose_disk(node, down_ms),
            Self::Replace if cluster.can_lose_disks(&[node]) => cluster.replace(node, down_ms),
            // The loss of this disk could lose committed entries, so the node only loses power.
            Self::LoseDisk | Self::Replace => cluster.lose_power(node, down_ms),
        }
    }
}

fn partition_randomly(cluster: &mut Cluster, nodes: &[NodeIndex], duration_ms: u64) {
    let directions = [Direction::Inbound, Direction::Outbound, Direction::Both];
    let direction = cluster.random.choice(directions).unwrap_or(Direction::Both);
    cluster.partition(nodes, direction, duration_ms);
}
