//! A balancer: a process of the shipped program, its discovery agent, and the addresses that connect it to other nodes.

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

/// Time limit for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of health checks of a starting process.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of checks whether a stopping process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Difference between the seeds of consecutive incarnations of a balancer: the odd integer nearest to 2^64 divided by
/// the golden ratio (Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Addresses that connect a balancer to callers, its agent, upstreams and operators.
pub struct Endpoints {
    /// Endpoint at which callers reach the balancer.
    pub callers: BalancerEndpoint,
    /// Address at which the balancer reaches its discovery agent.
    pub agent: SocketAddr,
    /// Addresses at which the balancer reaches the upstreams of its tier, in the order of the upstreams.
    pub upstreams: Vec<SocketAddr>,
    /// Address of the operators' interface; `None` if the scenario has no membership.
    pub admin: Option<SocketAddr>,
}

/// A balancer over all incarnations of its process.
pub struct Balancer {
    /// Index, tier, zone and listen address of the balancer.
    pub placement: BalancerPlacement,
    /// Index of the upstream whose sidecar the balancer is; `None` for other balancers.
    pub sidecar_of: Option<u32>,
    /// Addresses that connect the balancer to other nodes.
    pub endpoints: Endpoints,
    /// The process, which may be restarted several times.
    pub process: Process,
    /// The discovery agent that serves the endpoint list to the balancer.
    pub agent: Agent,
    /// Offset of the balancer's clock ahead of the upstreams' clocks, in milliseconds. The program compares its clock
    /// only with the start times of upstreams, so the offset is simulated by shifting the start times in the endpoint
    /// list.
    pub clock_offset_ms: i64,
    /// Whether the process is expected to run. A process that exits while this is set has crashed.
    expected_running: AtomicBool,
    starts: AtomicU32,
    peak_memory_kb: AtomicU64,
}

impl Balancer {
    /// Creates a balancer whose process is not started yet.
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
            expected_running: AtomicBool::new(false),
            starts: AtomicU32::new(0),
            peak_memory_kb: AtomicU64::new(0),
        }
    }

    /// Starts the process with `initial_list` as its last known endpoint list, and returns once the process is ready.
    ///
    /// # Errors
    ///
    /// If the process cannot be spawned, exits, or is not ready within 10 s.
    pub async fn start(
        &self,
        run_directory: &RunDirectory,
        scenario: &Scenario,
        seed: u64,
        initial_list: &[Value],
    ) -> Result<(), ClusterError> {
        let process_error = |source| ClusterError::Process {
            process: self.process.name.clone(),
            source,
        };
        // Each incarnation uses its own random numbers.
        let start = u64::from(self.starts.fetch_add(1, Ordering::Relaxed));
        let seed = seed.wrapping_add(start.wrapping_mul(SEED_STEP));
        let agent = self.endpoints.agent;
        let mut config = balancer_config(scenario, &self.placement, seed, agent, initial_list);
        if let Some(admin) = self.endpoints.admin {
            config["admin"] = admin.to_string().into();
        }
        std::fs::write(self.process.config(), config.to_string()).map_err(process_error)?;
        self.expected_running.store(true, Ordering::Relaxed);
        self.process
            .start(run_directory)
            .await
            .map_err(process_error)?;
        self.wait_until_ready().await?;
        if self.is_expected_to_run() {
            self.set_open(true);
        }
        Ok(())
    }

    /// Waits until the process is ready, or is stopped on purpose.
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
            if !self.is_expected_to_run() {
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

    /// Kills the process; requests in flight in the process are lost.
    pub fn kill(&self) {
        self.prepare_stop();
        self.process.kill();
    }

    /// Shuts the process down gracefully, after closing its endpoint to callers. Returns once the process has exited. A
    /// process that has not exited after `max_wait` is killed.
    pub async fn shut_down(&self, max_wait: Duration) {
        self.prepare_stop();
        self.process.signal(Signal::SIGTERM);
        let began = Instant::now();
        while self.process.pid().is_some() && began.elapsed() < max_wait {
            sleep(EXIT_POLL_INTERVAL).await;
        }
        self.process.kill();
    }

    /// Prepares an intended stop: clears the expected-running flag, closes the endpoint to callers, and records
    /// the memory use.
    fn prepare_stop(&self) {
        self.expected_running.store(false, Ordering::Relaxed);
        self.set_open(false);
        self.record_memory();
    }

    fn set_open(&self, open: bool) {
        self.endpoints.callers.set_open(open);
    }

    /// Whether callers may send requests to the balancer.
    pub fn is_open(&self) -> bool {
        self.endpoints.callers.is_open()
    }

    /// Whether the process is expected to run.
    pub fn is_expected_to_run(&self) -> bool {
        self.expected_running.load(Ordering::Relaxed)
    }

    /// Suspends (`SIGSTOP`) or resumes (`SIGCONT`) the process.
    pub fn set_suspended(&self, suspended: bool) {
        self.process.signal(if suspended {
            Signal::SIGSTOP
        } else {
            Signal::SIGCONT
        });
    }

    /// Describes the crash of the process: an exit that was not intended. Returns `None` if there was none.
    pub fn crash_report(&self) -> Option<String> {
        let status = self
            .process
            .exit_status()
            .filter(|_| self.expected_running.load(Ordering::Relaxed))?;
        Some(format!(
            "{} exited unexpectedly ({status}): {}",
            self.process.name,
            self.process.last_log_line()
        ))
    }

    /// Records the peak resident memory of the running process.
    pub fn record_memory(&self) {
        let peak = self.process.peak_memory_kb().unwrap_or(0);
        self.peak_memory_kb.fetch_max(peak, Ordering::Relaxed);
    }

    /// Returns the largest peak of resident memory recorded for any incarnation, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.peak_memory_kb.load(Ordering::Relaxed)
    }

    /// Returns the number of starts of the process.
    pub fn start_count(&self) -> u32 {
        self.starts.load(Ordering::Relaxed)
    }
}
