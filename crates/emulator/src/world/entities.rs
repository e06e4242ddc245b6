//! State of a run: client calls, requests, attempts, balancers with their connections, and messages in transit.

use super::EPOCH;
use crate::agent::BoxedAgent;
use crate::front::CallerConnection;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::collections::VecDeque;
use woadstall_engine::{Lifecycle, ServerId, Time};

/// One call of a caller or of an upstream, across all its retries.
pub(super) struct ClientCall {
    pub(super) class: usize,
    /// Group of the caller; `None` for a call from an upstream.
    pub(super) group: Option<u32>,
    /// Attempt on whose behalf an upstream makes the call.
    pub(super) parent: Option<u64>,
    pub(super) closed_loop: bool,
    pub(super) created_at: Time,
    pub(super) deadline: Time,
    pub(super) send_count: u32,
    /// Requests of this call that are still open.
    pub(super) open_requests: u32,
    /// The caller has its final result.
    pub(super) concluded: bool,
    /// The call arrived after the warm-up.
    pub(super) measured: bool,
    /// Connection that the caller sent the request on.
    pub(super) connection: Option<CallerConnection>,
    /// Deduplication groups of upstreams in which the call ran, with the time of execution.
    pub(super) executed_groups: SmallVec<[(u32, Time); 1]>,
}

/// One request at a balancer: a client call's first send or a retry of its caller.
pub(super) struct Request {
    pub(super) client_call: u64,
    pub(super) balancer: u32,
    pub(super) answered: bool,
    /// Attempts that have not ended both at the balancer and at their upstream.
    pub(super) live_attempts: u32,
    /// Attempts whose outcome the balancer has not received: the attempt's number within the request, and its key in
    /// the simulation.
    pub(super) pending_attempts: SmallVec<[(u32, u64); 1]>,
}

/// One attempt of a balancer at a request.
pub(super) struct Attempt {
    pub(super) request: u64,
    pub(super) number: u32,
    pub(super) balancer: u32,
    pub(super) upstream: u32,
    pub(super) host: u32,
    pub(super) process: u32,
    /// Epoch of the connection pool when the attempt was sent.
    pub(super) epoch: u32,
    /// The balancer has not received the outcome.
    pub(super) end_pending: bool,
    /// The attempt is on the network, queued, or being processed.
    pub(super) in_progress: bool,
    /// The attempt occupies a connection.
    pub(super) holds_connection: bool,
    pub(super) new_connection: bool,
    /// Calls to the next tier that are not answered yet.
    pub(super) open_downstream_calls: u32,
    pub(super) downstream_failed: bool,
    pub(super) sent_at: Time,
}

/// Connections from a balancer to one host.
#[derive(Clone, Copy, Default)]
pub(super) struct ConnectionPool {
    /// Incremented when busy connections become unusable; an attempt returns its connection only to a pool of the
    /// epoch in which it was sent.
    pub(super) epoch: u32,
    /// Process of the upstream that the connections lead to.
    pub(super) process: u32,
    /// Number of idle connections.
    pub(super) idle: u16,
    pub(super) idle_since: Time,
}

/// A balancer, across all incarnations of its process.
pub(super) struct Balancer {
    pub(super) tier: usize,
    pub(super) zone: u8,
    pub(super) agent: BoxedAgent,
    /// Clock offset in nanoseconds; positive if the clock is ahead.
    pub(super) clock_offset: i64,
    pub(super) clock_drift: f64,
    pub(super) network_rng: ChaCha8Rng,
    pub(super) registry_rng: ChaCha8Rng,
    pub(super) seed_rng: ChaCha8Rng,
    pub(super) pools: Vec<ConnectionPool>,
    /// Open connections over HTTP/1.1, idle and busy.
    pub(super) open_connections: u32,
    /// Host of each server that the balancer sent to, by the balancer's own number for the server.
    pub(super) host_by_server: Vec<u32>,
    /// Time at which the agent's timer is due; `Time::MAX` if none is scheduled.
    pub(super) planned_tick: Time,
    pub(super) alive: bool,
    pub(super) incarnation: u32,
    /// End of the latest pause of the process.
    pub(super) resume_at: Time,
    /// The balancer drains: it gets no new connections, and answers its open requests.
    pub(super) draining: bool,
    /// The balancer receives changes of the upstream list.
    pub(super) subscribed: bool,
    /// Number of list changes that the balancer has applied.
    pub(super) applied_changes: u32,
    /// Updates in transit, in order. Updates that arrive at the same time are merged.
    pub(super) updates: VecDeque<ListUpdate>,
}

/// An update of the upstream list on its way to a balancer.
pub(super) struct ListUpdate {
    pub(super) arrives_at: Time,
    /// Number of list changes that the balancer has received after this update.
    pub(super) change_count: u32,
}

impl Balancer {
    /// Time that this balancer's clock shows at a simulated time.
    pub(super) fn local_time(&self, now: Time) -> Time {
        let drifted = (now as f64 * self.clock_drift) as i64;
        (EPOCH + now).saturating_add_signed(self.clock_offset + drifted)
    }

    /// Simulated time at which this balancer's clock shows `local`.
    pub(super) fn simulated_time(&self, local: Time) -> Time {
        let elapsed = local
            .saturating_add_signed(-self.clock_offset)
            .saturating_sub(EPOCH);
        (elapsed as f64 / (1.0 + self.clock_drift)).round() as Time
    }
}

/// A health probe without an answer yet.
pub(super) struct PendingProbe {
    pub(super) balancer: u32,
    pub(super) incarnation: u32,
    pub(super) upstream: u32,
    pub(super) process: u32,
    pub(super) server: ServerId,
}

/// A change of the upstream list.
pub(super) struct RegistryChange {
    pub(super) at: Time,
    pub(super) upstream: u32,
    pub(super) lifecycle: Lifecycle,
    pub(super) boot_ms: u64,
}

/// Targets of a scenario's fault, drawn when the fault begins, in ascending order.
pub(super) struct FaultTargets {
    pub(super) rng: ChaCha8Rng,
    pub(super) upstreams: Vec<u32>,
    pub(super) balancers: Vec<u32>,
}
