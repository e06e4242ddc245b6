//! Measures the memory of a call in flight from the growth of the resident memory.

use crate::clients::{call_through_plugin, request};
use crate::direct::DirectClient;
use crate::error::BenchmarkError;
use crate::procfs::resident_memory;
use crate::settings::start_plugin;
use std::time::Duration;
use tokio::time::Instant;
use woadstall_mock_servers::grpc::{GrpcUpstream, Reply};

/// Number of calls in flight for each call method.
const CALLS: usize = 10_000;

/// Number of concurrent streams that the upstream allows on a connection.
const MAX_STREAMS: u32 = 100_000;

/// Interval between checks of the number of calls in flight at the upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The longest wait for the plug-in's calls to arrive; some calls wait for a stream indefinitely.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Prints the bytes per call of direct calls and of calls through the plug-in. The mock upstream runs in the same
/// process, so that the figures include its memory per call.
///
/// # Errors
///
/// Returns [`BenchmarkError::Io`] or [`BenchmarkError::Http2`] if the upstream cannot be reached, and
/// [`BenchmarkError::Plugin`] if the plug-in does not start.
pub fn run() -> Result<(), BenchmarkError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(measure())
}

async fn measure() -> Result<(), BenchmarkError> {
    let upstream = GrpcUpstream::start_with_max_streams(Some(MAX_STREAMS), |_| Reply::Stall).await;
    let plugin = start_plugin(&[upstream.address])?;
    let own_id = std::process::id();
    let mut plugin_calls = Vec::with_capacity(CALLS);
    let direct = DirectClient::connect(upstream.address).await?;
    let mut direct_calls = Vec::with_capacity(CALLS);
    let bytes_without_calls = resident_memory(own_id);
    for _ in 0..CALLS {
        direct_calls.push(tokio::spawn(direct.clone().send(request())));
    }
    while upstream.in_flight() < CALLS {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let bytes_with_direct = resident_memory(own_id);
    for _ in 0..CALLS {
        let mut plugin = plugin.clone();
        plugin_calls.push(tokio::spawn(async move {
            call_through_plugin(&mut plugin).await
        }));
    }
    let started = Instant::now();
    while upstream.in_flight() < 2 * CALLS && started.elapsed() < ARRIVAL_TIMEOUT {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let bytes_with_plugin = resident_memory(own_id);
    let plugin_calls_in_flight = upstream.in_flight().saturating_sub(CALLS).max(1);
    print_bytes_per_call(
        bytes_without_calls,
        bytes_with_direct,
        bytes_with_plugin,
        plugin_calls_in_flight,
    );
    plugin_calls.iter().for_each(|call| call.abort());
    direct_calls.iter().for_each(|call| call.abort());
    Ok(())
}

/// Prints the growth of the resident memory per call, first by the direct calls and then by the plug-in's calls.
fn print_bytes_per_call(
    bytes_without_calls: u64,
    bytes_with_direct: u64,
    bytes_with_plugin: u64,
    plugin_calls: usize,
) {
    let per_call =
        |before: u64, after: u64, calls: usize| after.saturating_sub(before) / calls as u64;
    println!(
        "memory of a call in flight, including the mock upstream's share in the same process:"
    );
    println!(
        "direct  {:>6} bytes ({CALLS} calls)",
        per_call(bytes_without_calls, bytes_with_direct, CALLS)
    );
    println!(
        "plug-in {:>6} bytes ({plugin_calls} calls)",
        per_call(bytes_with_direct, bytes_with_plugin, plugin_calls)
    );
}
