//! A load generator process, which calls upstreams with one call method and prints its measurement.

use crate::clients::{CallMethod, ClientService, Clients, request};
use crate::error::BenchmarkError;
use crate::measurement::{Measurement, MeasurementPlan};
use crate::process::PeerProcess;
use crate::procfs::cpu_time;
use crate::servers::RESPONSE_BODY;
use clap::ValueEnum;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tower::ServiceExt;
use tower_service::Service;

/// Duration of the calls before the measurement starts.
const WARM_UP: Duration = Duration::from_millis(300);

/// The load that a process of callers generates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLoad {
    /// Number of tasks; each task makes one call at a time.
    pub tasks: usize,
    /// Number of worker threads of the runtime.
    pub threads: usize,
    /// Total number of calls per second of all tasks; 0 for no limit.
    pub rate: u64,
}

impl CallerLoad {
    /// Returns the time between the calls of one task, or `None` if each call follows the previous call immediately.
    fn interval(&self) -> Option<Duration> {
        (self.rate > 0).then(|| Duration::from_secs_f64(self.tasks as f64 / self.rate as f64))
    }
}

/// Latencies and failures of a task's calls.
#[derive(Default)]
struct CallLog {
    latencies_ns: Vec<u32>,
    failed: u64,
}

/// Makes calls sequentially until `until`. Returns the client as well, for reuse after the warm-up.
async fn call_until(
    mut client: ClientService,
    until: Instant,
    interval: Option<Duration>,
) -> (ClientService, CallLog) {
    let mut log = CallLog::default();
    let mut due = Instant::now();
    while Instant::now() < until {
        if let Some(interval) = interval {
            due += interval;
            tokio::time::sleep_until(due).await;
        }
        let sent_at = Instant::now();
        let response = match client.ready().await {
            Ok(ready) => ready.call(request()).await,
            Err(error) => Err(error),
        };
        if response.is_ok_and(|body| body == RESPONSE_BODY) {
            let nanos = u32::try_from(sent_at.elapsed().as_nanos()).unwrap_or(u32::MAX);
            log.latencies_ns.push(nanos);
        } else {
            log.failed += 1;
        }
    }
    (client, log)
}

/// Starts the tasks, evenly spaced over the first interval.
fn spawn_tasks(
    clients: &Clients,
    method: CallMethod,
    load: CallerLoad,
    warm_up_end: Instant,
    until: Instant,
) -> Vec<JoinHandle<CallLog>> {
    let interval = load.interval();
    let mut tasks = Vec::new();
    for task in 0..load.tasks {
        let client = clients.client(method);
        let offset = interval
            .unwrap_or_default()
            .mul_f64(task as f64 / load.tasks as f64);
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(offset).await;
            let (client, _) = call_until(client, warm_up_end, interval).await;
            call_until(client, until, interval).await.1
        }));
    }
    tasks
}

async fn measure(
    length: Duration,
    method: CallMethod,
    load: CallerLoad,
    upstreams: &[SocketAddr],
) -> Result<Measurement, BenchmarkError> {
    let clients = Clients::connect(upstreams).await?;
    let warm_up_end = Instant::now() + WARM_UP;
    let until = warm_up_end + length;
    let tasks = spawn_tasks(&clients, method, load, warm_up_end, until);
    tokio::time::sleep_until(warm_up_end).await;
    let (own_id, started) = (std::process::id(), Instant::now());
    let cpu_before = cpu_time(own_id);
    tokio::time::sleep_until(until).await;
    let (cpu, elapsed) = (cpu_time(own_id) - cpu_before, started.elapsed());
    let mut total = CallLog::default();
    for task in tasks {
        let log = task.await?;
        total.latencies_ns.extend(log.latencies_ns);
        total.failed += log.failed;
    }
    Ok(Measurement::new(
        &total.latencies_ns,
        total.failed,
        cpu,
        elapsed,
    ))
}

/// Runs the process of callers for one round, and prints the measurement as JSON.
///
/// # Errors
///
/// Returns [`BenchmarkError::Io`] or [`BenchmarkError::Http2`] if an upstream cannot be reached,
/// [`BenchmarkError::Plugin`] if the plug-in does not start, and [`BenchmarkError::Task`] if a task panics.
pub fn run(
    length: Duration,
    method: CallMethod,
    load: CallerLoad,
    upstreams: &[SocketAddr],
) -> Result<(), BenchmarkError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(load.threads)
        .enable_all()
        .build()?;
    let measurement = runtime.block_on(measure(length, method, load, upstreams))?;
    println!("{}", measurement.to_json());
    Ok(())
}

/// Runs one round of callers in a separate process.
fn run_process(
    length: Duration,
    method: CallMethod,
    load: CallerLoad,
    upstreams: &[PeerProcess],
) -> Result<Measurement, BenchmarkError> {
    let name = method
        .to_possible_value()
        .map(|value| value.get_name().to_owned())
        .unwrap_or_else(|| unreachable!("no method is skipped"));
    let mut arguments = vec![
        "--round".to_owned(),
        length.as_millis().to_string(),
        "caller".into(),
        name,
        load.tasks.to_string(),
        load.threads.to_string(),
        load.rate.to_string(),
    ];
    arguments.extend(upstreams.iter().map(|peer| peer.address.to_string()));
    let output = Command::new(std::env::current_exe()?)
        .args(arguments)
        .stderr(Stdio::inherit())
        .output()?;
    Ok(Measurement::from_json(&output.stdout)?)
}

/// Measures several call methods in alternating rounds. Returns the median of each method in the order of `methods`.
///
/// # Errors
///
/// Returns [`BenchmarkError::Io`] if a process does not start, and [`BenchmarkError::Json`] if a process prints no
/// measurement.
pub fn measure_alternately(
    plan: MeasurementPlan,
    methods: &[CallMethod],
    load: CallerLoad,
    upstreams: &[PeerProcess],
) -> Result<Vec<Measurement>, BenchmarkError> {
    let mut rounds_by_method = vec![Vec::new(); methods.len()];
    for _ in 0..plan.rounds {
        for (&method, rounds) in methods.iter().zip(&mut rounds_by_method) {
            rounds.push(run_process(plan.length, method, load, upstreams)?);
        }
    }
    Ok(rounds_by_method
        .iter()
        .map(|rounds| Measurement::median(rounds))
        .collect())
}
