//! Golden test of the routing decisions in a long seeded run, recorded as one digest.
//!
//! The digest covers only numbers and upstream ids, so that it does not depend on the names of
//! types or variants. Refactoring must not change it.

mod support;

use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;
use support::{OWN, limits, registration};
use woadstall_control::configuration::Configuration;
use woadstall_control::loads::{FleetLoad, FleetLoads, PrefixPlacement};
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::shards::short_hash;
use woadstall_routing::{
    Decision, Fleet, Location, Outcome, Prompt, Query, Router, Target, UpstreamId,
};

const STEPS: u64 = 20_000;
const ZONES: [(&str, &str); 5] = [
    ("n1", "north"),
    ("n2", "north"),
    ("s1", "south"),
    ("s2", "south"),
    ("w1", "west"),
];
const UPSTREAMS_PER_ZONE: u64 = 5;
const SERVICES: [&str; 2] = ["model", "plain"];
const STATUSES: [UpstreamStatus; 4] = [
    UpstreamStatus::Ready,
    UpstreamStatus::Draining,
    UpstreamStatus::TimedOut,
    UpstreamStatus::Deregistered,
];
const OUTCOMES: [Outcome; 7] = [
    Outcome::Answered,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::ConnectionError,
    Outcome::UpstreamError,
    Outcome::TimedOut,
    Outcome::Cancelled,
];

/// FNV-1a hash of all bytes written to it.
struct Digest(u64);

impl Digest {
    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Random numbers of the test (SplitMix64), independent of the router's generator.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

fn configuration() -> Configuration {
    let route = |name: &str, service: &str, kind: &str, resumable: bool, regions: &[&str]| {
        json!({
            "name": name, "host": name, "path_prefix": "/", "route_type": kind, "timeout_ms": 5000,
            "service": service, "session_affinity": true, "max_attempts": 3, "resumable": resumable,
            "allowed_regions": regions,
        })
    };
    let document = json!({
        "generation": 1,
        "routes": [
            route("r0", "model", "streaming", true, &[]),
            route("r1", "model", "streaming", false, &[]),
            route("r2", "plain", "safe", false, &[]),
            route("r3", "plain", "non_idempotent", false, &["south", "west"]),
            route("r4", "model", "safe", false, &["south"]),
        ],
        "services": [
            {
                "name": "model", "max_connections": 370, "cold_start_s": 3.0, "warmup_per_s": 21.0,
                "engine": { "capacity": 8, "kv_capacity_tokens": 60_000 },
            },
            { "name": "plain", "max_connections": 40 },
        ],
    });
    Configuration::read(&document).unwrap()
}

struct Run {
    router: Router,
    configuration: Configuration,
    draws: Draws,
    digest: Digest,
    now: u64,
    sequence: u64,
    /// Number of the newest prefix placement in a report.
    last_placement: u32,
    in_flight: Vec<Target>,
    /// Number of forwarded requests. The run must reach every kind of decision and every skip
    /// reason.
    sent: u64,
    rejected: u64,
    skip_reasons: BTreeSet<u64>,
}

impl Run {
    fn new() -> Self {
        let location = Location {
            region: "north".to_owned(),
            region_by_zone: ZONES
                .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
                .into(),
        };
        let mut run = Self {
            router: Router::new(location, limits(), 4_711),
            configuration: configuration(),
            draws: Draws(20_260_101),
            digest: Digest(0xcbf2_9ce4_8422_2325),
            now: 1_000,
            sequence: 1,
            last_placement: 0,
            in_flight: Vec::new(),
            sent: 0,
            rejected: 0,
            skip_reasons: BTreeSet::new(),
        };
        let registrations = run.all_registrations();
        registrations
            .iter()
            .for_each(|registration| run.router.register(0, registration));
        run
    }

    fn all_registrations(&self) -> Vec<Registration> {
        let of_zone = |(zone, _): (&'static str, &str)| {
            (0..UPSTREAMS_PER_ZONE).map(move |number| {
                let service = SERVICES[usize::from(number >= 3)].to_owned();
                Registration {
                    service,
                    capacity: 4,
                    ..registration(&format!("{zone}-{number}"), zone)
                }
            })
        };
        ZONES.into_iter().flat_map(of_zone).collect()
    }

