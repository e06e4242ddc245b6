//! One balancer: a process of the shipped program, its discovery agent, and the addresses between it and others.

use crate::discovery::Agent;
use crate::error::ClusterError;
use crate::process::Process;
use crate::run_directory::RunDirectory;
use bytes::Bytes;
use http::Request;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nix::sys::signal::Signal;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};
use woadstall_emulator::Scenario;
use woadstall_load_test::callers::BalancerEndpoint;
use woadstall_load_test::settings::{BalancerPlacement, balancer_config};

/// A process that does not serve by then has not come up.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a starting process is asked whether it serves.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How often a stopping process is looked at.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Seeds of a balancer's incarnations differ by this: the odd integer nearest to 2^64 over the golden ratio (Steele,
/// Lea, Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// The addresses between a balancer and others.
pub struct Endpoints {
    /// Where callers call it.
    pub callers: BalancerEndpoint,
    /// Where it finds its agent.
    pub agent: SocketAddr,
    /// Where it finds each upstream of its tier, in their order.
    pub upstreams: Vec<SocketAddr>,
    /// Where operators call it, if they do.
    pub admin: Option<SocketAddr>,
}

/// See the module's documentation.
pub struct Balancer {
    /// Its number, its tier and its zone, and where its process listens.
    pub placement: BalancerPlacement,
    /// The upstream that it is the sidecar of, if it is one.
    pub sidecar_of: Option<u32>,
    /// The addresses between it and others.
    pub endpoints: Endpoints,
    /// Its process.
    pub process: Process,
    /// Its discovery agent.
    pub agent: Agent,
    /// By how much its clock is ahead of the upstreams', in milliseconds. The program compares its clock with the start
    /// times of upstreams alone, so these are listed as a clock that is right would show them.
    pub clock_offset_ms: i64,
    /// Whether its process is to run; one that ends meanwhile has crashed.
    running: AtomicBool,
    starts: AtomicU32,
    peak_memory_kb: AtomicU64,
}

impl Balancer {
    /// A balancer whose process is not started yet.
    pub fn new(
        placement: BalancerPlacement,
        sidecar_of: Option<u32>,
        endpoints: Endpoints,
        process: Process,
        agent: Agent,
        clock_offset_ms: i64,
    ) -> Self {
        Self {
            placement,
            sidecar_of,
            endpoints,
            process,
            agent,
            clock_offset_ms,
            running: AtomicBool::new(false),
            starts: AtomicU32::new(0),
            peak_memory_kb: AtomicU64::new(0),
        }
    }

    /// Starts its process with a last known list, and returns once it serves.
    ///
    /// # Errors
    ///
    /// Where it cannot be spawned, ends, or does not serve within 10 s.
    pub async fn start(
        &self,
        run_directory: &RunDirectory,
        scenario: &Scenario,
        seed: u64,
        known: &[Value],
    ) -> Result<(), ClusterError> {
        let failed = |source| ClusterError::Process {
            process: self.process.name.clone(),
            source,
        };
        // A new process has random numbers of its own.
        let start = u64::from(self.starts.fetch_add(1, Ordering::Relaxed));
        let seed = seed.wrapping_add(start.wrapping_mul(SEED_STEP));
        let agent = self.endpoints.agent;
        let mut config = balancer_config(scenario, &self.placement, seed, agent, known);
        if let Some(admin) = self.endpoints.admin {
            config["admin"] = admin.to_string().into();
        }
        std::fs::write(self.process.config(), config.to_string()).map_err(failed)?;
        self.running.store(true, Ordering::Relaxed);
        self.process.start(run_directory).await.map_err(failed)?;
        self.wait_until_ready().await?;
        if self.is_to_run() {
            self.set_open(true);
        }
        Ok(())
    }

    /// Waits until its process serves, or is ended on purpose.
    async fn wait_until_ready(&self) -> Result<(), ClusterError> {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(HttpConnector::new());
        let began = Instant::now();
        loop {
            let uri = format!("http://{}/healthz", self.placement.listen);
            let request = Request::get(uri).body(Empty::<Bytes>::new())?;
            if matches!(
                timeout(READY_TIMEOUT, client.request(request)).await,
                Ok(Ok(_))
            ) {
                return Ok(());
            }
            if !self.is_to_run() {
                return Ok(());
            }
            if let Some(status) = self.process.exit_status() {
                return Err(ClusterError::ExitedAtStart {
                    process: self.process.name.clone(),
                    status,
                    last_log_line: self.process.last_log_line(),
                });
            }
            if began.elapsed() > READY_TIMEOUT {
                return Err(ClusterError::NotReady {
                    process: self.process.name.clone(),
                    waited: READY_TIMEOUT,
                    last_log_line: self.process.last_log_line(),
                });
            }
            sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Kills its process, with all requests that are in flight in it.
    pub fn kill(&self) {
        self.prepare_end();
        self.process.kill();
    }

    /// Shuts its process down gracefully, while callers call others. Returns once it has ended; it is killed where it
    /// takes longer than `patience`.
    pub async fn shut_down(&self, patience: Duration) {
        self.prepare_end();
        self.process.signal(Signal::SIGTERM);
        let began = Instant::now();
        while self.process.pid().is_some() && began.elapsed() < patience {
            sleep(EXIT_POLL_INTERVAL).await;
        }
        self.process.kill();
    }

    /// FaultKind precedes an end on purpose.
    fn prepare_end(&self) {
        self.running.store(false, Ordering::Relaxed);
        self.set_open(false);
        self.record_memory();
    }

    fn set_open(&self, open: bool) {
        self.endpoints.callers.set_open(open);
    }

    /// Whether callers may call it.
    pub fn is_open(&self) -> bool {
        self.endpoints.callers.is_open()
    }

    /// Whether its process is to run.
    pub fn is_to_run(&self) -> bool {
        self.running.load(Ordering::Relaxed)
    }

    /// Suspends its process (`SIGSTOP`), or resumes it (`SIGCONT`).
    pub fn set_suspended(&self, suspended: bool) {
        self.process.signal(if suspended {
            Signal::SIGSTOP
        } else {
            Signal::SIGCONT
        });
    }

    /// FaultKind happened to its process, if it has ended though nobody ended it.
    pub fn crash(&self) -> Option<String> {
        let status = self
            .process
            .exit_status()
            .filter(|_| self.running.load(Ordering::Relaxed))?;
        Some(format!(
            "{} ended by itself ({status}): {}",
            self.process.name,
            self.process.last_log_line()
        ))
    }

    /// Records how much memory its process has.
    pub fn record_memory(&self) {
        let peak = self.process.peak_memory_kb().unwrap_or(0);
        self.peak_memory_kb.fetch_max(peak, Ordering::Relaxed);
    }

    /// The most memory that was recorded of any incarnation, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.peak_memory_kb.load(Ordering::Relaxed)
    }

    /// How often it was started.
    pub fn starts(&self) -> u32 {
        self.starts.load(Ordering::Relaxed)
    }
}
