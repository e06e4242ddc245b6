//! The simulated clients of a scenario: an operator, and upstreams.

use super::fixtures::{configuration, registration};
use crate::NodeIndex;
use crate::cluster::Cluster;
use std::collections::BTreeSet;
use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;
use woadstall_control::registry::UpstreamStatus;

/// A configuration that was submitted.
#[derive(Clone, Copy, Debug)]
struct Submitted {
    /// The token of the request.
    token: u64,
    /// The generation of the configuration.
    generation: u64,
}

/// An operator who builds on the newest generation known to be in force.
#[derive(Debug, Default)]
pub(super) struct Operator {
    submitted: Vec<Submitted>,
    newest_generation: u64,
    /// The number of configurations made so far, by which those of one generation differ.
    variant: u64,
    last_command: Option<Command>,
}

impl Operator {
    /// Learns the newest generation from the responses so far.
    pub(super) fn read_responses(&mut self, cluster: &Cluster) {
        for Submitted { token, generation } in &self.submitted {
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
        self.variant += 1;
        let generation = self.newest_generation + 2;
        let body = configuration(generation, self.variant);
        let command = Command::Put {
            base: self.newest_generation,
            body,
        };
        self.last_command = Some(command.clone());
        let token = cluster.submit(node, command);
        self.submitted.push(Submitted { token, generation });
        token
    }

    /// Submits the last configuration once more.
    pub(super) fn retry_put(&self, cluster: &mut Cluster, node: NodeIndex) {
        if let Some(command) = self.last_command.clone() {
            cluster.submit(node, command);
        }
    }
}

/// Steps after which an upstream is another one.
const UPSTREAM_LIFETIME_STEPS: u64 = 64;

/// Upstreams that register, drain and deregister.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    draining: BTreeSet<String>,
}

impl Upstreams {
    pub(super) fn register(&self, cluster: &mut Cluster, node: NodeIndex, upstream: u8, step: u64) {
        let id = upstream_id(upstream, step);
        // An upstream that drains says nothing else any more.
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
