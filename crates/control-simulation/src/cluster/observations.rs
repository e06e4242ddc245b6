//! Adds observations to the digest of events.

use super::Cluster;
use super::node::Node;
use crate::NodeIndex;
use crate::balancer::Balancer;
use crate::digest::{EventDigest, Observation};
use crate::disk::Synced;
use woadstall_control::machine::{Action, ControlMachine};

impl Cluster {
    /// Adds an observation to the digest, if one is recorded.
    pub(super) fn observe(
        &mut self,
        observation: Observation,
        add: impl FnOnce(&mut EventDigest) -> &mut EventDigest,
    ) {
        if let Some(digest) = &mut self.digest {
            add(digest.observe(observation, self.now_ms));
        }
    }

    pub(super) fn observe_sync(&mut self, node: NodeIndex, synced: Option<Synced>) {
        let (kind, number) = match synced {
            None => (0, 0),
            Some(Synced::Records(sequence)) => (1, sequence),
            Some(Synced::Registrations(number)) => (2, number),
        };
        self.observe(Observation::Sync, |digest| {
            digest.node(node).number(kind).number(number)
        });
    }

    /// Adds an action to the digest, if one is recorded. Log lines are not part of the digest, so
    /// that their text may change.
    pub(super) fn observe_action(&mut self, node: NodeIndex, action: &Action) {
        let Some(digest) = &mut self.digest else {
            return;
        };
        let Some(observation) = observation_of(action) else {
            return;
        };
        let digest = digest.observe(observation, self.now_ms).node(node);
        match action {
            Action::Log(_) => digest,
            Action::Connect { address } => digest.flag(true).bytes(address.as_bytes()),
            Action::Disconnect { address } => digest.flag(false).bytes(address.as_bytes()),
            Action::Send { address, packet } => {
                digest.bytes(address.as_bytes()).bytes(&packet.encode())
            }
            Action::Persist { sequence, record } => digest.number(*sequence).encoded(record),
            Action::PersistRegistrations { number } => digest.number(*number),
            Action::Respond { token, response } => digest.number(*token).response(response),
            Action::Deliver {
                subscribers,
                packet,
            } => digest.numbers(subscribers).bytes(&packet.encode()),
        };
    }

    /// Ends the recording. Returns a digest and the number of observations that it covers. The
    /// digest covers all events, the final states of nodes and balancers, and whether all checks
    /// passed.
    pub fn finish_digest(&mut self) -> (u64, u64) {
        let mut digest = self.digest.take().unwrap_or_default();
        let holds_invariants = self.invariants.violation.is_none();
        let is_linearizable = self.history.check().is_ok();
        let checks = u64::from(holds_invariants) + 2 * u64::from(is_linearizable);
        let next_random = self.random.u64(..);
        digest
            .observe(Observation::Final, self.now_ms)
            .number(checks)
            .number(next_random)
            .number(self.history.completed_count() as u64)
            .number(self.packets.len() as u64)
            .number(self.events.scheduled_count());
        for node in &self.nodes {
            add_node(digest.observe(Observation::Final, self.now_ms), node);
        }
        digest.finish()
    }
}

fn observation_of(action: &Action) -> Option<Observation> {
    match action {
        Action::Log(_) => None,
        Action::Connect { .. } | Action::Disconnect { .. } => Some(Observation::ConnectionRequest),
        Action::Send { .. } => Some(Observation::Send),
        Action::Persist { .. } => Some(Observation::WriteRecord),
        Action::PersistRegistrations { .. } => Some(Observation::WriteRegistrations),
        Action::Respond { .. } => Some(Observation::Respond),
        Action::Deliver { .. } => Some(Observation::Deliver),
    }
}

fn add_node(digest: &mut EventDigest, node: &Node) {
    let durable = node.disk.durable();
    digest
        .number(node.incarnation)
        .flag(node.is_present)
        .number(node.paused_until_ms);
    digest
        .number(durable.id)
        .number(durable.term)
        .number(durable.voted_for)
        .number(durable.commit_index);
    digest
        .encoded(durable.log.snapshot())
        .all_encoded(durable.log.entries());
    digest.all_encoded(&node.disk.registrations);
    digest
        .number(node.disk.queued() as u64)
        .flag(node.process.is_some());
    if let Some(process) = &node.process {
        add_process(digest, process);
    }
    for (subscriber, balancer) in &node.balancers {
        add_balancer(digest.number(*subscriber), balancer);
    }
}

fn add_process(digest: &mut EventDigest, process: &ControlMachine) {
    digest
        .replica_state(process)
        .bytes(&process.state().encode());
    digest.all_encoded(&process.registrations());
    digest.all_encoded(process.replica().log().entries());
}

fn add_balancer(digest: &mut EventDigest, balancer: &Balancer) {
    digest.bytes(&balancer.state.encode());
    digest
        .number(balancer.epoch)
        .number(balancer.offset)
        .flag(balancer.in_quorum);
    digest.numbers(&balancer.generations);
    for (id, status) in &balancer.statuses {
        digest.bytes(id.as_bytes()).encoded(status);
    }
}
