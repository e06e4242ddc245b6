//! Dissemination of heartbeats: heartbeats received from upstreams and balancers are passed to the
//! other machines in batches. A heartbeat that changed nothing is passed on as a renewal, which
//! assumes that the other machines know the rest. They may not: a message was lost, or they have
//! judged the sender otherwise. Therefore each heartbeat is passed on in full at intervals, and what
//! no heartbeat repeats is repeated by all machines (anti-entropy).

use super::ControlMachine;
use crate::balancers::{BalancerHeartbeat, BalancerRenewal};
use crate::merge::MergeOutcome;
use crate::registry::Registration;
use crate::wire::{Packet, Renewal};
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeats received since the last batch was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingGossip {
    /// Heartbeats of upstreams whose registrations have not changed.
    pub renewals: Vec<Renewal>,
    /// Upstreams whose heartbeats are passed on in full although their registrations have not
    /// changed.
    pub refreshed: BTreeSet<String>,
    /// Heartbeats of balancers that are passed on in full, keyed by the balancer's name.
    pub heartbeats: BTreeMap<String, BalancerHeartbeat>,
    /// Heartbeats that only renewed a balancer's record, keyed by the balancer's name.
    pub balancer_renewals: BTreeMap<String, BalancerRenewal>,
}

impl ControlMachine {
    /// Queues the heartbeat of an upstream whose registration has not changed.
    pub(super) fn queue_renewal(&mut self, id: String, sequence: u64) {
        if self.registry.take_refresh(self.now_ms, &id) {
            self.gossip.refreshed.insert(id);
        } else {
            self.gossip.renewals.push(Renewal { id, sequence });
        }
    }

    /// Applies renewals from another machine, and publishes the upstreams that are ready again.
    pub(super) fn on_renewals(&mut self, renewals: &[Renewal]) {
        for Renewal { id, sequence } in renewals {
            let status_before = self.registry.status(id);
            if self.registry.renew(self.now_ms, id, *sequence) == MergeOutcome::Changed
                && let Some(registration) = self.registry.get(self.now_ms, id)
            {
                self.publish_merged(status_before, registration);
            }
        }
    }

    /// Repeats to the other machines the registrations that no heartbeat repeats: those of upstreams
    /// that have left, drain, or send no heartbeats.
    pub(super) fn repeat_registrations(&mut self) {
        let timeout_ms = self.upstream_timeout_ms();
        let registrations = self.registry.without_heartbeats(self.now_ms, timeout_ms);
        self.broadcast_registrations(registrations);
    }

    fn broadcast_registrations(&mut self, registrations: Vec<Registration>) {
        if registrations.is_empty() {
            return;
        }
        let call = self.next_call();
        self.broadcast(&Packet::Registrations {
            call,
            registrations,
        });
    }

    /// Sends the heartbeats received since the last batch to the other machines.
    pub(super) fn send_gossip(&mut self) {
        let PendingGossip {
            renewals,
            refreshed,
            heartbeats,
            balancer_renewals,
        } = std::mem::take(&mut self.gossip);
        let registrations = refreshed
            .iter()
            .filter_map(|id| self.registry.get(self.now_ms, id));
        self.broadcast_registrations(registrations.collect());
        if !renewals.is_empty() {
            self.broadcast(&Packet::Renewals(renewals));
        }
        if !heartbeats.is_empty() {
            self.broadcast(&Packet::BalancerHeartbeats(
                heartbeats.into_values().collect(),
            ));
        }
        if !balancer_renewals.is_empty() {
            self.broadcast(&Packet::BalancerRenewals(
                balancer_renewals.into_values().collect(),
            ));
        }
    }
}
