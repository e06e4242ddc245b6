//! One balancer: a process of the shipped program, and the addresses at which it finds others and they find it.

use crate::agents::Agent;
use crate::keeper::{Keeper, Process};
use bytes::Bytes;
use http::Request;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nix::sys::signal::Signal;
use serde_json::Value;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use woadstall_emulator::Scenario;
use woadstall_load_test::callers::Door;
use woadstall_load_test::settings::{Place, config};

/// A process that does not serve by then has not come up.
const READY: Duration = Duration::from_secs(10);

/// See the module's documentation.
pub struct Balancer {
    /// Its number, its tier and its zone, and where its process listens.
    pub place: Place,
    /// The nodo that it stands beside, if it does.
    pub beside: Option<u32>,
    /// Where it is called.
    pub door: Door,
    /// Its process.
    pub process: Process,
    /// Its list.
    pub agent: Agent,
    /// Where it finds its agent.
    pub agent_at: SocketAddr,
    /// Where it finds each nodo of its tier, in their order.
    pub ways: Vec<SocketAddr>,
    /// By how much its clock is ahead of the nodos', in milliseconds. The program compares it with the times at
    /// which nodos started alone, so they are told to it as a clock that is right would show them.
    pub ahead_ms: i64,
    /// Where operators call it, if they do.
    pub admin: Option<SocketAddr>,
    /// Whether its process is to run; one that is gone without having been told is an error.
    wanted: AtomicBool,
    starts: AtomicU32,
    peak_kb: AtomicU64,
}

/// Ports of a balancer's own address, each with those that are tried after it. They lie under those that machines give
/// to connections on their way out: one of these could take a port while its process is down.
#[derive(Clone, Copy, Debug)]
pub enum Port {
    /// Where it is called.
    Calls = 20_000,
    /// Where operators call it.
    Operators = 22_000,
    /// Where other balancers find it.
    Members = 24_000,
}

const TRIED: u16 = 1_000;

/// An address of its own that is free, for a process that will listen there.
pub async fn address(number: u32) -> std::io::Result<SocketAddr> {
    let [_, _, high, low] = number.to_be_bytes();
    // Several runs on one machine have different ones, so that a free port stays free until it is taken.
    let run = 80 + (std::process::id() % 170) as u8;
    free(
        IpAddr::V4(Ipv4Addr::new(127, run, high, low.wrapping_add(1))),
        Port::Calls,
    )
    .await
}

/// A free port at an address.
pub async fn free(ip: IpAddr, kind: Port) -> std::io::Result<SocketAddr> {
    let first = kind as u16 + (std::process::id() % u32::from(TRIED)) as u16;
    for port in first..first + TRIED {
        match TcpListener::bind((ip, port)).await {
            Ok(listener) => return listener.local_addr(),
            Err(error) if error.kind() != std::io::ErrorKind::AddrInUse => return Err(error),
            Err(_) => {}
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

impl Balancer {
    /// One whose process was not started yet.
    pub fn new(
        place: Place,
        beside: Option<u32>,
        door: Door,
        process: Process,
        (agent, agent_at): (Agent, SocketAddr),
        ways: Vec<SocketAddr>,
        ahead_ms: i64,
    ) -> Self {
        let (wanted, starts, peak_kb) =
            (AtomicBool::new(false), AtomicU32::new(0), AtomicU64::new(0));
        let admin = None;
        Self {
            place,
            beside,
            door,
            process,
            agent,
            agent_at,
            ways,
            ahead_ms,
            admin,
            wanted,
            starts,
            peak_kb,
        }
    }

    /// Starts its process with a list that it knows, and returns once it serves.
    pub async fn start(
        &self,
        keeper: &Keeper,
        scenario: &Scenario,
        seed: u64,
        known: &[Value],
    ) -> Result<(), String> {
        let name = &self.process.name;
        // A new process has random numbers of its own.
        let start = u64::from(self.starts.fetch_add(1, Ordering::Relaxed));
        let seed = seed.wrapping_add(start.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut config = config(scenario, &self.place, seed, self.agent_at, known);
        if let Some(admin) = self.admin {
            config["admin"] = admin.to_string().into();
        }
        let told = std::fs::write(self.process.config(), config.to_string());
        told.map_err(|error| format!("{name}: {error}"))?;
        self.wanted.store(true, Ordering::Relaxed);
        self.process
            .start(keeper)
            .await
            .map_err(|error| format!("{name}: {error}"))?;
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(HttpConnector::new());
        let began = Instant::now();
        loop {
            let uri = format!("http://{}/healthz", self.place.listen);
            let request = Request::get(uri)
                .body(Empty::<Bytes>::new())
                .map_err(|error| error.to_string())?;
            if matches!(timeout(READY, client.request(request)).await, Ok(Ok(_))) {
                break;
            }
            if !self.wanted.load(Ordering::Relaxed) {
                return Ok(()); // ended on purpose before it was up
            }
            if let Some(status) = self.process.ended() {
                return Err(format!("{name} did not start ({status}): {}", self.said()));
            }
            if began.elapsed() > READY {
                return Err(format!(
                    "{name} does not serve after {} s: {}",
                    READY.as_secs(),
                    self.said()
                ));
            }
            sleep(Duration::from_millis(10)).await;
        }
        if self.wanted.load(Ordering::Relaxed) {
            self.door.open.store(true, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Its process is killed, with all that it holds.
    pub fn kill(&self) {
        self.wanted.store(false, Ordering::Relaxed);
        self.door.open.store(false, Ordering::Relaxed);
        self.look();
        self.process.kill();
    }

    /// Its process is told to stop, and callers call others meanwhile. Returns once it has, or is killed where it
    /// takes too long.
    pub async fn stop(&self, patience: Duration) {
        self.wanted.store(false, Ordering::Relaxed);
        self.door.open.store(false, Ordering::Relaxed);
        self.look();
        self.process.signal(Signal::SIGTERM);
        let began = Instant::now();
        while self.process.pid().is_some() && began.elapsed() < patience {
            sleep(Duration::from_millis(20)).await;
        }
        self.process.kill();
    }

    /// Whether its process is to run.
    pub fn is_to_run(&self) -> bool {
        self.wanted.load(Ordering::Relaxed)
    }

    /// Its process stands still, or goes on.
    pub fn stand_still(&self, still: bool) {
        self.process.signal(if still {
            Signal::SIGSTOP
        } else {
            Signal::SIGCONT
        });
    }

    /// Whether its process is gone though nobody ended it.
    pub fn has_crashed(&self) -> Option<String> {
        let status = self
            .process
            .ended()
            .filter(|_| self.wanted.load(Ordering::Relaxed))?;
        Some(format!(
            "{} ended by itself ({status}): {}",
            self.process.name,
            self.said()
        ))
    }

    /// Notes how much memory it has.
    pub fn look(&self) {
        self.peak_kb
            .fetch_max(self.process.peak_kb().unwrap_or(0), Ordering::Relaxed);
    }

    /// The most memory that a process of it was seen to have, in kB.
    pub fn peak_kb(&self) -> u64 {
        self.peak_kb.load(Ordering::Relaxed)
    }

    /// How often it was started.
    pub fn starts(&self) -> u32 {
        self.starts.load(Ordering::Relaxed)
    }

    /// Its last words.
    fn said(&self) -> String {
        let log = std::fs::read_to_string(self.process.log()).unwrap_or_default();
        log.lines().last().unwrap_or("it said nothing").to_owned()
    }
}
