//! Load figures on which load shedding is based.

use super::DecayingSum;
use crate::api::{Duration, Time};

/// Pending requests, responses, and the demand of classes and tenants.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    /// Requests pending now, each counted as the inverse of its latency target in nanoseconds.
    pub pending: f64,
    /// Integral of `pending` over time, decaying over the response window.
    pub pending_sum: DecayingSum,
    /// Responses in the response window.
    pub responses: DecayingSum,
    /// Requested work by class, in nanoseconds.
    pub class_demand: Vec<DecayingSum>,
    /// Calls by tenant.
    pub tenant_calls: Vec<DecayingSum>,
}

impl LoadMeter {
    /// A meter without load, for the given numbers of classes and tenants.
    pub fn new(classes: usize, tenants: usize) -> Self {
        Self {
            class_demand: vec![DecayingSum::default(); classes],
            tenant_calls: vec![DecayingSum::default(); tenants],
            ..Self::default()
        }
    }

    /// Adds the pending load up to `now` to its integral, then changes the pending load.
    pub fn change_pending(&mut self, now: Time, change: f64, window: Duration) {
        let windows = now.saturating_sub(self.pending_sum.updated_at) as f64 / window as f64;
        let integral = self.pending * window as f64 * (1.0 - (-windows).exp());
        self.pending_sum.add(now, integral, window);
        self.pending = (self.pending + change).max(0.0);
    }
}

/// Load of a tenant relative to the other tenants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TenantLoad {
    /// Share of all calls that come from the tenant, from 0 to 1.
    pub share: f64,
    /// Expected value of one of the tenant's calls, as a part of the value of a call within quota.
    pub value: f64,
}
