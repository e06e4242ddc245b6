//! Load shedding: rejection of the least valuable new requests during an overload.

use crate::balancer::Balancer;
use crate::log::LogEvent;
use crate::state::TenantLoad;
use crate::tuning::{
    MAX_SHED, RATE_WINDOW, SECOND, SHED_ALL_RELATIVE_LATENCY, SHED_NOISE,
    SHED_START_RELATIVE_LATENCY,
};

impl Balancer {
    /// Records the demand of a new request, and decides whether it is rejected at once. The least
    /// valuable part of the work is rejected, as much as [`Self::shed_level`] asks for. Deeper
    /// tiers never shed, because other tiers have already worked on the request.
    pub(crate) fn should_shed(&mut self, class: usize, tenant: usize) -> bool {
        if self.settings.tier > 0 {
            return false;
        }
        let work = self.class_latencies[class].mean.max(1.0);
        self.load.class_demand[class].add(self.now, work, RATE_WINDOW);
        if let Some(calls) = self.load.tenant_calls.get_mut(tenant) {
            calls.add(self.now, 1.0, RATE_WINDOW);
        }
        self.change_pending(0.0);
        let level = self.shed_level();
        level > 0.0 && self.is_least_valuable(level.min(MAX_SHED), class, tenant)
    }

    /// Part of the work that should be shed; at 0 or below, nothing is shed. Logs the beginning and
    /// the end of load shedding.
    fn shed_level(&mut self) -> f64 {
        let (relative_latency, responses) = self.expected_relative_latency();
        let noise = SHED_NOISE / responses.max(1.0).sqrt();
        let level = (relative_latency - SHED_START_RELATIVE_LATENCY - noise)
            / (SHED_ALL_RELATIVE_LATENCY - SHED_START_RELATIVE_LATENCY);
        if (level > 0.0) != self.is_shedding {
            self.is_shedding = level > 0.0;
            self.log(LogEvent::Shedding {
                began: self.is_shedding,
                relative_latency,
            });
        }
        level
    }

    /// Whether a request belongs to the least valuable part of the work, which is shed. `shed_part`
    /// is the size of that part, from 0 to 1. Requests of equal value are chosen at random.
    fn is_least_valuable(&mut self, shed_part: f64, class: usize, tenant: usize) -> bool {
        let tenants = self.tenant_loads();
        let request_value =
            self.class_value(class) * tenants.get(tenant).map_or(1.0, |tenant| tenant.value);
        let (mut less_valuable, mut equally_valuable, mut total) = (0.0, 0.0, 0.0);
        for (other, demand) in self.load.class_demand.iter().enumerate() {
            let (work, value) = (demand.get(self.now, RATE_WINDOW), self.class_value(other));
            for tenant in &tenants {
                let (work, value) = (work * tenant.share, value * tenant.value);
                total += work;
                less_valuable += if value < request_value { work } else { 0.0 };
                equally_valuable += if value == request_value { work } else { 0.0 };
            }
        }
        self.rng.f64() * equally_valuable < shed_part * total - less_valuable
    }

    /// Each tenant's share of the calls, and the part of its value that one of its calls is
    /// expected to have.
    ///
    /// A tenant's calls within quota are measured against the calls that the other tenants send for
    /// each unit of their quotas. A comparison with the quota's rate alone would not tell tenants
    /// apart: if clients retry, or spread unevenly over the balancers, all tenants exceed their
    /// quotas alike.
    fn tenant_loads(&self) -> Vec<TenantLoad> {
        let calls = self
            .load
            .tenant_calls
            .iter()
            .map(|calls| calls.get(self.now, RATE_WINDOW));
        let calls: Vec<f64> = calls.collect();
        let tenants = &self.settings.tenants;
        let quotas = || {
            tenants
                .iter()
                .map(|tenant| tenant.quota_rps.max(f64::MIN_POSITIVE))
        };
        let (total_calls, total_quota) = (calls.iter().sum::<f64>(), quotas().sum::<f64>());
        if total_calls <= 0.0 {
            return vec![TenantLoad {
                share: 1.0,
                value: 1.0,
            }]; // no tenants are configured
        }
        let balancers = f64::from(self.settings.balancers.max(1));
        let min_calls_per_quota = RATE_WINDOW as f64 / SECOND as f64 / balancers;
        let load = |(calls, quota): (&f64, f64)| {
            let others_per_quota =
                (total_calls - calls) / (total_quota - quota).max(f64::MIN_POSITIVE);
            let part_within_quota =
                others_per_quota.max(min_calls_per_quota) * quota / calls.max(f64::MIN_POSITIVE);
            let part_within_quota = part_within_quota.min(1.0);
            let value =
                part_within_quota + (1.0 - part_within_quota) * self.settings.over_quota_value;
            TenantLoad {
                share: calls / total_calls,
                value,
            }
        };
        calls.iter().zip(quotas()).map(load).collect()
    }

    /// Value of a class per unit of its work.
    fn class_value(&self, class: usize) -> f64 {
        let mean = self.class_latencies[class].mean.max(1.0);
        let work = if self.settings.value_by_work {
            1.0
        } else {
            mean
        };
        self.settings.classes[class].value / work
    }
}
