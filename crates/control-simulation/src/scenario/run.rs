//! Runs scenarios: executes the steps, then checks that the cluster recovers from all faults.

use super::client::{Operator, Upstreams};
use super::{DiskStep, NetworkStep, ProcessStep, RequestStep, Scenario, Step};
use crate::NodeIndex;
use crate::cluster::Cluster;
use crate::invariants::Violation;
use thiserror::Error;
use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;

/// Time for the cluster to elect a leader before the first step, in milliseconds.
const STARTUP_MS: u64 = 6_000;
/// Time for the cluster to recover after the last fault, in milliseconds.
const RECOVERY_MS: u64 = 15_000;
/// Number of configurations that are submitted after the recovery. The last one must be committed.
const RECOVERY_PUTS: usize = 3;
/// Time for each configuration to be committed after the recovery, in milliseconds.
const RECOVERY_PUT_MS: u64 = 2_000;
/// Time for a read to be answered after the recovery, in milliseconds.
const RECOVERY_READ_MS: u64 = 1_100;
/// Time between the notice of a shutdown and the end of the process, in milliseconds.
const SHUTDOWN_NOTICE_MS: u64 = 600;
/// Subscription number of the balancer at each node.
const SUBSCRIBER: u64 = 1;

/// The failure of a scenario.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ScenarioError {
    /// An invariant was violated.
    #[error(transparent)]
    Violation(#[from] Violation),
    /// The cluster did not commit a configuration after all faults had ended.
    #[error("no configuration was committed after all faults had ended: {response:?}")]
    NotWritable {
        /// Response to the last configuration; `None` if there was no response.
        response: Option<CallResponse>,
    },
    /// A node did not answer a read after all faults had ended.
    #[error("node {node} did not answer a read after all faults had ended")]
    NotReadable {
        /// Node that the read was sent to.
        node: NodeIndex,
    },
}

impl Scenario {
    /// Runs the scenario on a new cluster. Returns the cluster after its recovery.
    ///
    /// # Errors
    ///
    /// If an invariant is violated or the cluster does not recover.
    pub fn run(&self) -> Result<Cluster, ScenarioError> {
        let cluster = Cluster::with_topology(
            self.seed,
            self.environment.topology,
            self.environment.network,
        );
        self.run_on(cluster)
    }

    /// Runs the scenario on a cluster that was just started. Returns the cluster after its
    /// recovery.
    ///
    /// # Errors
    ///
    /// If an invariant is violated or the cluster does not recover.
    pub fn run_on(&self, cluster: Cluster) -> Result<Cluster, ScenarioError> {
        let mut runner = Runner::new(cluster);
        for step in &self.steps {
            runner.apply(*step);
            runner.check()?;
        }
        runner.recover()?;
        Ok(runner.cluster)
    }
}

/// The state of a running scenario.
struct Runner {
    cluster: Cluster,
    operator: Operator,
    upstreams: Upstreams,
    /// Number of the current step, from 1.
    step_number: u64,
}

impl Runner {
    fn new(mut cluster: Cluster) -> Self {
        cluster.run_for(STARTUP_MS);
        (0..cluster.len()).for_each(|node| cluster.subscribe(node, SUBSCRIBER));
        Self {
            cluster,
            operator: Operator::default(),
            upstreams: Upstreams::default(),
            step_number: 0,
        }
    }

    /// Returns the first violated invariant as an error.
    fn check(&mut self) -> Result<(), ScenarioError> {
        match self.cluster.invariants.violation.take() {
            Some(violation) => Err(violation.into()),
            None => Ok(()),
        }
    }

    fn apply(&mut self, step: Step) {
        self.operator.read_responses(&self.cluster);
        self.step_number += 1;
        match step {
            Step::Request(request) => self.send_request(request),
            Step::Process(step) => self.apply_to_process(step),
            Step::Disk(step) => self.apply_to_disk(step),
            Step::Network(step) => self.apply_to_network(step),
            Step::ClearFaults => self.cluster.clear_faults(),
            Step::Wait { duration_ms } => self.cluster.run_for(duration_ms),
        }
    }

