//! What must hold after each event.

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

/// Log entries that a process may keep at most, whatever happens.
const MAX_LOG_ENTRIES: usize = 4_000;

/// The part of the applied state that all processes are compared by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedState {
    /// The generation in force.
    pub generation: u64,
    /// The evacuated zones.
    pub evacuated: Vec<String>,
}

/// An invariant that does not hold.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Violation {
    /// A log was not compacted.
    #[error("node {node} keeps {entries} log entries, {MAX_LOG_ENTRIES} are allowed")]
    LogTooLong {
        /// The node.
        node: NodeIndex,
        /// The entries of its log.
        entries: usize,
    },
    /// Election safety (Raft, section 5.2).
    #[error("term {term} has two leaders, replicas {first} and {second}")]
    TwoLeaders {
        /// The term.
        term: u64,
        /// The replica that led in it first.
        first: ReplicaId,
        /// Another one.
        second: ReplicaId,
    },
    /// State machine safety (Raft, section 5.4.3).
    #[error("node {node} has {found:?} after log index {index}, another one has {expected:?}")]
    StateDiverged {
        /// The node.
        node: NodeIndex,
        /// The log index.
        index: u64,
        /// Its state after that index.
        found: AppliedState,
        /// The state of the first process that had applied that index.
        expected: AppliedState,
    },
    /// A process takes back that an upstream is draining or gone.
    #[error("node {node} knew that upstream {upstream} was draining, and takes it back")]
    DrainingTakenBack {
        /// The node.
        node: NodeIndex,
        /// The upstream's id.
        upstream: String,
    },
    /// A node or a balancer does not know of a draining that was acknowledged.
    #[error(
        "at node {node}, upstream {upstream} takes requests though its draining was acknowledged"
    )]
    AcknowledgedDrainingLost {
        /// The node, or the one whose feed the balancer reads.
        node: NodeIndex,
        /// The upstream's id.
        upstream: String,
    },
    /// A balancer has gone back to a former configuration.
    #[error("balancer {subscriber} of node {node} went from generation {before} back to {after}")]
    BalancerWentBack {
        /// The node whose feed it reads.
        node: NodeIndex,
        /// Its subscription.
        subscriber: u64,
        /// The generation before.
        before: u64,
        /// The generation now.
        after: u64,
    },
    /// A request was answered more than once.
    #[error("request {token} was answered twice")]
    AnsweredTwice {
        /// The request's token.
        token: u64,
    },
    /// A configuration was acknowledged without a quorum of disks.
    #[error("generation {generation} was acknowledged and is not on the disks of a quorum")]
    AcknowledgedWithoutQuorum {
        /// The generation.
        generation: u64,
    },
    /// The history of operations is not linearizable.
    #[error(transparent)]
    NotLinearizable(#[from] NotLinearizable),
}

/// Checks the invariants of all processes and balancers.
#[derive(Debug, Default)]
pub struct Invariants {
    /// The first leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// The state after each log index.
    states: BTreeMap<u64, AppliedState>,
    /// Upstreams that each process, by node and incarnation, has known to drain.
    draining: BTreeMap<(NodeIndex, u64), BTreeSet<String>>,
    /// Upstreams whose draining was acknowledged.
    acknowledged: BTreeSet<String>,
    /// The first violation.
    pub violation: Option<Violation>,
}

impl Invariants {
    /// Records a violation, unless there was one before.
    pub fn fail(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Records that the draining of an upstream was acknowledged.
    pub fn on_draining_acknowledged(&mut self, id: &str) {
        self.acknowledged.insert(id.to_owned());
    }

    /// Checks a process after an event.
    pub fn check_process(&mut self, node: NodeIndex, incarnation: u64, process: &ControlMachine) {
        self.check_election_safety(process);
        self.check_state_machine_safety(node, process);
        self.check_draining(node, incarnation, process);
        let entries = process.replica().log().entries().len();
        if entries > MAX_LOG_ENTRIES {
            self.fail(Violation::LogTooLong { node, entries });
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
            self.fail(Violation::TwoLeaders {
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
            self.fail(Violation::StateDiverged {
                node,
                index,
                found,
                expected,
            });
        }
    }

    fn check_draining(&mut self, node: NodeIndex, incarnation: u64, process: &ControlMachine) {
        let known = self.draining.entry((node, incarnation)).or_default();
        let mut taken_back = None;
        for registration in process.registrations() {
            if registration.status.is_terminating() {
                known.insert(registration.id);
            } else if known.contains(&registration.id) {
                taken_back = Some(registration.id);
            }
        }
        if let Some(upstream) = taken_back {
            self.fail(Violation::DrainingTakenBack { node, upstream });
        }
    }

    /// Checks a balancer after a packet of its feed: its generation never goes back.
    pub fn check_balancer(&mut self, node: NodeIndex, subscriber: u64, balancer: &Balancer) {
        if let [.., before, after] = balancer.generations[..]
            && after < before
        {
            self.fail(Violation::BalancerWentBack {
                node,
                subscriber,
                before,
                after,
            });
        }
    }

    /// Checks, without faults, that the statuses known at a node hold each acknowledged draining.
    pub fn check_acknowledged(
        &mut self,
        node: NodeIndex,
        statuses: &BTreeMap<String, UpstreamStatus>,
    ) {
        let takes_requests = |id: &&String| {
            statuses
                .get(*id)
                .is_some_and(|status| !status.is_terminating())
        };
        if let Some(upstream) = self.acknowledged.iter().find(takes_requests).cloned() {
            self.fail(Violation::AcknowledgedDrainingLost { node, upstream });
        }
    }
}

/// Whether a disk has the configuration of a generation or a later one.
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
