//! A client of the final phase of a simulation, which repeats one request until its goal is
//! reached.

use super::{Client, RETRY_MS};
use crate::cluster::{ClientContext, Cluster};
use crate::history::{Answer, FinalCall, LaggingWatch, OperationId, Request};
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::machine::Response;

/// Answers of watches with more bytes of values than this may be the first page of a longer list of
/// events, and don't count as lagging.
const PAGE_BYTES: usize = 200_000;

/// The answer that a client waits for before it stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalGoal {
    /// The call was executed, with any outcome.
    Executed,
    /// A watch has covered all events up to this revision.
    EventsUpTo(u64),
}

/// A client that sends one request until its goal is reached.
#[derive(Clone, Debug)]
pub struct FinalClient {
    request: Request,
    goal: FinalGoal,
    node: NodeIndex,
    /// Index of the request in [`History::final_calls`](crate::history::History::final_calls).
    call_index: usize,
}

impl FinalClient {
    /// Adds a client that sends its request to `node` first, and records the request as a final
    /// call of the history.
    pub fn add(cluster: &mut Cluster, request: Request, goal: FinalGoal, node: NodeIndex) {
        let call_index = cluster.history.final_calls.len();
        cluster.history.final_calls.push(FinalCall {
            request: format!("{request:?} {goal:?}"),
            answered_ms: None,
            lagging_watch: None,
        });
        let client = Self {
            request,
            goal,
            node,
            call_index,
        };
        cluster.add_client(Box::new(client), 0);
    }

    /// The revisions of an answer and of the goal, if the answer of a watch ends before the goal
    /// and is not a page of a longer list.
    fn lagging_watch(&self, answer: &Answer) -> Option<LaggingWatch> {
        let (FinalGoal::EventsUpTo(acknowledged), Answer::Response(Response::Events(returned))) =
            (self.goal, answer)
        else {
            return None;
        };
        let sizes = returned.events.iter().map(|event| event.value.len());
        let is_page = sizes.sum::<usize>() > PAGE_BYTES;
        let revision = returned.revision;
        (revision < acknowledged && !is_page).then_some(LaggingWatch {
            revision,
            acknowledged,
        })
    }

    /// Advances the watch to the revision of an answer. Returns whether the answer reaches the
    /// goal.
    fn process_answer(&mut self, now_ms: u64, answer: &Answer) -> bool {
        let Answer::Response(response) = answer else {
            return false;
        };
        match (self.goal, response, &mut self.request) {
            (FinalGoal::Executed, Response::Executed(_), _) => true,
            (
                FinalGoal::EventsUpTo(revision),
                Response::Events(returned),
                Request::Watch { watch, received_ms },
            ) => {
                watch.after = returned.revision;
                *received_ms = now_ms;
                returned.revision >= revision
            }
            // The rule LOST decides whether the machine was allowed to compact the history.
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
        let is_goal_reached = self.process_answer(now_ms, answer);
        let call = &mut context.cluster.history.final_calls[self.call_index];
        call.lagging_watch = call.lagging_watch.or(lagging_watch);
        if is_goal_reached {
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
