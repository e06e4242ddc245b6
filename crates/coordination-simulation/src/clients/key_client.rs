//! A client that puts and reads keys.

use super::{Client, RETRY_MS};
use crate::cluster::ClientContext;
use crate::history::{Answer, OperationId, Request};
use std::collections::BTreeMap;
use std::ops::Range;
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command, Query};
use woadstall_coordination::outcome::Outcome;

/// Between two calls, in milliseconds.
const PAUSE_MS: Range<u64> = 20..200;
/// For how long a put is resent, in milliseconds.
const RESEND_MS: u64 = 4_000;
/// Bytes of a long value.
const LONG_VALUE_BYTES: usize = 30_000;

/// A put that is not yet answered clearly.
#[derive(Clone, Debug)]
struct UnclearPut {
    command: Command,
    /// Until when it is resent, in milliseconds.
    until_ms: u64,
    /// Whether it is given up when a machine has rejected it.
    ends_with_rejection: bool,
}

/// The client.
#[derive(Clone, Debug)]
pub struct KeyClient {
    name: String,
    keys: Vec<String>,
    node: NodeIndex,
    put: Option<UnclearPut>,
    /// The revisions of the keys as far as the client knows them.
    revisions: BTreeMap<String, u64>,
    /// The key of the call that waits.
    current_key: String,
    values: u64,
}

impl KeyClient {
    /// A client that calls this machine first. Its name is part of its values.
    pub fn new(name: String, keys: Vec<String>, node: NodeIndex) -> Self {
        Self {
            name,
            keys,
            node,
            put: None,
            revisions: BTreeMap::new(),
            current_key: String::new(),
            values: 0,
        }
    }

    fn next_call(&mut self, context: &mut ClientContext<'_>) -> Call {
        if let Some(put) = &self.put {
            return Call::Command(put.command.clone());
        }
        let random = &mut context.cluster.random;
        let key = random.choice(&self.keys).cloned().unwrap_or_default();
        self.current_key.clone_from(&key);
        if random.u8(..5) < 2 {
            return Call::Query(Query::Get { key });
        }
        self.values += 1;
        let mut value = format!("{}-{}", self.name, self.values);
        if random.u8(..8) == 0 {
            value.push_str(&"x".repeat(LONG_VALUE_BYTES));
        }
        let known = self.revisions.get(&key).copied();
        let if_revision = known.filter(|_| random.bool());
        let command = Command::Put {
            key,
            value,
            if_revision,
        };
        self.put = Some(UnclearPut {
            command: command.clone(),
            until_ms: context.cluster.now_ms + RESEND_MS,
            ends_with_rejection: context.cluster.random.bool(),
        });
        Call::Command(command)
    }

    fn learn_revision(&mut self, outcome: &Outcome) {
        let revision = match outcome {
            Outcome::Put { revision }
            | Outcome::Value { revision, .. }
            | Outcome::RevisionConflict { current: revision } => *revision,
            Outcome::KeyNotFound => 0,
            _ => return,
        };
        self.revisions.insert(self.current_key.clone(), revision);
    }

    fn is_put_over(&self, now_ms: u64, answer: &Answer) -> bool {
        let Some(put) = &self.put else { return false };
        answer.outcome().is_some()
            || now_ms >= put.until_ms
            || put.ends_with_rejection && answer.is_rejection()
    }
}

impl Client for KeyClient {
    fn on_timer(&mut self, context: &mut ClientContext<'_>) {
        let call = self.next_call(context);
        context.call(self.node, Request::Call(call));
    }

    fn on_answer(&mut self, context: &mut ClientContext<'_>, _: OperationId, answer: &Answer) {
        if self.is_put_over(context.now_ms(), answer) {
            self.put = None;
        }
        if let Some(outcome) = answer.outcome() {
            self.learn_revision(outcome);
            let pause_ms = context.cluster.random.u64(PAUSE_MS);
            context.set_timer(pause_ms);
        } else {
            self.node = context.random_other_node(self.node);
            context.set_timer(RETRY_MS);
        }
    }
}
