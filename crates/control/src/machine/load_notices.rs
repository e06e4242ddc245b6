//! Notifies balancers of the load and the health of upstreams as reported by the balancers of their
//! region.

use super::{Action, ControlMachine};
use crate::loads::FleetLoads;
use crate::wire::Packet;
use std::collections::BTreeMap;

/// The minimum interval in milliseconds between notifications: a tenth of the duration of a long
/// prompt's prefill.
const NOTIFY_INTERVAL_MS: u64 = 100;
/// The number of subscribers above which the interval grows in proportion to their number, which
/// limits the cost of notifications to a machine.
const SUBSCRIBERS_PER_INTERVAL: u64 = 40;
/// The interval in milliseconds after which unchanged loads are sent again, because loads expire at
/// the balancers.
const REFRESH_INTERVAL_MS: u64 = 300;

/// The last notification sent to each zone, and the earliest time of the next notifications.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadNotices {
    due_ms: u64,
    zones: BTreeMap<String, LoadNotice>,
}

/// A notification sent to the balancers of a zone.
#[derive(Clone, Debug)]
struct LoadNotice {
    sent_at_ms: u64,
    loads: FleetLoads,
}

impl LoadNotices {
    /// Returns whether the balancers of a zone must be notified, because the loads have changed or
    /// the loads sent last are about to expire.
    fn must_send(&self, now_ms: u64, zone: &str, loads: &FleetLoads) -> bool {
        match self.zones.get(zone) {
            None => !loads.is_empty(),
            Some(last) if last.loads != *loads => true,
            Some(last) => !last.loads.is_empty() && now_ms >= last.sent_at_ms + REFRESH_INTERVAL_MS,
        }
    }
}

impl ControlMachine {
    /// Notifies subscribers of the loads reported in their zone and region, if those have changed
    /// or are about to expire.
    pub(super) fn deliver_loads(&mut self) {
        if self.now_ms < self.load_notices.due_ms {
            return;
        }
        let subscribers = self.feeds.subscribers.len() as u64;
        let interval_ms = NOTIFY_INTERVAL_MS * subscribers.max(SUBSCRIBERS_PER_INTERVAL)
            / SUBSCRIBERS_PER_INTERVAL;
        self.load_notices.due_ms = self.now_ms + interval_ms;
        self.load_reports.remove_expired(self.now_ms);
        for (zone, subscribers) in self.subscribers_by_zone() {
            let loads = self.loads_for(&zone);
            if self.load_notices.must_send(self.now_ms, &zone, &loads) {
                let notice = LoadNotice {
                    sent_at_ms: self.now_ms,
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
