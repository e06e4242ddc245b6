//! Simulated clients of a scenario: an operator and upstreams.

use super::fixtures::{configuration, registration};
use crate::NodeIndex;
use crate::cluster::Cluster;
use std::collections::BTreeSet;
use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;
use woadstall_control::registry::UpstreamStatus;

/// A put of a configuration that the operator submitted.
#[derive(Clone, Copy, Debug)]
struct SubmittedPut {
    /// Token of the request.
    token: u64,
    /// Generation of the submitted configuration.
    generation: u64,
}

/// An operator that replaces the newest generation that it has learned from responses.
#[derive(Debug, Default)]
pub(super) struct Operator {
    submitted: Vec<SubmittedPut>,
    newest_generation: u64,
    /// Number of configurations created so far. Makes configurations of the same generation differ.
    configuration_count: u64,
    last_command: Option<Command>,
}

impl Operator {
    /// Updates the newest known generation from the responses.
    pub(super) fn read_responses(&mut self, cluster: &Cluster) {
        for SubmittedPut { token, generation } in &self.submitted {
            let known = match cluster.responses.get(token) {
                Some(CallResponse::Acknowledged) => *generation,
                Some(CallResponse::Conflict { current }) => *current,
                _ => continue,
            };
            self.newest_generation = self.newest_generation.max(known);
        }
    }

    /// Submits a new configuration. Returns the token of the request.
    pub(super) fn put(&mut self, cluster: &mut Cluster, node: NodeIndex) -> u64 {
        self.configuration_count += 1;
        let generation = self.newest_generation + 2;
        let body = configuration(generation, self.configuration_count);
        let command = Command::Put {
            base: self.newest_generation,
            body,
        };
        self.last_command = Some(command.clone());
        let token = cluster.submit(node, command);
        self.submitted.push(SubmittedPut { token, generation });
        token
    }

    /// Submits the last configuration again, unchanged.
    pub(super) fn retry_put(&self, cluster: &mut Cluster, node: NodeIndex) {
        if let Some(command) = self.last_command.clone() {
            cluster.submit(node, command);
        }
    }
}

/// Number of steps after which an upstream is replaced by one with a new id.
const UPSTREAM_LIFETIME_STEPS: u64 = 64;

/// Upstreams that register, drain and deregister.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    /// Ids of the upstreams that have started to drain.
    draining: BTreeSet<String>,
}

impl Upstreams {
    pub(super) fn register(&self, cluster: &mut Cluster, node: NodeIndex, upstream: u8, step: u64) {
        let id = upstream_id(upstream, step);
        // A draining upstream never registers as ready again.
        if !self.draining.contains(&id) {
            cluster.register(node, registration(&id, step, UpstreamStatus::Ready));
        }
    }

    pub(super) fn drain(
        &mut self,
        cluster: &mut Cluster,
        node: NodeIndex,
        upstream: u8,
        step: u64,
    ) {
        let id = upstream_id(upstream, step);
        self.draining.insert(id.clone());
        cluster.register(node, registration(&id, step, UpstreamStatus::Draining));
    }

    pub(super) fn deregister(
        &self,
        cluster: &mut Cluster,
        node: NodeIndex,
        upstream: u8,
        step: u64,
    ) {
        cluster.deregister(node, &upstream_id(upstream, step));
    }
}

fn upstream_id(upstream: u8, step: u64) -> String {
    format!("i-{upstream}-{}", step / UPSTREAM_LIFETIME_STEPS)
}
