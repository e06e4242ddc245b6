//! The load that load shedding goes by.

use super::DecayingSum;
use crate::api::{Duration, Time};

/// Requests pending, responses given, and the demand of classes and tenants.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    /// Requests pending now, each counted as one over its latency target.
    pub pending: f64,
    /// The same, summed over the response window.
    pub pending_sum: DecayingSum,
    /// Responses given in the response window.
    pub responses: DecayingSum,
    /// Work asked for by each class, in nanoseconds.
    pub class_demand: Vec<DecayingSum>,
    /// Calls of each tenant.
    pub tenant_calls: Vec<DecayingSum>,
}

impl LoadMeter {
    /// A meter for so many classes and tenants.
    pub fn new(classes: usize, tenants: usize) -> Self {
        Self {
            class_demand: vec![DecayingSum::default(); classes],
            tenant_calls: vec![DecayingSum::default(); tenants],
            ..Self::default()
        }
    }

    /// Sums what was pending until now, and changes what is.
    pub fn change_pending(&mut self, now: Time, change: f64, window: Duration) {
        let passed = now.saturating_sub(self.pending_sum.updated_at) as f64 / window as f64;
        let elapsed = self.pending * window as f64 * (1.0 - (-passed).exp());
        self.pending_sum.add(now, elapsed, window);
        self.pending = (self.pending + change).max(0.0);
    }
}

/// What is known of the calls of a tenant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TenantLoad {
    /// Its share of all calls.
    pub share: f64,
    /// Part of its value that one of its calls can be expected to have.
    pub value: f64,
}
