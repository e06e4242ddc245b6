//! Invariants that are checked after each event.

use crate::NodeIndex;
use crate::balancer::Balancer;
use crate::history::NotLinearizable;
use nanoserde::DeBin;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;
use woadstall_consensus::{DurableState, Entry, EntryPayload, ReplicaId};
use woadstall_control::command::Command;
use woadstall_control::machine::ControlMachine;
use woadstall_control::registry::UpstreamStatus;
use woadstall_control::state::ControlState;

/// Maximum number of log entries of a process, also while faults are active.
const MAX_LOG_ENTRIES: usize = 4_000;

/// The part of the applied state that is compared between processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedState {
    /// The active generation.
    pub generation: u64,
    /// Names of the evacuated zones.
    pub evacuated: Vec<String>,
}

/// A violated invariant.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Violation {
    /// A process did not compact its log.
    #[error("node {node} has {entries} log entries, the limit is {MAX_LOG_ENTRIES}")]
    LogTooLong {
        /// Node of the process.
        node: NodeIndex,
        /// Number of entries in the log.
        entries: usize,
    },
    /// Election safety (Raft paper, section 5.2): a term has at most one leader.
    #[error("term {term} has two leaders, replicas {first} and {second}")]
    TwoLeaders {
        /// Term with two leaders.
        term: u64,
        /// The leader that was observed first.
        first: ReplicaId,
        /// The other leader.
        second: ReplicaId,
    },
    /// State machine safety (Raft paper, section 5.4.3): all processes have the same state after
    /// the same log index.
    #[error("node {node} has {found:?} after log index {index}, another node has {expected:?}")]
    StateDiverged {
        /// Node with the diverging state.
        node: NodeIndex,
        /// Log index after which the states differ.
        index: u64,
        /// State of the node after the log index.
        found: AppliedState,
        /// State of the process that was first observed after the log index.
        expected: AppliedState,
    },
    /// A process reports an upstream as active after it had reported the upstream as draining or
    /// gone.
    #[error("node {node} reported upstream {upstream} as terminating before, but not any more")]
    DrainingReverted {
        /// Node of the process.
        node: NodeIndex,
        /// Id of the upstream.
        upstream: String,
    },
    /// A node or a balancer treats an upstream as active although its draining was acknowledged.
    #[error(
        "node {node} treats upstream {upstream} as active although its draining was acknowledged"
    )]
    AcknowledgedDrainingLost {
        /// The node; for a balancer, the node whose feed it reads.
        node: NodeIndex,
        /// Id of the upstream.
        upstream: String,
    },
    /// Two processes differ in the upstreams that are ready.
    #[error("nodes {node} and {other} differ in the ready upstreams {upstreams:?}")]
    ReadyUpstreamsDiffer {
        /// One of the nodes.
        node: NodeIndex,
        /// The other node.
        other: NodeIndex,
        /// Ids of the upstreams that are ready at one of them only.
        upstreams: Vec<String>,
    },
    /// A balancer returned to an earlier configuration.
    #[error("balancer {subscriber} of node {node} returned from generation {before} to {after}")]
    GenerationDecreased {
        /// Node whose feed the balancer reads.
        node: NodeIndex,
        /// Subscription number of the balancer.
        subscriber: u64,
        /// Active generation before the last packet of the feed.
        before: u64,
        /// Active generation after the last packet of the feed.
        after: u64,
    },
    /// A request got more than one response.
    #[error("request {token} got two responses")]
    DuplicateResponse {
        /// Token of the request.
        token: u64,
    },
    /// A configuration was acknowledged before it was durable on a quorum of disks.
    #[error("generation {generation} was acknowledged but is not durable on a quorum of disks")]
    AcknowledgedWithoutQuorum {
        /// Generation of the acknowledged configuration.
        generation: u64,
    },
    /// The history of operators' operations is not linearizable.
    #[error(transparent)]
    NotLinearizable(#[from] NotLinearizable),
}

/// Checks the invariants of all processes and balancers.
#[derive(Debug, Default)]
pub struct Invariants {
    /// The first observed leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// The first observed state after each log index.
    states: BTreeMap<u64, AppliedState>,
    /// Upstreams that each process has reported as terminating, by node and incarnation.
    terminating: BTreeMap<(NodeIndex, u64), BTreeSet<String>>,
    /// Upstreams whose draining or deregistration was acknowledged.
    acknowledged_draining: BTreeSet<String>,
    /// The first violation that was found.
    pub violation: Option<Violation>,
}

