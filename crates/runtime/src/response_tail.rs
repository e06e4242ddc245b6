//! Reports the end of a response that is streamed to the caller.

use crate::Transport;
use crate::shared::Shared;
use std::sync::Arc;
use woadstall_engine::{Outcome, RequestId};

/// Receives the outcomes of attempts whose responses are streamed outside the call's task.
pub(crate) trait EndSink: Send + Sync {
    fn end(self: Arc<Self>, id: RequestId, attempt: u32, outcome: Outcome);
}

impl<T: Transport> EndSink for Shared<T> {
    fn end(self: Arc<Self>, id: RequestId, attempt: u32, outcome: Outcome) {
        self.attempt_ended(id, attempt, outcome.into());
    }
}

/// Reports the outcome of an attempt whose response has started, exactly once. If dropped before [`ResponseTail::end`],
/// the attempt is reported as cancelled.
pub struct ResponseTail {
    unreported: Option<(Arc<dyn EndSink>, RequestId, u32)>,
}

impl ResponseTail {
    pub(crate) fn new(sink: Arc<dyn EndSink>, id: RequestId, attempt: u32) -> Self {
        Self {
            unreported: Some((sink, id, attempt)),
        }
    }

    /// Reports the outcome of the completed or broken response.
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
