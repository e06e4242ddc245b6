//! A small fleet of coordinators whose balancers call servers with given faults.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use woadstall_decisions::api::{FailureDomain, Outcome, ServerId};
use woadstall_evacuation::{
    Coordinator, CoordinatorSettings, ListedServer, Order, OrderAction, Topology,
};
use woadstall_health_reports::{AttemptId, CompletedAttempt, PendingAttempt, SubjectKind};
use woadstall_membership::{Generation, MemberMetadata, Name, Node};

/// A millisecond, in nanoseconds.
pub const MS: u64 = 1_000_000;
/// The time between two steps, in nanoseconds.
pub const STEP: u64 = 100 * MS;
/// The Unix time at the start of a run, in milliseconds.
pub const UNIX_MS: u64 = 1_767_225_600_000;
/// The names of the zones, each with the name of its region.
pub const ZONES: [(&str, &str); 3] = [
    ("norte", "litoral"),
    ("centro", "litoral"),
    ("sur", "sierra"),
];
const CLASSES: [&str; 2] = ["chat", "lote"];
const BALANCERS_PER_ZONE: usize = 4;
pub const SERVERS_PER_ZONE: u32 = 4;
const CALLS_PER_STEP: u32 = 6;

/// An FNV-1a hash of all numbers and bytes that are added.
pub struct Digest(pub u64);

impl Digest {
    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// A SplitMix64 random number generator with its state.
pub struct Random(pub u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}

pub struct Balancer {
    pub node: Node,
    pub coordinator: Coordinator,
    /// The number of calls made so far.
    calls: u32,
    /// The hanging calls, each with the time at which it was sent.
    hanging: Vec<(PendingAttempt, u64)>,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8 + 1], 7_000))
}

fn balancer(number: usize) -> Balancer {
    let zone = number / BALANCERS_PER_ZONE;
    let (zone_name, region) = ZONES[zone];
    let metadata = MemberMetadata {
        name: name(&format!("b-{number}")),
        generation: Generation {
            started_ms: UNIX_MS,
            id: number as u64 + 1,
        },
        address: address(number),
        zone: name(zone_name),
        region: Some(name(region)),
    };
    let seeds = vec![address(0), address(BALANCERS_PER_ZONE)];
    let node = Node::new(
        metadata,
        seeds,
        woadstall_membership::Settings::default(),
        number as u64,
        0,
    )
    .unwrap();
    let zones = ZONES.map(|(zone, region)| (zone.to_owned(), Some(region.to_owned())));
    let topology = Topology::new("0", &zones, &CLASSES.map(str::to_owned));
    let mut coordinator = Coordinator::new(CoordinatorSettings { topology, zone });
    let servers =
        (0..SERVERS_PER_ZONE * ZONES.len() as u32).map(|server| (server, format!("nodo-{server}")));
    let servers: Vec<(u32, String)> = servers.collect();
    coordinator.set_servers(servers.iter().map(|(server, name)| ListedServer {
        server: ServerId(*server),
        name,
        boot_ms: 1,
        zone: (server / SERVERS_PER_ZONE) as usize,
        size: Some(1.0),
    }));
    Balancer {
        node,
        coordinator,
        calls: 0,
        hanging: Vec::new(),
    }
}

impl Balancer {
    /// Makes the calls of a step and records their outcomes.
    pub fn make_calls(&mut self, now: u64, random: &mut Random, faults: Faults) {
        for _ in 0..CALLS_PER_STEP {
            self.make_call(now, random, faults);
        }
        self.end_hanging_calls(now);
        let pending = self
            .hanging
            .iter()
            .map(|(pending, sent_at)| PendingAttempt {
                age_ns: now - sent_at,
                ..*pending
            });
        self.coordinator.record_pending(now, pending);
    }

