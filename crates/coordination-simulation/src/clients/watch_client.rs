//! A client that watches a group of keys.

use super::{Client, RETRY_MS};
use crate::cluster::ClientContext;
use crate::history::{Answer, OperationId, Request};
use std::cell::RefCell;
use std::rc::Rc;
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::machine::{Response, WatchRequest};

/// How long a machine may wait for new events before it answers, in milliseconds.
const WAIT_MS: u64 = 2_000;

/// A revision that a watch client received, from which a watch can resume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedRevision {
    /// Group of keys that was watched.
    pub group: String,
    /// Revision up to which the client received all events.
    pub revision: u64,
    /// When the client received the answer, in milliseconds.
    pub received_ms: u64,
}

/// The revisions that all watch clients received, the oldest first.
pub type SavedRevisions = Rc<RefCell<Vec<SavedRevision>>>;

/// A client that watches one group, each time from the last revision that it received.
#[derive(Clone, Debug)]
pub struct WatchClient {
    group: String,
    node: NodeIndex,
    after_revision: u64,
    received_ms: u64,
    saved: SavedRevisions,
}

impl WatchClient {
    /// A client that sends its first request to `node` and adds the revisions that it receives to
    /// `saved`.
    pub fn new(group: String, node: NodeIndex, saved: SavedRevisions) -> Self {
        Self {
            group,
            node,
            after_revision: 0,
            received_ms: 0,
            saved,
        }
    }

    fn save(&mut self, now_ms: u64, revision: u64) {
        self.after_revision = revision;
        self.received_ms = now_ms;
        self.saved.borrow_mut().push(SavedRevision {
            group: self.group.clone(),
            revision,
            received_ms: now_ms,
        });
    }
}

impl Client for WatchClient {
    fn on_timer(&mut self, context: &mut ClientContext<'_>) {
        let watch = WatchRequest {
            group: self.group.clone(),
            after: self.after_revision,
            wait_ms: WAIT_MS,
        };
        let received_ms = self.received_ms;
        context.call(self.node, Request::Watch { watch, received_ms });
    }

    fn on_answer(&mut self, context: &mut ClientContext<'_>, _: OperationId, answer: &Answer) {
        let mut pause_ms = 1;
        match answer {
            Answer::Response(Response::Events(returned)) => {
                self.save(context.now_ms(), returned.revision);
                if context.cluster.random.u8(..10) == 0 {
                    self.node = context.random_other_node(self.node);
                }
                if returned.revision == 0 {
                    pause_ms = RETRY_MS;
                }
            }
            Answer::Response(Response::HistoryCompacted) => self.after_revision = 0,
            _ => {
                self.node = context.random_other_node(self.node);
                pause_ms = RETRY_MS;
            }
        }
        context.set_timer(pause_ms);
    }
}
