//! A client that repeats one call at the end of a simulation until it is answered.

use super::{Client, RETRY_MS};
use crate::cluster::{ClientContext, Cluster};
use crate::history::{Answer, FinalCall, LaggingWatch, OperationId, Request};
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::machine::Response;

/// An answer with more bytes of values may be the first part of a long list of events.
const PAGE_BYTES: usize = 200_000;

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
pub struct FinalClient {
    request: Request,
    goal: FinalGoal,
    node: NodeIndex,
    /// Its place among the final calls of the history.
    number: usize,
}

impl FinalClient {
    /// Adds a client that calls this machine first, and its place in the history.
    pub fn add(cluster: &mut Cluster, request: Request, goal: FinalGoal, node: NodeIndex) {
        let number = cluster.history.final_calls.len();
        cluster.history.final_calls.push(FinalCall {
            request: format!("{request:?} {goal:?}"),
            answered_ms: None,
            lagging_watch: None,
        });
        let client = Self {
            request,
            goal,
            node,
            number,
        };
        cluster.add_client(Box::new(client), 0);
    }

    /// How far an answer lags behind what was acknowledged, if it does.
    fn lagging_watch(&self, answer: &Answer) -> Option<LaggingWatch> {
        let (FinalGoal::EventsUpTo(acknowledged), Answer::Response(Response::Events(found))) =
            (self.goal, answer)
        else {
            return None;
        };
        let sizes = found.events.iter().map(|event| event.value.len());
        let is_page = sizes.sum::<usize>() > PAGE_BYTES;
        let revision = found.revision;
        (revision < acknowledged && !is_page).then_some(LaggingWatch {
            revision,
            acknowledged,
        })
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

impl Client for FinalClient {
    fn on_timer(&mut self, context: &mut ClientContext<'_>) {
        context.call(self.node, self.request.clone());
    }

    fn on_answer(&mut self, context: &mut ClientContext<'_>, _: OperationId, answer: &Answer) {
        let now_ms = context.now_ms();
        let lagging_watch = self.lagging_watch(answer);
        let is_done = self.is_done(now_ms, answer);
        let call = &mut context.cluster.history.final_calls[self.number];
        call.lagging_watch = call.lagging_watch.or(lagging_watch);
        if is_done {
            call.answered_ms = Some(now_ms);
            return;
        }
        let is_progress = matches!(answer, Answer::Response(Response::Events(_)));
        if !is_progress {
            self.node = context.random_other_node(self.node);
        }
        context.set_timer(RETRY_MS);
    }
}
