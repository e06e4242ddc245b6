//! Transport between clients and machines, which partitions do not affect.

use super::event::Event;
use super::{ClientSlot, Cluster};
use crate::clients::Client;
use crate::history::{Answer, ClientId, OperationId, Request};
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::machine::Response;

/// One-way latency between clients and machines, in milliseconds.
const CLIENT_LATENCY_MS: u64 = 1;
/// How long clients wait for an answer, in milliseconds. For a watch, the wait time that it
/// requests is added.
const CLIENT_TIMEOUT_MS: u64 = 1_000;

/// Operations available to a client while it handles an event.
pub struct ClientContext<'a> {
    /// The cluster that the client belongs to.
    pub cluster: &'a mut Cluster,
    client: ClientId,
}

impl ClientContext<'_> {
    /// Current virtual time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.cluster.now_ms
    }

    /// Sends a request to a machine. [`Client::on_answer`] gets the answer.
    pub fn call(&mut self, node: NodeIndex, request: Request) -> OperationId {
        let wait_ms = match &request {
            Request::Watch { watch, .. } if watch.after > 0 => watch.wait_ms,
            _ => 0,
        };
        let cluster = &mut *self.cluster;
        let operation = cluster
            .history
            .invoke(cluster.now_ms, self.client, node, request);
        cluster.schedule(CLIENT_LATENCY_MS, Event::Request { operation });
        let timeout = Event::Answer {
            operation,
            answer: Answer::TimedOut,
        };
        cluster.schedule(CLIENT_TIMEOUT_MS + wait_ms, timeout);
        operation
    }

    /// Completes an operation as timed out, so that a later answer is ignored.
    pub fn abandon(&mut self, operation: OperationId) {
        let now_ms = self.cluster.now_ms;
        self.cluster
            .history
            .complete(now_ms, operation, Answer::TimedOut);
    }

    /// Sets the client's timer, which replaces the timer set before.
    pub fn set_timer(&mut self, delay_ms: u64) {
        let client = self.client;
        let slot = &mut self.cluster.clients[client];
        slot.last_timer += 1;
        let number = slot.last_timer;
        self.cluster
            .schedule(delay_ms, Event::ClientTimer { client, number });
    }

    /// A random machine other than `node`; `node` itself if it is the only one.
    pub fn random_other_node(&mut self, node: NodeIndex) -> NodeIndex {
        let mut others = self.cluster.present_nodes();
        others.retain(|other| *other != node);
        self.cluster.random.choice(others).unwrap_or(node)
    }

    /// A random machine.
    pub fn random_node(&mut self) -> NodeIndex {
        let present_nodes = self.cluster.present_nodes();
        self.cluster
            .random
            .choice(present_nodes)
            .unwrap_or_default()
    }
}

impl Cluster {
    /// Adds a client, whose timer first expires after `delay_ms`.
    pub fn add_client(&mut self, client: Box<dyn Client>, delay_ms: u64) -> ClientId {
        self.clients.push(ClientSlot {
            client: Some(client),
            last_timer: 0,
        });
        let client = self.clients.len() - 1;
        let cluster = self;
        ClientContext { cluster, client }.set_timer(delay_ms);
        client
    }

    /// Stops all clients. Their pending operations are never completed.
    pub fn stop_clients(&mut self) {
        for slot in &mut self.clients {
            slot.client = None;
        }
    }

    fn with_client(
        &mut self,
        client: ClientId,
        call: impl FnOnce(&mut dyn Client, &mut ClientContext<'_>),
    ) {
        let Some(mut handler) = self.clients[client].client.take() else {
            return;
        };
        let cluster = &mut *self;
        call(&mut *handler, &mut ClientContext { cluster, client });
        self.clients[client].client = Some(handler);
    }

    /// Notifies a client of its timer, unless the timer was replaced.
    pub(super) fn on_client_timer(&mut self, client: ClientId, number: u64) {
        if self.clients[client].last_timer == number {
            self.with_client(client, |client, context| client.on_timer(context));
        }
    }

    /// Passes a request to the process that it was sent to.
    pub(super) fn submit(&mut self, operation: OperationId) {
        let submitted = &self.history.operations[operation];
        let (node, request) = (submitted.node, submitted.request.clone());
        if self.nodes[node].is_shutting_down {
            self.send_answer(operation, Answer::Response(Response::NotExecuted));
            return;
        }
        let token = operation as u64;
        self.with_process(node, |process, now_ms| match request {
            Request::Call(call) => process.submit(now_ms, token, call),
            Request::Watch { watch, .. } => process.watch(now_ms, token, watch),
        });
    }

    /// Answers a request to a machine without a running process.
    pub(super) fn refuse_connection(&mut self, operation: OperationId) {
        self.send_answer(operation, Answer::Disconnected);
    }

    pub(super) fn send_answer(&mut self, operation: OperationId, answer: Answer) {
        self.schedule(CLIENT_LATENCY_MS, Event::Answer { operation, answer });
    }

    pub(super) fn deliver_answer(&mut self, operation: OperationId, answer: Answer) {
        let client = self.history.operations[operation].client;
        // A stopped client receives no answers, and the operation stays pending in the history.
        if self.clients[client].client.is_none() {
            return;
        }
        let now_ms = self.now_ms;
        if self.history.complete(now_ms, operation, answer.clone()) {
            self.with_client(client, |client, context| {
                client.on_answer(context, operation, &answer);
            });
        }
    }
}
