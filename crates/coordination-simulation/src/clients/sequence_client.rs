//! A client that requests numbers of a sequence.

use super::{Client, RETRY_MS};
use crate::cluster::ClientContext;
use crate::history::{Answer, OperationId, Request};
use std::ops::Range;
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command};

/// Pause between two requests, in milliseconds.
const PAUSE_MS: Range<u64> = 40..300;

/// A client that repeatedly requests the next number of one sequence.
#[derive(Clone, Debug)]
pub struct SequenceClient {
    sequence: String,
    node: NodeIndex,
}

impl SequenceClient {
    /// A client that sends its first request to `node`.
    pub fn new(sequence: String, node: NodeIndex) -> Self {
        Self { sequence, node }
    }
}

impl Client for SequenceClient {
    fn on_timer(&mut self, context: &mut ClientContext<'_>) {
        let sequence = self.sequence.clone();
        let call = Call::Command(Command::NextNumber { sequence });
        context.call(self.node, Request::Call(call));
    }

    fn on_answer(&mut self, context: &mut ClientContext<'_>, _: OperationId, answer: &Answer) {
        if answer.outcome().is_some() {
            let pause_ms = context.cluster.random.u64(PAUSE_MS);
            context.set_timer(pause_ms);
        } else {
            self.node = context.random_other_node(self.node);
            context.set_timer(RETRY_MS);
        }
    }
}
