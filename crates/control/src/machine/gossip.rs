//! Dissemination of heartbeats: what this machine has heard from upstreams and balancers goes to
//! the other machines in batches.

use super::ControlMachine;
use crate::balancers::{BalancerHeartbeat, BalancerRenewal};
use crate::wire::{Packet, Renewal};
use std::collections::BTreeMap;

/// What was heard since the last batch.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingGossip {
    /// Heartbeats of upstreams without changes.
    pub renewals: Vec<Renewal>,
    /// Heartbeats of balancers with changes, by the balancer's name.
    pub heartbeats: BTreeMap<String, BalancerHeartbeat>,
    /// Heartbeats of balancers without changes, by the balancer's name.
    pub balancer_renewals: BTreeMap<String, BalancerRenewal>,
}

impl ControlMachine {
    /// Passes to the other machines what was heard since the last batch.
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
