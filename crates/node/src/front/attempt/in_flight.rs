//! The router's account of a request at an upstream.

use crate::front::state::Front;
use std::sync::Arc;
use woadstall_inbound::lock;
use woadstall_routing::{Outcome, Target};

/// A request in flight at an upstream. Dropped without [`Self::end`], it counts as cancelled.
pub(in crate::front) struct InFlight {
    front: Arc<Front>,
    pub target: Target,
    outcome: Outcome,
    /// Prompt tokens that the upstream has still to prefill.
    unread_tokens: u64,
}

impl InFlight {
    /// A request that the router has assigned to a target.
    pub fn new(front: &Arc<Front>, target: Target) -> Self {
        let unread_tokens = target.prefill_tokens;
        Self {
            front: front.clone(),
            target,
            outcome: Outcome::Cancelled,
            unread_tokens,
        }
    }

    /// Notes that data has come from the upstream, which has thus prefilled the prompt.
    pub fn record_data(&mut self) {
        let prefilled = std::mem::take(&mut self.unread_tokens);
        let mut router = lock(&self.front.router);
        router.record_activity(self.front.now(), &self.target.id, prefilled);
    }

    /// Ends it with an outcome.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.front.now();
        let mut router = lock(&self.front.router);
        router.finish(now, &self.target.id, self.outcome, self.unread_tokens);
    }
}
