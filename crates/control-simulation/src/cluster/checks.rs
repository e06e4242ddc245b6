//! Checks of the whole cluster, and a description of its state for failure reports.

use super::Cluster;
use crate::NodeIndex;
use crate::history::{Input, Output};
use crate::invariants::{Violation, has_generation};
use std::collections::{BTreeMap, BTreeSet};
use woadstall_consensus::Member;
use woadstall_control::machine::ControlMachine;
use woadstall_control::registry::UpstreamStatus;

impl Cluster {
    /// Checks that an acknowledged configuration is on the disks of a quorum.
    pub(super) fn check_durable_on_quorum(&mut self, token: u64, output: &Output) {
        let Some(Input::Put { generation, .. }) = self.history.pending_input(token) else {
            return;
        };
        let generation = *generation;
        if *output != Output::Committed {
            return;
        }
        let processes = (0..self.len()).filter_map(|node| self.process(node));
        let newest = processes.max_by_key(|process| process.replica().commit_index());
        let Some(newest) = newest else { return };
        let is_durable_at = |member: &Member| self.is_durable_at(member, generation);
        if !newest.replica().membership().is_quorum(is_durable_at) {
            self.invariants
                .record_violation(Violation::AcknowledgedWithoutQuorum { generation });
        }
    }

    fn is_durable_at(&self, member: &Member, generation: u64) -> bool {
        let node = self
            .nodes
            .iter()
            .find(|node| node.disk.durable().id == member.id);
        node.is_some_and(|node| has_generation(node.disk.durable(), generation))
    }

    /// Checks that each process and balancer knows all acknowledged drainings, that the processes
    /// agree on the ready upstreams, and that the history of operations is linearizable. Call it
    /// only after the cluster has recovered from all faults.
    pub fn check_all(&mut self) {
        self.check_ready_upstreams();
        (0..self.len()).for_each(|node| self.check_acknowledged_draining(node));
        if let Err(not_linearizable) = self.history.check() {
            self.invariants.record_violation(not_linearizable.into());
        }
    }

    fn check_ready_upstreams(&mut self) {
        let ready: Vec<(NodeIndex, BTreeSet<String>)> = (0..self.len())
            .filter_map(|node| Some((node, ready_upstreams(self.process(node)?))))
            .collect();
        for pair in ready.windows(2) {
            let [(node, first), (other, second)] = pair else {
                continue;
            };
            let upstreams: Vec<String> = first.symmetric_difference(second).cloned().collect();
            if !upstreams.is_empty() {
                self.invariants
                    .record_violation(Violation::ReadyUpstreamsDiffer {
                        node: *node,
                        other: *other,
                        upstreams,
                    });
            }
        }
    }

    fn check_acknowledged_draining(&mut self, node: NodeIndex) {
        let Some(process) = &self.nodes[node].process else {
            return;
        };
        let registrations = process.registrations().into_iter();
        let statuses: BTreeMap<String, UpstreamStatus> = registrations
            .map(|registration| (registration.id, registration.status))
            .collect();
        self.invariants.check_acknowledged_draining(node, &statuses);
        for balancer in self.nodes[node].balancers.values() {
            self.invariants
                .check_acknowledged_draining(node, &balancer.statuses);
        }
    }

    /// The log and the state of the running replicas, with one line per record and per replica.
    pub fn describe(&self) -> String {
        let log_lines = self
            .log
            .iter()
            .map(|line| format!("{} node={} {}", line.at_ms, line.node, line.text));
        let replicas = (0..self.len()).filter_map(|node| self.describe_replica(node));
        log_lines.chain(replicas).collect::<Vec<_>>().join("\n")
    }

    fn describe_replica(&self, node: NodeIndex) -> Option<String> {
        let replica = self.process(node)?.replica();
        let (term, leader) = (replica.term(), replica.leader());
        let (commit, members) = (replica.commit_index(), replica.membership());
        Some(format!(
            "node={node} term={term} leader={leader:?} commit={commit} {members:?}"
        ))
    }
}

/// Ids of the upstreams that a process treats as ready.
fn ready_upstreams(process: &ControlMachine) -> BTreeSet<String> {
    process
        .registrations()
        .into_iter()
        .filter(|registration| registration.status == UpstreamStatus::Ready)
        .map(|registration| registration.id)
        .collect()
}
