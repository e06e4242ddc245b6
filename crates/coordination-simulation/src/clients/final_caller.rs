//! A client that repeats one call at the end of a simulation until it is answered.

use super::{Client, RETRY_MS};
use crate::cluster::ClientContext;
use crate::history::{Answer, OperationId, Request};
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::machine::Response;

/// What a client wants to hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalGoal {
    /// That its call was executed.
    Executed,
    /// The events up to this revision.
    EventsUpTo(u64),
}

/// The client.
#[derive(Clone, Debug)]
pub struct FinalCaller {
    request: Request,
    goal: FinalGoal,
    node: NodeIndex,
    /// Its place among the final calls of the history.
    number: usize,
}

impl FinalCaller {
    /// A client that calls this machine first.
    pub fn new(request: Request, goal: FinalGoal, node: NodeIndex, number: usize) -> Self {
        Self {
            request,
            goal,
            node,
            number,
        }
    }

    /// Whether an answer is what was wanted.
    fn is_done(&mut self, now_ms: u64, answer: &Answer) -> bool {
        let Answer::Response(response) = answer else {
            return false;
        };
        match (self.goal, response, &mut self.request) {
            (FinalGoal::Executed, Response::Executed(_), _) => true,
            (
                FinalGoal::EventsUpTo(revision),
                Response::Events(found),
                Request::Watch { watch, received_ms },
            ) => {
                watch.after = found.revision;
                *received_ms = now_ms;
                found.revision >= revision
            }
            // The check of the history decides whether this was due.
            (FinalGoal::EventsUpTo(_), Response::HistoryCompacted, _) => true,
            _ => false,
        }
    }
}

impl Client for FinalCaller {
    fn on_wake(&mut self, context: &mut ClientContext<'_>) {
        context.call(self.node, self.request.clone());
    }

    fn on_answer(&mut self, context: &mut ClientContext<'_>, _: OperationId, answer: &Answer) {
        let now_ms = context.now_ms();
        if self.is_done(now_ms, answer) {
            context.cluster.history.final_calls[self.number].answered_ms = Some(now_ms);
            return;
        }
        let is_progress = matches!(answer, Answer::Response(Response::Events(_)));
        if !is_progress {
            self.node = context.another_node(self.node);
        }
        context.wake_in(RETRY_MS);
    }
}
