//! A client that puts and reads keys.

use super::{Client, RETRY_MS};
use crate::cluster::ClientContext;
use crate::history::{Answer, OperationId, Request};
use std::collections::BTreeMap;
use std::ops::Range;
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command, Query};
use woadstall_coordination::outcome::Outcome;

/// Pause between two calls, in milliseconds.
const PAUSE_MS: Range<u64> = 20..200;
/// How long a put without a clear answer is resent, in milliseconds.
const RESEND_MS: u64 = 4_000;
/// Number of padding bytes in a long value.
const LONG_VALUE_BYTES: usize = 30_000;

/// A put that is resent because no answer has said yet whether it was executed.
#[derive(Clone, Debug)]
struct PendingPut {
    command: Command,
    /// When the client stops resending the put, in milliseconds.
    resend_until_ms: u64,
    /// Whether the client stops resending the put once a machine has rejected it.
    stops_after_rejection: bool,
}

/// A client that puts and reads random keys, and resends puts without a clear answer.
#[derive(Clone, Debug)]
pub struct KeyClient {
    name: String,
    keys: Vec<String>,
    node: NodeIndex,
    pending_put: Option<PendingPut>,
    /// The last revision of each key that the client received.
    known_revisions: BTreeMap<String, u64>,
    /// Key of the pending call.
    current_key: String,
    /// Number of values that the client has generated, which makes each value unique.
    value_count: u64,
}

impl KeyClient {
    /// A client that sends its first request to `node`. The values that it puts start with its
    /// name.
    pub fn new(name: String, keys: Vec<String>, node: NodeIndex) -> Self {
        Self {
            name,
            keys,
            node,
            pending_put: None,
            known_revisions: BTreeMap::new(),
            current_key: String::new(),
            value_count: 0,
        }
    }

    fn next_call(&mut self, context: &mut ClientContext<'_>) -> Call {
        if let Some(put) = &self.pending_put {
            return Call::Command(put.command.clone());
        }
        let random = &mut context.cluster.random;
        let key = random.choice(&self.keys).cloned().unwrap_or_default();
        self.current_key.clone_from(&key);
        if random.u8(..5) < 2 {
            return Call::Query(Query::Get { key });
        }
        self.value_count += 1;
        let mut value = format!("{}-{}", self.name, self.value_count);
        if random.u8(..8) == 0 {
            value.push_str(&"x".repeat(LONG_VALUE_BYTES));
        }
        let known_revision = self.known_revisions.get(&key).copied();
        let if_revision = known_revision.filter(|_| random.bool());
        let command = Command::Put {
            key,
            value,
            if_revision,
        };
        self.pending_put = Some(PendingPut {
            command: command.clone(),
            resend_until_ms: context.cluster.now_ms + RESEND_MS,
            stops_after_rejection: context.cluster.random.bool(),
        });
        Call::Command(command)
    }

    fn update_known_revision(&mut self, outcome: &Outcome) {
        let revision = match outcome {
            Outcome::Put { revision }
            | Outcome::Value { revision, .. }
            | Outcome::RevisionConflict { current: revision } => *revision,
            Outcome::KeyNotFound => 0,
            _ => return,
        };
        self.known_revisions
            .insert(self.current_key.clone(), revision);
    }

    fn is_put_finished(&self, now_ms: u64, answer: &Answer) -> bool {
        let Some(put) = &self.pending_put else {
            return false;
        };
        answer.outcome().is_some()
            || now_ms >= put.resend_until_ms
            || put.stops_after_rejection && answer.is_rejection()
    }
}

impl Client for KeyClient {
    fn on_timer(&mut self, context: &mut ClientContext<'_>) {
        let call = self.next_call(context);
        context.call(self.node, Request::Call(call));
    }

    fn on_answer(&mut self, context: &mut ClientContext<'_>, _: OperationId, answer: &Answer) {
        if self.is_put_finished(context.now_ms(), answer) {
            self.pending_put = None;
        }
        if let Some(outcome) = answer.outcome() {
            self.update_known_revision(outcome);
            let pause_ms = context.cluster.random.u64(PAUSE_MS);
            context.set_timer(pause_ms);
        } else {
            self.node = context.random_other_node(self.node);
            context.set_timer(RETRY_MS);
        }
    }
}
