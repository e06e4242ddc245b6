//! Sends balancers what those of their region report on the load and the health of upstreams.

use super::{Action, ControlMachine};
use crate::loads::FleetLoads;
use crate::wire::Packet;
use std::collections::BTreeMap;

/// The interval in milliseconds at which subscribers are notified: a tenth of the time that the
/// prefill of a long prompt takes.
const NOTIFY_INTERVAL_MS: u64 = 100;
/// Subscribers from which on the interval grows with their number, so that the cost to a machine
/// grows no further.
const SUBSCRIBERS_PER_INTERVAL: u64 = 40;
/// The interval in milliseconds at which unchanged loads are sent again, since they expire at the
/// balancers.
const REFRESH_INTERVAL_MS: u64 = 300;

/// What the balancers of each zone were last notified of.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadNotices {
    due: u64,
    zones: BTreeMap<String, LoadNotice>,
}

/// A notification of the balancers of a zone.
#[derive(Clone, Debug)]
struct LoadNotice {
    sent_at: u64,
    loads: FleetLoads,
}

impl LoadNotices {
    /// Whether the balancers of a zone have to be notified: the loads have changed, or those that
    /// they have are about to expire.
    fn must_send(&self, now: u64, zone: &str, loads: &FleetLoads) -> bool {
        match self.zones.get(zone) {
            None => !loads.is_empty(),
            Some(last) if last.loads != *loads => true,
            Some(last) => !last.loads.is_empty() && now >= last.sent_at + REFRESH_INTERVAL_MS,
        }
    }
}

impl ControlMachine {
    /// Notifies subscribers of what balancers of their zone and region report, where that has
    /// changed or is about to expire.
    pub(super) fn deliver_loads(&mut self) {
        if self.now < self.load_notices.due {
            return;
        }
        let subscribers = self.feeds.subscribers.len() as u64;
        let interval_ms = NOTIFY_INTERVAL_MS * subscribers.max(SUBSCRIBERS_PER_INTERVAL)
            / SUBSCRIBERS_PER_INTERVAL;
        self.load_notices.due = self.now + interval_ms;
        self.load_reports.remove_expired(self.now);
        for (zone, subscribers) in self.subscribers_by_zone() {
            let loads = self.loads_for(&zone);
            if self.load_notices.must_send(self.now, &zone, &loads) {
                let notice = LoadNotice {
                    sent_at: self.now,
                    loads: loads.clone(),
                };
                self.load_notices.zones.insert(zone, notice);
                let packet = Packet::FleetLoads(loads);
                self.actions.push(Action::Deliver {
                    subscribers,
                    packet,
                });
            }
        }
    }

    fn loads_for(&self, zone: &str) -> FleetLoads {
        let region = self.settings.zones.get(zone);
        self.load_reports.for_zone(zone, |other| {
            other == zone || self.settings.zones.get(other) == region
        })
    }

    fn subscribers_by_zone(&self) -> BTreeMap<String, Vec<u64>> {
        let mut zones: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (number, subscriber) in &self.feeds.subscribers {
            if let Some(zone) = self.balancers.zone_of(&subscriber.balancer) {
                zones.entry(zone.to_owned()).or_default().push(*number);
            }
        }
        zones
    }
}
