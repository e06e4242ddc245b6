//! The way between clients and machines. No partition concerns it.

use super::event::Event;
use super::{ClientSlot, Cluster};
use crate::clients::Client;
use crate::history::{Answer, ClientId, OperationId, Request};
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::machine::Response;

/// The latency between clients and machines, in milliseconds.
const CLIENT_LATENCY_MS: u64 = 1;
/// How long clients wait for an answer, in milliseconds; for a watch beside its own time.
const CLIENT_TIMEOUT_MS: u64 = 1_000;

/// What a client can do while it handles an event.
pub struct ClientContext<'a> {
    /// The cluster.
    pub cluster: &'a mut Cluster,
    client: ClientId,
}

impl ClientContext<'_> {
    /// The current time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.cluster.now_ms
    }

    /// Calls a machine; the answer comes later.
    pub fn call(&mut self, node: NodeIndex, request: Request) -> OperationId {
        let wait_ms = match &request {
            Request::Watch { watch, .. } if watch.after > 0 => watch.wait_ms,
            _ => 0,
        };
        let cluster = &mut *self.cluster;
        let operation = cluster
            .history
            .call(cluster.now_ms, self.client, node, request);
        cluster.schedule(CLIENT_LATENCY_MS, Event::Request { operation });
        let timeout = Event::Answer {
            operation,
            answer: Answer::TimedOut,
        };
        cluster.schedule(CLIENT_TIMEOUT_MS + wait_ms, timeout);
        operation
    }

    /// The client no longer waits for an operation.
    pub fn abandon(&mut self, operation: OperationId) {
        let now_ms = self.cluster.now_ms;
        self.cluster
            .history
            .answer(now_ms, operation, Answer::TimedOut);
    }

    /// Wakes the client after some milliseconds, and not at the time that it asked for before.
    pub fn set_timer(&mut self, delay_ms: u64) {
        let client = self.client;
        let slot = &mut self.cluster.clients[client];
        slot.last_wake += 1;
        let number = slot.last_wake;
        self.cluster
            .schedule(delay_ms, Event::Wake { client, number });
    }

    /// A machine other than this one, by chance.
    pub fn random_other_node(&mut self, node: NodeIndex) -> NodeIndex {
        let mut others = self.cluster.present_nodes();
        others.retain(|other| *other != node);
        self.cluster.random.choice(others).unwrap_or(node)
    }

    /// A machine by chance.
    pub fn any_node(&mut self) -> NodeIndex {
        let present_nodes = self.cluster.present_nodes();
        self.cluster
            .random
            .choice(present_nodes)
            .unwrap_or_default()
    }
}

impl Cluster {
    /// Adds a client, which is woken after some milliseconds.
    pub fn add_client(&mut self, client: Box<dyn Client>, delay_ms: u64) -> ClientId {
        self.clients.push(ClientSlot {
            client: Some(client),
            last_wake: 0,
        });
        let client = self.clients.len() - 1;
        let cluster = self;
        ClientContext { cluster, client }.set_timer(delay_ms);
        client
    }

    /// All clients end; what they wait for does not concern them any more.
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
        let Some(mut taken) = self.clients[client].client.take() else {
            return;
        };
        let cluster = &mut *self;
        call(&mut *taken, &mut ClientContext { cluster, client });
        self.clients[client].client = Some(taken);
    }

    pub(super) fn wake(&mut self, client: ClientId, number: u64) {
        if self.clients[client].last_wake == number {
            self.with_client(client, |client, context| client.on_timer(context));
        }
    }

    /// A request arrives at a process.
    pub(super) fn submit(&mut self, operation: OperationId) {
        let submitted = &self.history.operations[operation];
        let (node, request) = (submitted.node, submitted.request.clone());
        if self.nodes[node].is_shutting_down {
            self.send_answer(operation, Answer::Response(Response::NotExecuted));
            return;
        }
        let token = operation as u64;
        self.call(node, |process, now| match request {
            Request::Call(call) => process.submit(now, token, call),
            Request::Watch { watch, .. } => process.watch(now, token, watch),
        });
    }

    /// Nothing listens where a request arrives.
    pub(super) fn refuse_connection(&mut self, operation: OperationId) {
        self.send_answer(operation, Answer::Disconnected);
    }

    pub(super) fn send_answer(&mut self, operation: OperationId, answer: Answer) {
        self.schedule(CLIENT_LATENCY_MS, Event::Answer { operation, answer });
    }

    pub(super) fn deliver_answer(&mut self, operation: OperationId, answer: Answer) {
        let client = self.history.operations[operation].client;
        // A client that has ended hears nothing.
        if self.clients[client].client.is_none() {
            return;
        }
        let now_ms = self.now_ms;
        if self.history.answer(now_ms, operation, answer.clone()) {
            self.with_client(client, |client, context| {
                client.on_answer(context, operation, &answer);
            });
        }
    }
}
