//! Tracks a request in flight for the router.

use crate::front::state::Front;
use std::sync::Arc;
use woadstall_inbound::lock;
use woadstall_routing::{Outcome, Target};

/// A request in flight at an upstream. A request that is dropped without [`Self::end`] counts as
/// cancelled.
pub(in crate::front) struct InFlight {
    front: Arc<Front>,
    pub target: Target,
    outcome: Outcome,
    /// Number of prompt tokens that the upstream still has to prefill.
    pending_prefill_tokens: u64,
}

impl InFlight {
    /// Creates the guard of a request that the router has assigned to `target`.
    pub fn new(front: &Arc<Front>, target: Target) -> Self {
        let pending_prefill_tokens = target.prefill_tokens;
        Self {
            front: front.clone(),
            target,
            outcome: Outcome::Cancelled,
            pending_prefill_tokens,
        }
    }

    /// Records the arrival of response data. The first data shows that the upstream has prefilled
    /// the prompt.
    pub fn record_data(&mut self) {
        let prefilled = std::mem::take(&mut self.pending_prefill_tokens);
        let mut router = lock(&self.front.router);
        router.record_activity(self.front.now(), &self.target.id, prefilled);
    }

    /// Reports the outcome of the request to the router.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.front.now();
        let mut router = lock(&self.front.router);
        router.finish(
            now,
            &self.target.id,
            self.outcome,
            self.pending_prefill_tokens,
        );
    }
}