    fn make_call(&mut self, now: u64, random: &mut Random, faults: Faults) {
        self.calls += 1;
        let id = AttemptId {
            request: self.calls,
            attempt: 1,
        };
        let server = random.below(u64::from(SERVERS_PER_ZONE) * ZONES.len() as u64) as u32;
        let class = random.below(2) as usize;
        let (failing, slow) = faults(now / (1_000 * MS), server, class);
        let server = ServerId(server);
        let percentile = random.below(100);
        let usual_ns = 20 * MS + random.below(10) * MS;
        let (outcome, duration_ns) = match percentile {
            _ if percentile < failing && random.below(3) == 0 => {
                let pending = PendingAttempt {
                    id,
                    server,
                    class,
                    age_ns: 0,
                };
                self.hanging.push((pending, now));
                return;
            }
            _ if percentile < failing / 2 => (Outcome::Error, usual_ns),
            _ if percentile < failing => (Outcome::Timeout, 80 * MS),
            _ if percentile < failing + slow => (Outcome::Ok, 8 * usual_ns),
            _ => (Outcome::Ok, usual_ns),
        };
        let completed = CompletedAttempt {
            id,
            server,
            class,
            outcome,
            duration_ns,
        };
        self.coordinator.record_completed(now, &completed);
    }

    fn end_hanging_calls(&mut self, now: u64) {
        let timeout = 1_000 * MS;
        let has_timed_out = |sent_at: u64| now >= sent_at + timeout;
        for (pending, _) in self
            .hanging
            .extract_if(.., |(_, sent_at)| has_timed_out(*sent_at))
        {
            let completed = CompletedAttempt {
                id: pending.id,
                server: pending.server,
                class: pending.class,
                outcome: Outcome::Timeout,
                duration_ns: timeout,
            };
            self.coordinator.record_completed(now, &completed);
        }
    }

    /// Runs a step of the coordinator, adds its output to the digest, and returns the number of
    /// verdicts.
    pub fn step(&mut self, now: u64, digest: &mut Digest) -> usize {
        let output = self
            .coordinator
            .step(now, UNIX_MS + now / MS, &mut self.node);
        digest.number(output.lines.len() as u64);
        for verdict in &output.verdicts {
            match verdict.domain {
                FailureDomain::Zone(zone, class) => {
                    digest.number(u64::from(zone.0));
                    digest.number(class.map_or(u64::MAX, |class| class as u64));
                }
                FailureDomain::Server(server) => digest.number(1_000 + u64::from(server.0)),
            }
            digest.number(u64::from(verdict.share.to_bits()));
            digest.number(verdict.until);
        }
        output.verdicts.len()
    }
}

/// Returns the percentage of a server's calls of a class that fail, and the percentage that are slow,
/// in a given second of the run.
pub type Faults = fn(second: u64, server: u32, class: usize) -> (u64, u64);

/// Creates a fleet of four balancers in each of three zones.
pub fn new_fleet() -> Vec<Balancer> {
    (0..ZONES.len() * BALANCERS_PER_ZONE)
        .map(balancer)
        .collect()
}

/// Delivers all membership messages, including the messages sent in response, until none is left.
pub fn deliver(fleet: &mut [Balancer], now: u64) {
    let by_address: HashMap<SocketAddr, usize> = (0..fleet.len())
        .map(|number| (address(number), number))
        .collect();
    let mut messages: VecDeque<(usize, Vec<u8>)> = VecDeque::new();
    for number in 0..fleet.len() {
        while let Some(message) = fleet[number].node.next_outgoing() {
            messages.push_back((by_address[&message.to], message.bytes));
        }
        while let Some((to, bytes)) = messages.pop_front() {
            fleet[to].node.receive(now, &bytes).unwrap();
            while let Some(message) = fleet[to].node.next_outgoing() {
                messages.push_back((by_address[&message.to], message.bytes));
            }
        }
    }
}

/// Submits an order to the second balancer. The order is valid for 4 s.
pub fn submit_order(
    fleet: &mut [Balancer],
    now: u64,
    kind: SubjectKind,
    name: &str,
    action: OrderAction,
) {
    let coordinator = &mut fleet[1].coordinator;
    let subject = coordinator.order_subject(kind, name).unwrap();
    let issued_ms = UNIX_MS + now / MS;
    let until_ms = issued_ms + 4_000;
    let order = Order {
        subject,
        action,
        issued_ms,
        until_ms,
        id: 1,
    };
    assert!(coordinator.submit_order(issued_ms, order).is_ok());
}
