//! Injector of planned work: shutdowns and restarts of fronts, reloads, configurations, evacuations, and upstreams that
//! drain. The seed of a run determines what happens; events overlap and come in bursts.

use super::history::GRACE_PERIOD;
use super::run::Run;
use fastrand::Rng;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};
use woadstall_mock_servers::system::{System, call};

/// Maximum interval between two events, in milliseconds.
const MAX_INTERVAL_MS: u64 = 500;
/// Maximum interval between two events of a burst, in milliseconds.
const MAX_BURST_INTERVAL_MS: u64 = 20;
/// Interval at which ended fronts are restarted after the last event.
const RESTART_INTERVAL: Duration = Duration::from_millis(50);
/// Number of core machines, and thereby of zones.
const CORES: u8 = 3;
/// Requests that an upstream serves at the same time.
const UPSTREAM_CAPACITY: u32 = 200;

/// A front that shuts down.
struct EndingFront {
    front: u8,
    began: Instant,
    end: Receiver<(ExitStatus, Instant)>,
}

/// An upstream's registration.
struct Registration {
    address: SocketAddr,
    zone: u8,
    /// Number of earlier registrations of this upstream; each has an id of its own.
    incarnation: u32,
    is_draining: bool,
    sequence: u32,
}

/// Injects events into the processes of a system.
pub struct Faults {
    pub system: System,
    run: Arc<Run>,
    random: Rng,
    ending: Vec<EndingFront>,
    generation: u64,
    evacuated_zone: Option<u8>,
    registrations: Vec<Registration>,
    /// Exits of fronts that were late or not successful.
    pub failures: Vec<String>,
    /// Number of events.
    pub count: u32,
}

impl Faults {
    /// Configures a system that was just started, registers the upstreams, and waits until the fronts have applied both.
    pub fn new(system: System, run: Arc<Run>, upstreams: &[SocketAddr], seed: u64) -> Self {
        let registrations = upstreams.iter().zip((0..CORES).cycle());
        let registrations = registrations
            .map(|(address, zone)| Registration {
                address: *address,
                zone,
                incarnation: 0,
                is_draining: false,
                sequence: 0,
            })
            .collect();
        system.configure(0, 0, &configuration(1));
        let mut faults = Self {
            system,
            run,
            random: Rng::with_seed(seed),
            ending: Vec::new(),
            generation: 1,
            evacuated_zone: None,
            registrations,
            failures: Vec::new(),
            count: 0,
        };
        for upstream in 0..faults.registrations.len() {
            faults.register(upstream, "ready");
        }
        let fronts = faults.system.fronts.iter().flatten();
        let last = faults.registration_id(faults.registrations.len() - 1);
        let line = format!("registration_applied upstream={last}");
        fronts.for_each(|front| drop(front.wait_for(&line)));
        faults
    }

    /// Injects events until a time, and then waits until all fronts serve again.
    pub fn inject(&mut self, until: Instant) {
        while Instant::now() < until {
            self.inject_one();
            let is_burst = self.random.u8(0..3) == 0;
            let max_interval_ms = if is_burst {
                MAX_BURST_INTERVAL_MS
            } else {
                MAX_INTERVAL_MS
            };
            let pause = self.random.u64(0..max_interval_ms);
            self.run.pause(Duration::from_millis(pause));
            self.restart_ended();
        }
        while !self.ending.is_empty() {
            self.run.pause(RESTART_INTERVAL);
            self.restart_ended();
        }
    }

    fn inject_one(&mut self) {
        self.count += 1;
        match self.random.u8(0..16) {
            0..=6 => self.terminate(),
            7..=9 => self.reload(),
            10..=11 => self.configure(),
            12..=13 => self.change_evacuation(),
            _ => self.change_registration(),
        }
    }

    fn running_front(&mut self) -> Option<u8> {
        let is_running = |front: &u8| self.system.fronts[usize::from(*front)].is_some();
        let count = u8::try_from(self.system.fronts.len()).expect("a small number");
        let running: Vec<u8> = (0..count).filter(is_running).collect();
        let can_spare = running.len() > 1;
        let index = self.random.usize(0..running.len().max(1));
        can_spare.then(|| running[index])
    }