    fn random_registration(&mut self) -> Registration {
        let all = self.all_registrations();
        all[self.draws.below(all.len() as u64) as usize].clone()
    }

    fn random_prompt(&mut self) -> Prompt {
        match self.draws.below(3) {
            0 => Prompt::default(),
            1 => Prompt {
                prefix_hash: None,
                prefix_tokens: 0,
                total_tokens: self.draws.below(30_000),
            },
            _ => {
                let prefix_hash = self.draws.below(12) as u32;
                let prefix_tokens = 4_000 + 1_000 * u64::from(prefix_hash);
                let total_tokens = prefix_tokens + self.draws.below(2_000);
                Prompt {
                    prefix_hash: Some(prefix_hash),
                    prefix_tokens,
                    total_tokens,
                }
            }
        }
    }

    fn request(&mut self) {
        let route = self.draws.below(self.configuration.routes.len() as u64) as usize;
        let route = self.configuration.routes[route].clone();
        let service = self.configuration.services[&route.targets[0].service].clone();
        let prompt = self.random_prompt();
        self.router.record_request(self.now, &service.name);
        let mut tried: Vec<UpstreamId> = Vec::new();
        loop {
            let query = Query {
                route: &route,
                service: &service,
                prompt,
                tried: &tried,
            };
            let summary = self.router.summarize_candidates(self.now, &query);
            self.digest.number(summary.candidates as u64);
            for (reason, count) in &summary.skipped {
                self.skip_reasons.insert(*reason as u64);
                self.digest.number(*reason as u64);
                self.digest.number(*count as u64);
            }
            match self.router.choose(self.now, &query) {
                Decision::Forward(target) => {
                    self.sent += 1;
                    self.digest.bytes(target.id.as_bytes());
                    self.digest.bytes(target.address.to_string().as_bytes());
                    self.digest.bytes(target.zone.as_bytes());
                    self.digest.number(u64::from(target.is_local_region));
                    self.digest.number(target.max_connections as u64);
                    self.digest.number(target.prefill_tokens);
                    self.digest.number(target.prefill_backlog);
                    self.digest.number(u64::from(target.in_flight));
                    tried.push(target.id.clone());
                    self.in_flight.push(target);
                }
                Decision::Reject(rejection) => {
                    self.rejected += 1;
                    self.digest.number(rejection.retry_after.as_millis() as u64);
                    self.digest.number(u64::from(rejection.no_usable_upstream));
                    return;
                }
            }
            let is_retried =
                self.draws.one_in(6) && self.router.try_withdraw_retry(self.now, &service.name);
            self.digest.number(u64::from(is_retried));
            if !is_retried {
                return;
            }
        }
    }

    /// Advances or ends a random request in flight. Zone `n2` is periodically down, and all its
    /// requests fail meanwhile.
    fn advance_request(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.draws.below(self.in_flight.len() as u64) as usize;
        let id = self.in_flight[index].id.clone();
        let is_dead_zone =
            &*self.in_flight[index].zone == "n2" && (self.now / 8_000).is_multiple_of(3);
        match self.draws.below(4) {
            _ if is_dead_zone => {
                self.router.finish(
                    self.now,
                    &id,
                    Outcome::ConnectFailed,
                    self.in_flight[index].prefill_tokens,
                );
                self.in_flight.swap_remove(index);
            }
            0 => {
                self.router
                    .record_activity(self.now, &id, self.in_flight[index].prefill_tokens);
                self.in_flight[index].prefill_tokens = 0;
            }
            1 => self.router.record_response(self.now, &id),
            _ => {
                let target = self.in_flight.swap_remove(index);
                let outcome = if self.draws.one_in(4) {
                    OUTCOMES[self.draws.below(OUTCOMES.len() as u64) as usize]
                } else {
                    self.router.record_response(self.now, &id);
                    Outcome::Answered
                };
                self.router
                    .finish(self.now, &id, outcome, target.prefill_tokens);
            }
        }
    }

