//! What a proxy costs: `cargo test --release -p woadstall-fault-proxy --test overhead -- --ignored
//! --nocapture`.

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

/// Medians in microseconds: a call of 500 bytes there and back, and a connection with its first
/// call.
async fn cost(at: SocketAddr) -> (f64, f64) {
    let mut stream = TcpStream::connect(at).await.unwrap();
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
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        stream.read_exact(&mut bytes).await.unwrap();
        connections.push(start.elapsed());
    }
    (median_us(calls), median_us(connections))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a measurement"]
async fn overhead() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(echo(listener));
    let proxy = FaultProxy::new(1);
    let through = proxy.proxy_tcp(NodeId(1), NodeId(2), target).await.unwrap();
    for round in 1..=3 {
        let ((call, connection), (far, new)) = (cost(target).await, cost(through).await);
        println!(
            "{round}: a call {call:.0} us directly, {far:.0} through a proxy; with a new connection {connection:.0}, {new:.0}"
        );
    }
}
