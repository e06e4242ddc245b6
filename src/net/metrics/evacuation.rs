//! Metrics of failure domains and their evacuation.

use super::register;
use crate::net::evacuation::EvacuationTask;
use prometheus::{GaugeVec, IntGaugeVec, Opts, Registry};

/// Label with the name of the failure domain.
const DOMAIN_LABEL: &str = "place";

pub(super) struct EvacuationMetrics {
    evacuation: EvacuationTask,
    share: GaugeVec,
    epoch: IntGaugeVec,
    reporters_against: IntGaugeVec,
}

impl EvacuationMetrics {
    pub fn register(registry: &Registry, evacuation: EvacuationTask) -> prometheus::Result<Self> {
        let options = |name: &str, help: &str| Opts::new(format!("balancer_place_{name}"), help);
        let gauge = |name, help| {
            register(
                registry,
                IntGaugeVec::new(options(name, help), &[DOMAIN_LABEL]),
            )
        };
        let share = options("share", "Part of its new work that a place gets, by name.");
        Ok(Self {
            evacuation,
            share: register(registry, GaugeVec::new(share, &[DOMAIN_LABEL]))?,
            epoch: gauge("epoch", "Raised with each change of a place.")?,
            reporters_against: gauge("against", "Balancers that speak against a place.")?,
        })
    }

    /// Updates all gauges. Gauges are reset first, so that domains that have returned to normal use are no longer
    /// exported.
    pub fn update(&self) {
        self.share.reset();
        self.epoch.reset();
        self.reporters_against.reset();
        for domain in self.evacuation.status().domains {
            let name = [domain.name.as_str()];
            let against = domain.reporters_against as i64;
            self.share.with_label_values(&name).set(domain.share);
            self.epoch.with_label_values(&name).set(domain.epoch.into());
            self.reporters_against.with_label_values(&name).set(against);
        }
    }
}
