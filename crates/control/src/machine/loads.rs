//! Passes on what balancers tell of upstreams.

use super::{Action, ControlMachine};
use crate::loads::{FleetLoads, LoadReport};
use crate::wire::Packet;
use std::collections::BTreeMap;

/// How often readers are told, in milliseconds: a tenth of what it takes to read a long prompt.
const TELL_EVERY: u64 = 100;
/// Readers from which on they are told less often, so that what telling costs a machine grows no further.
const MANY_READERS: u64 = 40;
/// How often they are told again what they know, as it ages.
const REPEAT_EVERY: u64 = 300;

/// What the balancers of zones were told last.
#[derive(Clone, Debug, Default)]
pub(super) struct ToldLoads {
    due: u64,
    zones: BTreeMap<String, (u64, FleetLoads)>,
}

impl ControlMachine {
    /// A balancer tells how upstreams stand with it.
    pub(super) fn on_load(&mut self, report: LoadReport) {
        self.loads.take(self.now, report);
    }

    /// Tells readers what balancers of their zone and region see, where that has changed or is about to age.
    pub(super) fn tell_loads(&mut self) {
        if self.now < self.told_loads.due {
            return;
        }
        let readers = self.subscribers.len() as u64;
        self.told_loads.due = self.now + TELL_EVERY * readers.max(MANY_READERS) / MANY_READERS;
        self.loads.forget(self.now);
        for (zone, subscribers) in self.subscribers_by_zone() {
            let region = self.settings.zones.get(&zone);
            let is_of_region =
                |other: &str| other == zone || self.settings.zones.get(other) == region;
            let loads = self.loads.of_zone(&zone, is_of_region);
            if self.is_news(&zone, &loads) {
                self.told_loads
                    .zones
                    .insert(zone, (self.now, loads.clone()));
                self.actions.push(Action::Deliver {
                    subscribers,
                    packet: Packet::FleetLoads(loads),
                });
            }
        }
    }

    fn is_news(&self, zone: &str, loads: &FleetLoads) -> bool {
        match self.told_loads.zones.get(zone) {
            None => !loads.is_empty(),
            Some((_, told)) if told != loads => true,
            Some((at, told)) => !told.is_empty() && self.now >= at + REPEAT_EVERY,
        }
    }

    fn subscribers_by_zone(&self) -> BTreeMap<String, Vec<u64>> {
        let mut zones: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (number, subscriber) in &self.subscribers {
            if let Some(zone) = self.balancers.zone_of(&subscriber.balancer) {
                zones.entry(zone.to_owned()).or_default().push(*number);
            }
        }
        zones
    }
}
