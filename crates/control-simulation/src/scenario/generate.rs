//! Generates scenarios from a seed.

use super::{DiskStep, Environment, NetworkStep, ProcessStep, RequestStep, Scenario, Step};
use crate::NodeIndex;
use fastrand::Rng;
use std::ops::Range;

/// The kinds of faults that a generated scenario may contain.
#[derive(Clone, Copy, Debug)]
pub struct FaultKinds {
    /// Crashes, shutdowns and pauses of single processes.
    pub processes: bool,
    /// Network partitions.
    pub partitions: bool,
    /// Stalled disks and rejected writes.
    pub disk_stalls: bool,
    /// Losses of disks, one at a time with time to recover.
    pub disk_losses: bool,
    /// Crashes of all processes at the same time.
    pub power_losses: bool,
}

/// Faults of all kinds.
pub const ALL_FAULTS: FaultKinds = FaultKinds {
    processes: true,
    partitions: true,
    disk_stalls: true,
    disk_losses: true,
    power_losses: true,
};

/// Time for a node with a new disk to recover before the next loss, in milliseconds.
const DISK_RECOVERY_MS: u64 = 9_000;
/// Number of zones that scenarios evacuate.
const ZONES: u8 = 3;
/// Number of upstreams that register.
const UPSTREAMS: u8 = 12;
/// Number of kinds of steps, which are equally probable.
const STEP_KINDS: u8 = 32;
/// Duration of a pause of a process, in milliseconds.
const PAUSE_MS: Range<u64> = 200..20_000;
/// Duration of a stall or of rejected writes of a disk, in milliseconds.
const DISK_FAULT_MS: Range<u64> = 200..8_000;
/// Duration of a step without a request or a fault, in milliseconds.
const LONG_WAIT_MS: Range<u64> = 10..3_000;
/// Wait between steps, in milliseconds.
const SHORT_WAIT_MS: Range<u64> = 1..250;

impl Scenario {
    /// Generates a scenario of at least `min_steps` steps. The last group of related steps may
    /// exceed this number.
    pub fn generate(
        seed: u64,
        environment: Environment,
        faults: FaultKinds,
        min_steps: usize,
    ) -> Self {
        let random = Rng::with_seed(seed);
        let mut generator = Generator {
            random,
            nodes: environment.topology.nodes,
            faults,
        };
        let mut steps = Vec::new();
        while steps.len() < min_steps {
            steps.extend(generator.next_steps());
            steps.push(generator.wait(SHORT_WAIT_MS));
        }
        Self {
            seed,
            environment,
            steps,
        }
    }
}

struct Generator {
    random: Rng,
    nodes: usize,
    faults: FaultKinds,
}

impl Generator {
    fn next_steps(&mut self) -> Vec<Step> {
        let node = self.random.usize(..self.nodes);
        let kind = self.random.u8(..STEP_KINDS);
        if let Some(request) = self.request(kind, node) {
            return vec![Step::Request(request)];
        }
        if let Some(step) = self.fault(kind, node) {
            return vec![step];
        }
        match kind {
            27 if self.faults.power_losses => {
                vec![
                    Step::Process(ProcessStep::CrashAll),
                    Step::Process(ProcessStep::StartAll),
                ]
            }
            28 if self.faults.disk_losses && self.random.u8(..2) == 0 => self.disk_loss(node),
            _ => vec![self.wait(LONG_WAIT_MS)],
        }
    }

    fn request(&mut self, kind: u8, node: NodeIndex) -> Option<RequestStep> {
        let request = match kind {
            0..=5 => RequestStep::Put {
                node,
                with_rival: self.random.u8(..4) == 0,
            },
            6..=7 => RequestStep::RetryPut { node },
            8 => RequestStep::Evacuate {
                node,
                zone: self.random.u8(..ZONES),
            },
            9 => RequestStep::EndEvacuation {
                node,
                zone: self.random.u8(..ZONES),
            },
            10..=11 => RequestStep::Read { node },
            12..=13 => RequestStep::Register {
                node,
                upstream: self.random.u8(..UPSTREAMS),
            },
            14 => RequestStep::Drain {
                node,
                upstream: self.random.u8(..UPSTREAMS),
            },
            15 => RequestStep::Deregister {
                node,
                upstream: self.random.u8(..UPSTREAMS),
            },
            _ => return None,
        };
        Some(request)
    }

    fn fault(&mut self, kind: u8, node: NodeIndex) -> Option<Step> {
        let step = match kind {
            16 if self.faults.processes => Step::Process(ProcessStep::Crash { node }),
            17 if self.faults.processes => Step::Process(ProcessStep::Shutdown { node }),
            18..=19 => Step::Process(ProcessStep::StartAll),
            20 if self.faults.processes => Step::Process(ProcessStep::Pause {
                node,
                duration_ms: self.random.u64(PAUSE_MS),
            }),
            21 if self.faults.disk_stalls => Step::Disk(self.disk_stall(node)),
            22..=24 if self.faults.partitions => Step::Network(self.partition(kind, node)),
            25..=26 => Step::Network(NetworkStep::Heal),
            _ => return None,
        };
        Some(step)
    }

    fn disk_stall(&mut self, node: NodeIndex) -> DiskStep {
        let rejects_writes = self.random.bool();
        let duration_ms = self.random.u64(DISK_FAULT_MS);
        if rejects_writes {
            DiskStep::RejectWrites { node, duration_ms }
        } else {
            DiskStep::Stall { node, duration_ms }
        }
    }

    fn partition(&mut self, kind: u8, node: NodeIndex) -> NetworkStep {
        match kind {
            22 => {
                let direction = self.random.u8(..3);
                NetworkStep::Isolate {
                    node,
                    inbound: direction != 0,
                    outbound: direction != 1,
                }
            }
            23 => NetworkStep::Split {
                group_size: self.random.usize(1..self.nodes),
            },
            _ => {
                let other = (node + self.random.usize(1..self.nodes)) % self.nodes;
                NetworkStep::Partition { node, other }
            }
        }
    }

    /// The loss of a disk. Before and after it, all faults end and the cluster gets time to
    /// recover.
    fn disk_loss(&mut self, node: NodeIndex) -> Vec<Step> {
        let loss = match self.faults.power_losses && self.random.bool() {
            true => DiskStep::WipeAndCrashAll { node },
            false => DiskStep::Wipe { node },
        };
        let recovery = Step::Wait {
            duration_ms: DISK_RECOVERY_MS,
        };
        vec![
            Step::ClearFaults,
            recovery,
            Step::Disk(loss),
            Step::ClearFaults,
            recovery,
        ]
    }

    fn wait(&mut self, duration_ms: Range<u64>) -> Step {
        Step::Wait {
            duration_ms: self.random.u64(duration_ms),
        }
    }
}
