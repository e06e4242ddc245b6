//! Test harness for a balancer, with builders for settings, servers and events.
#![allow(dead_code, reason = "each test binary uses only a part of the harness")]

use std::collections::BTreeMap;
use woadstall_decisions::Balancer;
use woadstall_decisions::api::*;

pub const MS: u64 = 1_000_000;
pub const SECOND: u64 = 1000 * MS;
pub const SAFE: usize = 0;
pub const UNSAFE: usize = 1;
pub const KEYED_ALL: usize = 2;
pub const KEYED_ZONE: usize = 3;
pub const KEYED_CELL: usize = 4;

pub fn settings() -> Settings {
    let class = |effect, value| Class {
        latency_target: 500 * MS,
        latency_target_stretch: 0.0,
        deadline: 2 * SECOND,
        effect,
        late_value: 0.2,
        value,
    };
    Settings {
        classes: vec![
            class(Effect::Safe, 1.0),
            class(Effect::Unsafe, 5.0),
            class(Effect::Keyed(DedupScope::All, SECOND), 2.0),
            class(Effect::Keyed(DedupScope::Zone, SECOND), 2.0),
            class(Effect::Keyed(DedupScope::Cell, SECOND), 2.0),
        ],
        tenants: vec![],
        over_quota_value: 0.1,
        value_by_work: false,
        zone: ZoneId(0),
        zones: 3,
        balancers: 4,
        tier: 0,
        propagates_deadline: true,
        subscribes_to_discovery: false,
        subscribe_within: 10 * SECOND,
        may_cancel: true,
        max_retry_after: 0,
        max_attempts: 4,
        idle_timeout: 60 * SECOND,
        slow_start_capacity: 0.25,
        slow_start_overload: 3.0,
        slow_start_window: 10 * SECOND,
        in_flight_report_field: None,
        probes_for_load: false,
        cross_zone_cost: 0.0,
        probe_cost: 0.0,
    }
}

pub fn entry(server: u32, zone: u8) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        zone: ZoneId(zone),
        cell: (server % 2) as u16,
        lifecycle: Lifecycle::Ready,
        size: 1.0,
        started: None,
    }
}

/// The server list of `zones` zones with `per_zone` servers each. Servers are numbered zone by
/// zone.
pub fn zones(zones: u8, per_zone: u32) -> Vec<ServerEntry> {
    (0..zones)
        .flat_map(|zone| {
            (0..per_zone).map(move |number| entry(u32::from(zone) * per_zone + number, zone))
        })
        .collect()
}

/// A balancer under test, with a clock that the test advances.
pub struct Harness {
    pub balancer: Balancer,
    pub now: u64,
    pub next_id: u32,
}

impl Harness {
    pub fn new(settings: Settings, list: &[ServerEntry]) -> Self {
        let mut harness = Self {
            balancer: Balancer::new(settings, 11, SECOND).unwrap(),
            now: SECOND,
            next_id: 0,
        };
        harness.handle(Event::ServerList(list));
        harness
    }

    /// Passes an event to the balancer, and returns its actions.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Sends a request of a class, and returns its id and the resulting actions.
    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let parameters = RequestParameters {
            class,
            tenant: 0,
            time_left: 2 * SECOND,
            work: None,
            max_attempts: u32::MAX,
        };
        (id, self.handle(Event::Request(id, parameters)))
    }

    /// Ends an attempt. A successful outcome is the final response to the request.
    pub fn end(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed: u64,
    ) -> Vec<Action> {
        let closed = outcome == Outcome::Ok;
        self.handle(Event::AttemptEnded(
            id,
            AttemptEnd {
                attempt,
                outcome,
                elapsed,
                closed,
                load: None,
            },
        ))
    }

    /// Runs a request that succeeds after `elapsed` nanoseconds. Returns the server that it was
    /// sent to, or `None` if it was rejected.
    pub fn serve(&mut self, class: usize, elapsed: u64) -> Option<u32> {
        let (id, actions) = self.request(class);
        let server = sent_to(&actions);
        self.now += elapsed;
        if server.is_some() {
            self.end(id, 0, Outcome::Ok, elapsed);
        }
        server
    }

    /// Serves calls one at a time, so that the balancer has latency estimates.
    pub fn warm_up(&mut self, calls: u32) {
        for _ in 0..calls {
            self.serve(SAFE, 20 * MS);
        }
    }

    /// Runs a request whose attempts each end after 20 ms with `outcome(server)`. Returns the
    /// servers that were tried, and the final response if no attempt succeeded.
    pub fn run(
        &mut self,
        class: usize,
        outcome: impl Fn(u32) -> Outcome,
    ) -> (Vec<u32>, Option<Action>) {
        let (id, mut actions) = self.request(class);
        let mut tried = Vec::new();
        while let Some(server) = sent_to(&actions) {
            tried.push(server);
            self.now += 20 * MS;
            let result = outcome(server);
            actions = self.end(id, tried.len() as u32 - 1, result, 20 * MS);
            if result == Outcome::Ok {
                return (tried, None);
            }
        }
        (tried, actions.pop())
    }
}

/// The server of the attempt that the actions send, if any.
pub fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

pub fn probed_servers(actions: &[Action]) -> Vec<u32> {
    let server = |action: &Action| match action {
        Action::Probe(server) => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

/// A load report with a single figure, the calls in flight.
pub fn load_report(in_flight: f32) -> Option<LoadReport> {
    Some(LoadReport {
        figures: [in_flight, 0.0, 0.0, 0.0],
        len: 1,
    })
}

pub fn probing_settings() -> Settings {
    Settings {
        in_flight_report_field: Some(0),
        probes_for_load: true,
        ..settings()
    }
}

/// Number of occurrences of each server.
pub fn counts(servers: impl IntoIterator<Item = u32>) -> BTreeMap<u32, u32> {
    let mut counts = BTreeMap::new();
    for server in servers {
        *counts.entry(server).or_insert(0) += 1;
    }
    counts
}
