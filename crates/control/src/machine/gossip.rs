//! Dissemination of heartbeats: heartbeats received from upstreams and balancers are passed to the
//! other machines in batches.

use super::ControlMachine;
use crate::balancers::{BalancerHeartbeat, BalancerRenewal};
use crate::wire::{Packet, Renewal};
use std::collections::BTreeMap;

/// Heartbeats received since the last batch was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingGossip {
    /// Heartbeats of upstreams whose registrations have not changed.
    pub renewals: Vec<Renewal>,
    /// Heartbeats that changed a balancer's record, keyed by the balancer's name.
    pub heartbeats: BTreeMap<String, BalancerHeartbeat>,
    /// Heartbeats that only renewed a balancer's record, keyed by the balancer's name.
    pub balancer_renewals: BTreeMap<String, BalancerRenewal>,
}

impl ControlMachine {
    /// Sends the heartbeats received since the last batch to the other machines.
    pub(super) fn send_gossip(&mut self) {
        let PendingGossip {
            renewals,
            heartbeats,
            balancer_renewals,
        } = std::mem::take(&mut self.gossip);
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
