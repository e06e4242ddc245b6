//! What a run keeps while it goes on: calls, requests, attempts, balancers with their connections, and what is under
//! way.

use super::EPOCH;
use crate::agent::BoxedAgent;
use crate::front::CallerConnection;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::collections::VecDeque;
use woadstall_engine::{Lifecycle, ServerId, Time};

/// One thing that a caller, or an upstream, wants done.
pub(super) struct ClientCall {
    pub(super) class: usize,
    /// The group of callers, or none for an upstream's.
    pub(super) group: Option<u32>,
    /// The attempt that an upstream calls for.
    pub(super) parent: Option<u64>,
    pub(super) closed_loop: bool,
    pub(super) born: Time,
    pub(super) deadline: Time,
    pub(super) tries: u32,
    /// Requests of it that are not over.
    pub(super) requests: u32,
    pub(super) closed: bool,
    pub(super) measured: bool,
    /// The connection that its caller has asked on.
    pub(super) connection: Option<CallerConnection>,
    /// Groups of upstreams in which it ran, and when.
    pub(super) seen: SmallVec<[(u32, Time); 1]>,
}

pub(super) struct Request {
    pub(super) client_call: u64,
    pub(super) balancer: u32,
    pub(super) answered: bool,
    pub(super) attempts: u32,
    pub(super) out: SmallVec<[(u32, u64); 1]>,
}

pub(super) struct Attempt {
    pub(super) request: u64,
    pub(super) number: u32,
    pub(super) balancer: u32,
    pub(super) upstream: u32,
    pub(super) host: u32,
    pub(super) process: u32,
    /// Epoch of the connections to that upstream when it was sent.
    pub(super) epoch: u32,
    /// The balancer has not been told its end.
    pub(super) out: bool,
    /// Something of it is under way, waits or is worked on.
    pub(super) there: bool,
    /// It has a connection, and that is a new one.
    pub(super) socket: bool,
    pub(super) fresh: bool,
    /// Calls to the next tier that are not answered, and whether one went wrong.
    pub(super) calls: u32,
    pub(super) spoilt: bool,
    pub(super) sent: Time,
}

/// The connections of a balancer to one host.
#[derive(Clone, Copy, Default)]
pub(super) struct ConnectionPool {
    pub(super) epoch: u32,
    pub(super) process: u32,
    pub(super) idle: u16,
    pub(super) idle_since: Time,
}

pub(super) struct Balancer {
    pub(super) tier: usize,
    pub(super) zone: u8,
    pub(super) agent: BoxedAgent,
    /// Its clock: what it is ahead by, and goes faster by.
    pub(super) ahead: i64,
    pub(super) drift: f64,
    pub(super) network: ChaCha8Rng,
    pub(super) registry: ChaCha8Rng,
    pub(super) seeds: ChaCha8Rng,
    pub(super) pools: Vec<ConnectionPool>,
    /// Connections that are open, idle or not, over HTTP/1.1.
    pub(super) open: u32,
    /// The host of each server that it has sent to, by its own number for it.
    pub(super) hosts: Vec<u32>,
    pub(super) planned: Time,
    pub(super) alive: bool,
    pub(super) incarnation: u32,
    pub(super) stalled_until: Time,
    /// It is dealt no new connections, and answers what it holds.
    pub(super) leaving: bool,
    /// It is told of changes of the list.
    pub(super) subscribed: bool,
    /// Changes of the list that it was told of.
    pub(super) applied_changes: u32,
    /// Updates on their way: when each comes, and how many changes it covers. What comes at once is one list.
    pub(super) updates: VecDeque<(Time, u32)>,
}

impl Balancer {
    pub(super) fn local(&self, now: Time) -> Time {
        let drifted = (now as f64 * self.drift) as i64;
        (EPOCH + now).saturating_add_signed(self.ahead + drifted)
    }

    /// When its clock shows a time.
    pub(super) fn world(&self, local: Time) -> Time {
        let passed = local
            .saturating_add_signed(-self.ahead)
            .saturating_sub(EPOCH);
        (passed as f64 / (1.0 + self.drift)).round() as Time
    }
}

/// A probe that is out.
pub(super) struct PendingProbe {
    pub(super) balancer: u32,
    pub(super) incarnation: u32,
    pub(super) upstream: u32,
    pub(super) process: u32,
    pub(super) server: ServerId,
}

pub(super) struct RegistryChange {
    pub(super) at: Time,
    pub(super) upstream: u32,
    pub(super) lifecycle: Lifecycle,
    pub(super) boot_ms: u64,
}

/// What a fault of the script hits, drawn as it begins; numbers rise.
pub(super) struct FaultTargets {
    pub(super) rng: ChaCha8Rng,
    pub(super) upstreams: Vec<u32>,
    pub(super) balancers: Vec<u32>,
}
