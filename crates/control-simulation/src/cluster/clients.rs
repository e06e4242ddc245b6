//! Requests of operators, upstreams and balancers to control processes.

use super::Cluster;
use crate::NodeIndex;
use crate::balancer::Balancer;
use crate::history::Input;
use woadstall_control::command::Command;
use woadstall_control::machine::ControlMachine;
use woadstall_control::registry::Registration;
use woadstall_control::wire::SubscribeRequest;

/// Name of all simulated balancers.
const BALANCER_NAME: &str = "front";

impl Cluster {
    /// Runs `call` on the process of a node with the current time in milliseconds and a new token,
    /// and returns the token. `call` is skipped if the process does not run or is paused.
    pub fn call(
        &mut self,
        node: NodeIndex,
        call: impl FnOnce(&mut ControlMachine, u64, u64),
    ) -> u64 {
        self.last_token += 1;
        let (now_ms, token) = (self.now_ms, self.last_token);
        if self.is_paused(node) {
            return token;
        }
        if let Some(process) = self.nodes[node].process.as_mut() {
            call(process, now_ms, token);
            self.execute_actions(node);
        }
        token
    }

    /// Token of the next call.
    fn next_token(&self) -> u64 {
        self.last_token + 1
    }

    /// Submits a command as an operator. Returns the token of the request.
    pub fn submit(&mut self, node: NodeIndex, command: Command) -> u64 {
        self.history.invoke(
            self.next_token(),
            self.now_ms,
            Input::from_command(&command),
        );
        self.call(node, |process, now_ms, token| {
            process.submit_command(now_ms, token, command)
        })
    }

    /// Reads the configuration as an operator. Returns the token of the request.
    pub fn read(&mut self, node: NodeIndex) -> u64 {
        self.history
            .invoke(self.next_token(), self.now_ms, Input::Read);
        self.call(node, |process, now_ms, token| {
            process.read_configuration(now_ms, token)
        })
    }

    /// Sends the registration of an upstream, which is also its heartbeat. Returns the token of the
    /// request.
    pub fn register(&mut self, node: NodeIndex, registration: Registration) -> u64 {
        if registration.status.is_terminating() {
            self.draining_requests
                .insert(self.next_token(), registration.id.clone());
        }
        self.call(node, |process, now_ms, token| {
            process.register(now_ms, token, registration)
        })
    }

    /// Deregisters an upstream. Returns the token of the request.
    pub fn deregister(&mut self, node: NodeIndex, id: &str) -> u64 {
        self.draining_requests
            .insert(self.next_token(), id.to_owned());
        self.call(node, |process, now_ms, token| {
            process.deregister(now_ms, token, id)
        })
    }

    /// Subscribes a new balancer to the feed of a process.
    pub fn subscribe(&mut self, node: NodeIndex, subscriber: u64) {
        self.resubscribe(node, subscriber, Balancer::default());
    }

    /// Subscribes a balancer to the feed of a process, from the offset that the balancer has
    /// reached.
    pub fn resubscribe(&mut self, node: NodeIndex, subscriber: u64, balancer: Balancer) {
        let request = SubscribeRequest {
            balancer: BALANCER_NAME.to_owned(),
            epoch: balancer.epoch,
            offset: balancer.offset,
            applied_index: balancer.state.index,
        };
        self.nodes[node].balancers.insert(subscriber, balancer);
        self.call(node, |process, now_ms, _| {
            process.subscribe(now_ms, subscriber, request)
        });
    }

    /// Ends a subscription. Returns its balancer; `None` if there was no such subscription.
    pub fn unsubscribe(&mut self, node: NodeIndex, subscriber: u64) -> Option<Balancer> {
        self.call(node, |process, _, _| process.unsubscribe(subscriber));
        self.nodes[node].balancers.remove(&subscriber)
    }

    /// The balancer of a subscription.
    ///
    /// # Panics
    ///
    /// If there is no such subscription.
    pub fn balancer(&self, node: NodeIndex, subscriber: u64) -> &Balancer {
        &self.nodes[node].balancers[&subscriber]
    }
}