    fn change_registration(&mut self) {
        self.sequence += 1;
        let status = if self.draws.one_in(3) {
            STATUSES[self.draws.below(STATUSES.len() as u64) as usize]
        } else {
            UpstreamStatus::Ready
        };
        let slow_start_remaining_ms = if self.draws.one_in(3) {
            self.draws.below(4_000)
        } else {
            0
        };
        let capacity = 1 + self.draws.below(6);
        let base = self.random_registration();
        // A deregistered process never registers again; its successor has another id.
        let id = format!("{}-{}", base.id, self.now / 30_000);
        let sequence = self.sequence;
        let registration = Registration {
            id,
            status,
            sequence,
            slow_start_remaining_ms,
            capacity,
            ..base
        };
        self.router.register(self.now, &registration);
    }

    fn snapshot(&mut self) {
        let all = self.all_registrations();
        let registrations: Vec<Registration> =
            all.into_iter().filter(|_| !self.draws.one_in(10)).collect();
        self.router.apply_snapshot(self.now, &registrations);
    }

    fn change_evacuation(&mut self) {
        let zones: BTreeSet<String> = ZONES
            .iter()
            .filter(|_| self.draws.one_in(6))
            .map(|(zone, _)| (*zone).to_owned())
            .collect();
        let warmup = |service: &str| Duration::from_secs(if service == "model" { 3 } else { 0 });
        self.router.set_evacuated_zones(self.now, &zones, warmup);
    }

    fn change_fleet(&mut self) {
        let mut fleet = Fleet::new(OWN);
        for (index, region) in ["north", "south", "west"].into_iter().enumerate() {
            let first = 100 * index as u32 + 2;
            let mut balancers: Vec<u32> = (first..first + self.draws.below(4) as u32).collect();
            if region == "north" {
                balancers.push(OWN);
            }
            fleet.by_region.insert(region.to_owned(), balancers);
        }
        self.router.set_fleet(fleet);
    }

    fn change_fleet_loads(&mut self) {
        let mut loads = FleetLoads::default();
        for _ in 0..self.draws.below(6) {
            let upstream = short_hash(&self.random_registration().id);
            let (backlog_tokens, failing) =
                (self.draws.below(30_000) as u32, self.draws.below(4) as u16);
            loads.upstreams.push(FleetLoad {
                upstream,
                pending_prefill_tokens: backlog_tokens,
                failing_balancers: failing,
            });
            self.last_placement += 1;
            let number = self.last_placement - self.draws.below(2) as u32;
            let prefix_hash = self.draws.below(12) as u32;
            let tokens = 4_000 + 1_000 * prefix_hash;
            loads.placements.push(PrefixPlacement {
                number,
                upstream,
                prefix: prefix_hash,
                prefix_tokens: tokens,
                suffix_tokens: 500,
            });
        }
        self.router.set_fleet_loads(self.now, &loads);
    }

    fn report_loads(&mut self) {
        for load in self.router.upstream_loads(self.now) {
            self.digest.number(u64::from(load.upstream));
            self.digest.number(u64::from(load.pending_prefill_tokens));
            self.digest.number(u64::from(load.is_failing));
        }
        for placement in self.router.recent_placements(self.now) {
            let PrefixPlacement {
                number,
                upstream,
                prefix,
                prefix_tokens,
                suffix_tokens,
            } = placement;
            [number, upstream, prefix, prefix_tokens, suffix_tokens]
                .into_iter()
                .for_each(|field| self.digest.number(u64::from(field)));
        }
    }

    fn step(&mut self) {
        self.now += self.draws.below(40);
        match self.draws.below(100) {
            0..45 => self.request(),
            45..90 => self.advance_request(),
            90..93 => self.change_registration(),
            93 => self.router.sweep(self.now),
            94 if self.draws.one_in(4) => self.snapshot(),
            95 if self.draws.one_in(6) => self.change_evacuation(),
            96 if self.draws.one_in(2) => self.change_fleet(),
            97 => self.report_loads(),
            _ => self.change_fleet_loads(),
        }
        let id = self.random_registration().id;
        self.digest.number(u64::from(self.router.is_usable(&id)));
        self.digest.number(self.router.known_upstreams() as u64);
    }
}

#[test]
fn a_seeded_run_takes_the_golden_decisions() {
    let mut run = Run::new();
    for _ in 0..STEPS {
        run.step();
    }
    assert!(
        run.sent > 1_000 && run.rejected > 100,
        "{} sent, {} rejected",
        run.sent,
        run.rejected
    );
    assert_eq!(run.skip_reasons, (0..7).collect());
    assert_eq!(format!("{:016x}", run.digest.0), "f6819980a098b23d");
}
