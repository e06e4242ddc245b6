//! A client that watches a group of keys.

use super::{Client, RETRY_MS};
use crate::cluster::ClientContext;
use crate::history::{Answer, OperationId, Request};
use std::cell::RefCell;
use std::rc::Rc;
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::machine::{Response, WatchRequest};

/// How long a watch waits, in milliseconds.
const WAIT_MS: u64 = 2_000;

/// A revision that a watcher has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedRevision {
    /// The group.
    pub group: String,
    /// The revision.
    pub revision: u64,
    /// When, in milliseconds.
    pub received_ms: u64,
}

/// The revisions that all watchers have received, the oldest first.
pub type SavedRevisions = Rc<RefCell<Vec<SavedRevision>>>;

/// The client.
#[derive(Clone, Debug)]
pub struct WatchClient {
    group: String,
    node: NodeIndex,
    after: u64,
    received_ms: u64,
    saved: SavedRevisions,
}

impl WatchClient {
    /// A client that asks this machine first.
    pub fn new(group: String, node: NodeIndex, saved: SavedRevisions) -> Self {
        Self {
            group,
            node,
            after: 0,
            received_ms: 0,
            saved,
        }
    }

    fn save(&mut self, now_ms: u64, revision: u64) {
        self.after = revision;
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
            after: self.after,
            wait_ms: WAIT_MS,
        };
        let received_ms = self.received_ms;
        context.call(self.node, Request::Watch { watch, received_ms });
    }

    fn on_answer(&mut self, context: &mut ClientContext<'_>, _: OperationId, answer: &Answer) {
        let mut pause_ms = 1;
        match answer {
            Answer::Response(Response::Events(found)) => {
                self.save(context.now_ms(), found.revision);
                if context.cluster.random.u8(..10) == 0 {
                    self.node = context.random_other_node(self.node);
                }
                if found.revision == 0 {
                    pause_ms = RETRY_MS;
                }
            }
            Answer::Response(Response::HistoryCompacted) => self.after = 0,
            _ => {
                self.node = context.random_other_node(self.node);
                pause_ms = RETRY_MS;
            }
        }
        context.set_timer(pause_ms);
    }
}
