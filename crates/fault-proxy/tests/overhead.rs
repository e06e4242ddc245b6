//! Measures the latency overhead of a proxy. Run with
//! `cargo test --release -p woadstall-fault-proxy --test overhead -- --ignored --nocapture`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use woadstall_fault_proxy::{FaultProxy, NodeId};

const MEASUREMENTS: usize = 5_000;

async fn echo(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut bytes = [0; 512];
            stream.set_nodelay(true).ok();
            while let Ok(length @ 1..) = stream.read(&mut bytes).await {
                if stream.write_all(&bytes[..length]).await.is_err() {
                    return;
                }
            }
        });
    }
}

fn median_us(mut durations: Vec<Duration>) -> f64 {
    durations.sort_unstable();
    durations[durations.len() / 2].as_secs_f64() * 1e6
}

/// Returns two median latencies in microseconds: a call that sends and receives 500 bytes over an
/// open connection, and the opening of a connection together with its first call.
async fn measure_latency_us(address: SocketAddr) -> (f64, f64) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (mut calls, mut connections, mut bytes) = (Vec::new(), Vec::new(), [7; 500]);
    for _ in 0..MEASUREMENTS {
        let start = Instant::now();
        stream.write_all(&bytes).await.unwrap();
        stream.read_exact(&mut bytes).await.unwrap();
        calls.push(start.elapsed());
    }
    for _ in 0..MEASUREMENTS / 10 {
        let start = Instant::now();
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        stream.read_exact(&mut bytes).await.unwrap();
        connections.push(start.elapsed());
    }
    (median_us(calls), median_us(connections))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "performance measurement"]
async fn proxy_overhead() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(echo(listener));
    let proxy = FaultProxy::new(1);
    let proxy_address = proxy.proxy_tcp(NodeId(1), NodeId(2), target).await.unwrap();
    for round in 1..=3 {
        let (direct_call_us, direct_connection_us) = measure_latency_us(target).await;
        let (proxied_call_us, proxied_connection_us) = measure_latency_us(proxy_address).await;
        println!(
            "{round}: call on an open connection: direct {direct_call_us:.0} us, proxied {proxied_call_us:.0} us; with a new connection: direct {direct_connection_us:.0} us, proxied {proxied_connection_us:.0} us"
        );
    }
}