impl Invariants {
    /// Records a violation, unless one is recorded already.
    pub fn record_violation(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Records that the draining or deregistration of an upstream was acknowledged.
    pub fn on_draining_acknowledged(&mut self, id: &str) {
        self.acknowledged_draining.insert(id.to_owned());
    }

    /// Checks a process after an event.
    pub fn check_process(&mut self, node: NodeIndex, incarnation: u64, process: &ControlMachine) {
        self.check_election_safety(process);
        self.check_state_machine_safety(node, process);
        self.check_draining(node, incarnation, process);
        let entries = process.replica().log().entries().len();
        if entries > MAX_LOG_ENTRIES {
            self.record_violation(Violation::LogTooLong { node, entries });
        }
    }

    fn check_election_safety(&mut self, process: &ControlMachine) {
        let replica = process.replica();
        if !replica.is_leader() {
            return;
        }
        let (term, second) = (replica.term(), replica.id());
        let first = *self.leaders.entry(term).or_insert(second);
        if first != second {
            self.record_violation(Violation::TwoLeaders {
                term,
                first,
                second,
            });
        }
    }

    fn check_state_machine_safety(&mut self, node: NodeIndex, process: &ControlMachine) {
        let state = process.state();
        let index = state.index;
        let found = AppliedState {
            generation: state.generation(),
            evacuated: state.evacuated_zones.iter().cloned().collect(),
        };
        let expected = self.states.entry(index).or_insert_with(|| found.clone());
        if *expected != found {
            let expected = expected.clone();
            self.record_violation(Violation::StateDiverged {
                node,
                index,
                found,
                expected,
            });
        }
    }

    fn check_draining(&mut self, node: NodeIndex, incarnation: u64, process: &ControlMachine) {
        let terminating = self.terminating.entry((node, incarnation)).or_default();
        let mut reverted = None;
        for registration in process.registrations() {
            if registration.status.is_terminating() {
                terminating.insert(registration.id);
            } else if terminating.contains(&registration.id) {
                reverted = Some(registration.id);
            }
        }
        if let Some(upstream) = reverted {
            self.record_violation(Violation::DrainingReverted { node, upstream });
        }
    }

    /// Checks after a packet of a feed that the generation of the balancer has not decreased.
    pub fn check_balancer(&mut self, node: NodeIndex, subscriber: u64, balancer: &Balancer) {
        if let [.., before, after] = balancer.generations[..]
            && after < before
        {
            self.record_violation(Violation::GenerationDecreased {
                node,
                subscriber,
                before,
                after,
            });
        }
    }

    /// Checks that a node or a balancer treats no upstream as active whose draining was
    /// acknowledged. Valid only after the recovery from all faults.
    pub fn check_acknowledged_draining(
        &mut self,
        node: NodeIndex,
        statuses: &BTreeMap<String, UpstreamStatus>,
    ) {
        let is_active = |id: &&String| {
            statuses
                .get(*id)
                .is_some_and(|status| !status.is_terminating())
        };
        if let Some(upstream) = self.acknowledged_draining.iter().find(is_active).cloned() {
            self.record_violation(Violation::AcknowledgedDrainingLost { node, upstream });
        }
    }
}

/// Whether a disk contains the configuration of a generation or of a later one.
pub fn has_generation(durable: &DurableState, generation: u64) -> bool {
    let is_in_entry = |entry: &Entry| match &entry.payload {
        EntryPayload::Command(bytes) => command_has_generation(bytes, generation),
        EntryPayload::Blank | EntryPayload::Membership(_) => false,
    };
    let is_in_snapshot = |snapshot: &[u8]| {
        ControlState::decode(snapshot).is_ok_and(|state| state.generation() >= generation)
    };
    let log = &durable.log;
    log.entries().iter().rev().any(is_in_entry) || is_in_snapshot(&log.snapshot().state)
}

fn command_has_generation(bytes: &[u8], generation: u64) -> bool {
    let body = match Command::deserialize_bin(bytes) {
        Ok(Command::Put { body, .. } | Command::Patch { body, .. }) => body,
        _ => return false,
    };
    let document: Option<serde_json::Value> = serde_json::from_slice(&body).ok();
    let found = document.and_then(|document| document["generation"].as_u64());
    found.is_some_and(|found| found >= generation)
}
