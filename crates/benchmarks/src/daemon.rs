//! Compares two builds of the daemon with a proxy without load balancing, over the same upstream.

use crate::error::BenchmarkError;
use crate::measurement::{Measurement, MeasurementPlan, table_header};
use crate::process::{AddressSource, PeerProcess};
use crate::procfs::cpu_time;
use crate::servers::RESPONSE_BODY;
use crate::settings::set_benchmark_times;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use woadstall_socket_options::set_nodelay;

/// Duration of the calls before a round is measured.
const WARM_UP: Duration = Duration::from_millis(200);

/// Number of the first measured caller of a round. Callers of the warm-up have smaller numbers, so that call ids within
/// a round are unique.
const FIRST_MEASURED_CALLER: usize = 0x1000;

/// The largest accepted response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024;

/// Latencies and failures of a caller's calls.
#[derive(Default)]
struct CallLog {
    latencies_ns: Vec<u32>,
    failed: u64,
}

/// Starts a daemon in front of one upstream. The configuration file is deleted after the daemon has started.
fn start_daemon(program: &Path, upstream: SocketAddr) -> Result<PeerProcess, BenchmarkError> {
    let target = woadstall_mock_servers::http1::target("s-0", upstream, "in_service");
    let mut config = woadstall_mock_servers::http1::config(
        woadstall_mock_servers::http1::refused_address(),
        &[target],
    );
    set_benchmark_times(&mut config["settings"]);
    let path = std::env::temp_dir().join(format!("woadstall-measure-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string())?;
    let mut command = Command::new(program);
    command
        .env("LB_CONFIG", &path)
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY");
    let daemon = PeerProcess::start(&mut command, AddressSource::Stderr);
    std::fs::remove_file(path)?;
    daemon
}

/// Makes calls sequentially on one connection until `until`.
async fn call_until(
    address: SocketAddr,
    caller: usize,
    until: Instant,
) -> Result<CallLog, std::io::Error> {
    let mut tcp = TcpStream::connect(address).await?;
    set_nodelay(&tcp);
    let (mut log, mut number) = (CallLog::default(), 0_u32);
    let mut response = vec![0; MAX_RESPONSE_BYTES];
    while Instant::now() < until {
        number += 1;
        let request = format!(
            "GET /look HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {caller:04x}{number:08x}\r\n\
             X-Call-Class: look\r\nX-Caller: acme\r\nX-Budget: 1.5\r\n\r\n"
        );
        let sent_at = Instant::now();
        tcp.write_all(request.as_bytes()).await?;
        if !read_response(&mut tcp, &mut response).await? {
            log.failed += 1;
        }
        let nanos = u32::try_from(sent_at.elapsed().as_nanos()).unwrap_or(u32::MAX);
        log.latencies_ns.push(nanos);
    }
    Ok(log)
}

/// Reads one response, and returns whether it is the upstream's, which ends with the upstream's body and fits into the
/// buffer.
async fn read_response(tcp: &mut TcpStream, buffer: &mut [u8]) -> Result<bool, std::io::Error> {
    let mut length = 0;
    while !buffer[..length].ends_with(RESPONSE_BODY) {
        let read = tcp.read(&mut buffer[length..]).await?;
        length += read;
        if read == 0 || length == buffer.len() || buffer[..length].starts_with(b"HTTP/1.1 5") {
            return Ok(false);
        }
    }
    Ok(true)
}

fn spawn_callers(
    address: SocketAddr,
    first_caller: usize,
    count: usize,
    until: Instant,
) -> Vec<JoinHandle<Result<CallLog, std::io::Error>>> {
    (first_caller..first_caller + count)
        .map(|caller| tokio::spawn(call_until(address, caller, until)))
        .collect()
}

async fn run_round(
    peer: &PeerProcess,
    callers: usize,
    length: Duration,
) -> Result<Measurement, BenchmarkError> {
    let warm_up_end = Instant::now() + WARM_UP;
    for caller in spawn_callers(peer.address, 0, callers, warm_up_end) {
        caller.await??;
    }
    let (started, cpu_before) = (Instant::now(), cpu_time(peer.id()));
    let until = started + length;
    let mut total = CallLog::default();
    for caller in spawn_callers(peer.address, FIRST_MEASURED_CALLER, callers, until) {
        let log = caller.await??;
        total.latencies_ns.extend(log.latencies_ns);
        total.failed += log.failed;
    }
    Ok(Measurement::new(
        &total.latencies_ns,
        total.failed,
        cpu_time(peer.id()) - cpu_before,
        started.elapsed(),
    ))
}

/// Measures the proxy and both builds of the daemon in alternating rounds with 1, 64 and 256 callers, and prints a
/// table for each number of callers.
///
/// # Errors
///
/// Returns [`BenchmarkError::Io`] or [`BenchmarkError::NoAddress`] if a peer does not start, and [`BenchmarkError::Io`]
/// if a caller's connection fails.
pub fn run(plan: MeasurementPlan, before: &Path, after: &Path) -> Result<(), BenchmarkError> {
    let upstream = PeerProcess::start_self(&["upstream".into()])?;
    let proxy = PeerProcess::start_self(&["proxy".into(), upstream.address.to_string()])?;
    let peers = [
        ("proxy", proxy),
        ("daemon before", start_daemon(before, upstream.address)?),
        ("daemon after", start_daemon(after, upstream.address)?),
    ];
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    for callers in [1, 64, 256] {
        let mut rounds_by_peer = [const { Vec::new() }; 3];
        for _ in 0..plan.rounds {
            for ((_, peer), rounds) in peers.iter().zip(&mut rounds_by_peer) {
                rounds.push(runtime.block_on(run_round(peer, callers, plan.length))?);
            }
        }
        println!(
            "\n{callers} callers, unlimited rate, 1 upstream\n{}",
            table_header()
        );
        let medians = rounds_by_peer.map(|rounds| Measurement::median(&rounds));
        for ((name, _), median) in peers.iter().zip(&medians) {
            println!("{}", median.table_row(name));
        }
        let [proxy, before, after] = &medians;
        println!(
            "CPU relative to the proxy: before {:.2}, after {:.2}",
            before.cpu_us / proxy.cpu_us,
            after.cpu_us / proxy.cpu_us
        );
    }
    Ok(())
}
