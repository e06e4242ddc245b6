//! The rest of a response that has started, and the report of its end.

use crate::Transport;
use crate::shared::Shared;
use std::sync::Arc;
use woadstall_engine::{Outcome, RequestId};

/// Takes the ends of attempts whose responses are read elsewhere.
pub(crate) trait EndSink: Send + Sync {
    fn end(self: Arc<Self>, id: RequestId, attempt: u32, outcome: Outcome);
}

impl<T: Transport> EndSink for Shared<T> {
    fn end(self: Arc<Self>, id: RequestId, attempt: u32, outcome: Outcome) {
        self.attempt_ended(id, attempt, outcome.into());
    }
}

/// Reports the end of an attempt whose response has started, once. Dropped before, it reports that the attempt was
/// cancelled.
pub struct ResponseTail {
    unreported: Option<(Arc<dyn EndSink>, RequestId, u32)>,
}

impl ResponseTail {
    pub(crate) fn new(sink: Arc<dyn EndSink>, id: RequestId, attempt: u32) -> Self {
        Self {
            unreported: Some((sink, id, attempt)),
        }
    }

    /// The response has ended so.
    pub fn end(mut self, outcome: Outcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: Outcome) {
        if let Some((sink, id, attempt)) = self.unreported.take() {
            sink.end(id, attempt, outcome);
        }
    }
}

impl Drop for ResponseTail {
    fn drop(&mut self) {
        self.report(Outcome::Cancelled);
    }
}
