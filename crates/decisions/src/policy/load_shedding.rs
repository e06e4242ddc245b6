//! Load shedding: which new requests are rejected at once, the least valuable first.

use crate::balancer::Balancer;
use crate::log::LogEvent;
use crate::state::TenantLoad;
use crate::tuning::{MAX_SHED, RATE_WINDOW, SECOND, SHED_ALL_AT, SHED_FROM, SHED_NOISE};

impl Balancer {
    /// Whether a new request is rejected at once: the least valuable first, as much of the work as
    /// the shed level says. Deeper tiers finish what was begun.
    pub(crate) fn sheds(&mut self, class: usize, tenant: usize) -> bool {
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

    /// The part of the work that should be shed; none if it is 0 or less.
    fn shed_level(&mut self) -> f64 {
        let (relative_latency, responses) = self.expected_relative_latency();
        let noise = SHED_NOISE / responses.max(1.0).sqrt();
        let level = (relative_latency - SHED_FROM - noise) / (SHED_ALL_AT - SHED_FROM);
        if (level > 0.0) != self.is_shedding {
            self.is_shedding = level > 0.0;
            self.log(LogEvent::Shedding {
                began: self.is_shedding,
                relative_latency,
            });
        }
        level
    }

    /// Whether a request is among the part of the work that is worth least; chance decides among
    /// equals.
    fn is_least_valuable(&mut self, part: f64, class: usize, tenant: usize) -> bool {
        let tenants = self.tenant_loads();
        let own = self.class_value(class) * tenants.get(tenant).map_or(1.0, |tenant| tenant.value);
        let (mut below, mut same, mut total) = (0.0, 0.0, 0.0);
        for (other, demand) in self.load.class_demand.iter().enumerate() {
            let (work, value) = (demand.get(self.now, RATE_WINDOW), self.class_value(other));
            for tenant in &tenants {
                let (work, value) = (work * tenant.share, value * tenant.value);
                total += work;
                below += if value < own { work } else { 0.0 };
                same += if value == own { work } else { 0.0 };
            }
        }
        self.rng.f64() * same < part * total - below
    }

    /// What each tenant sends, and how valuable it is. What is within a quota is judged by what the
    /// others send for theirs: where callers retry, or come unevenly to balancers, all tenants are
    /// over their quotas alike, and none shows by the rate.
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
        let (all, quota_of_all) = (calls.iter().sum::<f64>(), quotas().sum::<f64>());
        if all <= 0.0 {
            return vec![TenantLoad {
                share: 1.0,
                value: 1.0,
            }]; // there are no tenants
        }
        let balancers = f64::from(self.settings.balancers.max(1));
        let least = RATE_WINDOW as f64 / SECOND as f64 / balancers;
        let load = |(calls, quota): (&f64, f64)| {
            let others = (all - calls) / (quota_of_all - quota).max(f64::MIN_POSITIVE);
            let within = others.max(least) * quota / calls.max(f64::MIN_POSITIVE);
            let within = within.min(1.0);
            let value = within + (1.0 - within) * self.settings.over_quota_value;
            TenantLoad {
                share: calls / all,
                value,
            }
        };
        calls.iter().zip(quotas()).map(load).collect()
    }

    /// Value of a class, for each unit of its work.
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