    /// Sends SIGTERM to a front, at times with further signals just after it.
    fn terminate(&mut self) {
        let Some(front) = self.running_front() else {
            return;
        };
        let process = self.system.fronts[usize::from(front)].take();
        let process = process.expect("the front is running");
        self.run.record_shutdown(front);
        let began = Instant::now();
        process.signal("TERM");
        for signal in ["TERM", "HUP"] {
            if self.random.bool() {
                process.signal(signal);
            }
        }
        let (sender, end) = channel();
        thread::spawn(move || sender.send((process.wait(), Instant::now())));
        self.ending.push(EndingFront { front, began, end });
    }

    fn restart_ended(&mut self) {
        for ending in std::mem::take(&mut self.ending) {
            let Ok((status, ended)) = ending.end.try_recv() else {
                self.ending.push(ending);
                continue;
            };
            let duration = ended - ending.began;
            if !status.success() || duration > GRACE_PERIOD {
                let front = ending.front;
                let failure = format!("front-{front} ended after {duration:?} with {status}");
                self.failures.push(failure);
            }
            self.system.start_front(ending.front);
            self.system
                .front_process(ending.front)
                .wait_for("front_started");
        }
    }

    /// Changes the order of the seeds in the settings of a front, and sends SIGHUP.
    fn reload(&mut self) {
        let Some(front) = self.running_front() else {
            return;
        };
        self.system
            .rewrite_settings(&format!("front-{front}"), |settings| {
                if let Some(seeds) = settings["seeds"].as_array_mut() {
                    seeds.reverse();
                }
            });
        self.system.front_process(front).signal("HUP");
    }

    fn configure(&mut self) {
        let next = self.generation + 1;
        let headers = format!("If-Match: {}\r\n", self.generation);
        let body = configuration(next).to_string();
        if self.call("PUT", "/v1/config", &headers, &body) {
            self.generation = next;
        }
    }

    fn change_evacuation(&mut self) {
        let (method, zone) = match self.evacuated_zone {
            Some(zone) => ("DELETE", zone),
            None => ("POST", self.random.u8(0..CORES)),
        };
        let path = format!("/v1/evacuations/zone-{zone}");
        if self.call(method, &path, "", "") {
            self.evacuated_zone = (method == "POST").then_some(zone);
        }
    }

    /// Lets an upstream drain, or replaces the registration of one that drains.
    fn change_registration(&mut self) {
        let draining = self
            .registrations
            .iter()
            .position(|upstream| upstream.is_draining);
        match draining {
            Some(upstream) => {
                let path = format!("/v1/instances/{}", self.registration_id(upstream));
                self.call("DELETE", &path, "", "");
                self.registrations[upstream].incarnation += 1;
                self.register(upstream, "ready");
            }
            None => {
                let upstream = self.random.usize(0..self.registrations.len());
                self.register(upstream, "draining");
            }
        }
    }

    fn registration_id(&self, upstream: usize) -> String {
        format!("i-{upstream}-{}", self.registrations[upstream].incarnation)
    }

    fn register(&mut self, upstream: usize, state: &str) {
        let path = format!("/v1/instances/{}", self.registration_id(upstream));
        let registration = &mut self.registrations[upstream];
        registration.is_draining = state == "draining";
        registration.sequence += 1;
        let body = json!({
            "service": "s", "address": registration.address, "zone": format!("zone-{}", registration.zone),
            "capacity": UPSTREAM_CAPACITY, "state": state, "cold_remaining_ms": 0, "sequence": registration.sequence,
        });
        self.call("PUT", &path, "", &body.to_string());
    }

    /// Calls core machines until one acknowledges; returns `false` if all reject the call.
    fn call(&mut self, method: &str, path: &str, headers: &str, body: &str) -> bool {
        let first = self.random.u8(0..CORES);
        (0..CORES).any(|number| {
            let address = self.system.control((first + number) % CORES);
            let response = call(address, method, path, headers, body.as_bytes());
            response.is_some_and(|response| response.status() == 200)
        })
    }
}

fn configuration(generation: u64) -> Value {
    // The time-outs change with each configuration, and never end a stream of the clients.
    let timeout_ms = 10_000 + generation;
    let route = |name: &str, route_type: &str| {
        json!({
            "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"), "route_type": route_type,
            "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1, "service": "s", "max_attempts": 2,
            "resumable": name == "resume",
        })
    };
    json!({
        "generation": generation,
        "routes": [route("stream", "streaming"), route("resume", "streaming"), route("once", "non_idempotent")],
        "services": [{ "name": "s", "max_connections": 1_000 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 2_000,
            "idle_timeout_ms": 15_000,
        },
    })
}