    fn send_request(&mut self, request: RequestStep) {
        let Self {
            cluster,
            operator,
            upstreams,
            step_number,
        } = self;
        let zone_name = |zone: u8| format!("zone-{zone}");
        match request {
            RequestStep::Put { node, with_rival } => {
                operator.put(cluster, node);
                if with_rival {
                    operator.put(cluster, (node + 1) % cluster.len());
                }
            }
            RequestStep::RetryPut { node } => operator.retry_put(cluster, node),
            RequestStep::Evacuate { node, zone } => {
                cluster.submit(
                    node,
                    Command::Evacuate {
                        zone: zone_name(zone),
                    },
                );
            }
            RequestStep::EndEvacuation { node, zone } => {
                cluster.submit(
                    node,
                    Command::EndEvacuation {
                        zone: zone_name(zone),
                    },
                );
            }
            RequestStep::Read { node } => {
                cluster.read(node);
            }
            RequestStep::Register { node, upstream } => {
                upstreams.register(cluster, node, upstream, *step_number);
            }
            RequestStep::Drain { node, upstream } => {
                upstreams.drain(cluster, node, upstream, *step_number);
            }
            RequestStep::Deregister { node, upstream } => {
                upstreams.deregister(cluster, node, upstream, *step_number);
            }
        }
    }

    fn apply_to_process(&mut self, step: ProcessStep) {
        let cluster = &mut self.cluster;
        match step {
            ProcessStep::Crash { node } => cluster.crash(node),
            ProcessStep::CrashAll => cluster.crash_all(),
            ProcessStep::Shutdown { node } => {
                cluster.announce_shutdown(node);
                cluster.run_for(SHUTDOWN_NOTICE_MS);
                cluster.stop(node);
            }
            ProcessStep::Start { node } => cluster.start(node),
            ProcessStep::StartAll => cluster.start_all(),
            ProcessStep::Pause { node, duration_ms } => cluster.pause(node, duration_ms),
        }
    }

    fn apply_to_disk(&mut self, step: DiskStep) {
        let cluster = &mut self.cluster;
        match step {
            DiskStep::Wipe { node } => {
                cluster.wipe_disk(node);
                cluster.start(node);
            }
            DiskStep::WipeAndCrashAll { node } => {
                let others = (0..cluster.len()).filter(|other| *other != node);
                others.for_each(|other| cluster.crash(other));
                cluster.wipe_disk(node);
                cluster.start_all();
            }
            DiskStep::Stall { node, duration_ms } => cluster.stall_disk(node, duration_ms),
            DiskStep::RejectWrites { node, duration_ms } => {
                cluster.reject_writes(node, duration_ms)
            }
        }
    }

    fn apply_to_network(&mut self, step: NetworkStep) {
        let nodes = self.cluster.len();
        let network = &mut self.cluster.network;
        match step {
            NetworkStep::Isolate {
                node,
                inbound,
                outbound,
            } => {
                for other in (0..nodes).filter(|other| *other != node) {
                    if inbound {
                        network.partition_direction(other, node);
                    }
                    if outbound {
                        network.partition_direction(node, other);
                    }
                }
            }
            NetworkStep::Split { group_size } => {
                for node in 0..group_size {
                    (group_size..nodes).for_each(|other| network.partition(node, other));
                }
            }
            NetworkStep::Partition { node, other } => network.partition(node, other),
            NetworkStep::Heal => network.heal(),
        }
    }

    /// Ends all faults. Checks that within a bounded time the cluster commits a configuration and
    /// each node answers reads.
    fn recover(&mut self) -> Result<(), ScenarioError> {
        self.cluster.clear_faults();
        self.cluster
            .run_for(RECOVERY_MS + self.cluster.network.conditions.delayed_delivery_ms);
        self.check_writable()?;
        for node in 0..self.cluster.len() {
            self.check_readable(node)?;
        }
        self.cluster.check_all();
        self.check()
    }

    fn check_writable(&mut self) -> Result<(), ScenarioError> {
        self.operator.read_responses(&self.cluster);
        let mut last_response = None;
        for _ in 0..RECOVERY_PUTS {
            let token = self.operator.put(&mut self.cluster, 0);
            self.cluster.run_for(RECOVERY_PUT_MS);
            self.operator.read_responses(&self.cluster);
            last_response = self.cluster.responses.get(&token).cloned();
        }
        match last_response {
            Some(CallResponse::Acknowledged) => Ok(()),
            response => Err(ScenarioError::NotWritable { response }),
        }
    }

    fn check_readable(&mut self, node: NodeIndex) -> Result<(), ScenarioError> {
        let token = self.cluster.read(node);
        self.cluster.run_for(RECOVERY_READ_MS);
        match self.cluster.responses.get(&token) {
            Some(CallResponse::Document(_)) => Ok(()),
            _ => Err(ScenarioError::NotReadable { node }),
        }
    }
}
