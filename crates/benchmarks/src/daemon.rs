//! Two builds of the daemon against a proxy that decides nothing, over the same upstream.

use crate::load::{Figures, Times, cpu, head};
use crate::peers::Peer;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

type Fault = Box<dyn Error + Send + Sync>;

/// A daemon in front of one upstream. Its configuration lies in a file until it has started.
fn daemon(program: &Path, upstream: SocketAddr) -> Result<Peer, Fault> {
    let target = woadstall_mock_servers::http1::target("s-0", upstream, "in_service");
    let mut config = woadstall_mock_servers::http1::config(
        woadstall_mock_servers::http1::refused_address(),
        &[target],
    );
    for class in config["settings"]["Classes"]
        .as_array_mut()
        .into_iter()
        .flatten()
    {
        (class["AimNs"], class["DeadlineNs"]) = (600_000_000_u64.into(), 1_500_000_000_u64.into());
    }
    let path = std::env::temp_dir().join(format!("woadstall-measure-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string())?;
    let mut command = Command::new(program);
    command
        .env("LB_CONFIG", &path)
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY");
    let peer = Peer::start(&mut command, true);
    std::fs::remove_file(path)?;
    peer
}

async fn calls(
    address: SocketAddr,
    caller: usize,
    until: Instant,
) -> Result<(Vec<u32>, u64), std::io::Error> {
    let mut tcp = TcpStream::connect(address).await?;
    tcp.set_nodelay(true)?;
    let (mut latencies, mut failed, mut number) = (Vec::new(), 0, 0_u32);
    let mut answer = vec![0; 1024];
    while Instant::now() < until {
        number += 1;
        let request = format!(
            "GET /look HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {caller:04x}{number:08x}\r\n\
             X-Call-Class: look\r\nX-Caller: acme\r\nX-Budget: 1.5\r\n\r\n"
        );
        let asked = Instant::now();
        tcp.write_all(request.as_bytes()).await?;
        let mut got = 0;
        // All answers are small, and end with the upstream's four bytes where they are good.
        while !answer[..got].ends_with(b"done") {
            let more = tcp.read(&mut answer[got..]).await?;
            got += more;
            if more == 0 || got == answer.len() || answer[..got].starts_with(b"HTTP/1.1 5") {
                failed += 1;
                break;
            }
        }
        latencies.push(u32::try_from(asked.elapsed().as_nanos()).unwrap_or(u32::MAX));
    }
    Ok((latencies, failed))
}

async fn round(peer: &Peer, callers: usize, length: Duration) -> Result<Figures, Fault> {
    let warm_up = Instant::now() + Duration::from_millis(200);
    let warming: Vec<_> = (0..callers)
        .map(|caller| tokio::spawn(calls(peer.address, caller, warm_up)))
        .collect();
    for caller in warming {
        caller.await??;
    }
    let (started, used) = (Instant::now(), cpu(peer.id()));
    let until = started + length;
    let running: Vec<_> = (0..callers)
        .map(|caller| tokio::spawn(calls(peer.address, 0x1000 + caller, until)))
        .collect();
    let (mut latencies, mut failed) = (Vec::new(), 0);
    for caller in running {
        let (some, bad) = caller.await??;
        latencies.extend(some);
        failed += bad;
    }
    Ok(Figures::new(
        &latencies,
        failed,
        cpu(peer.id()) - used,
        started.elapsed(),
    ))
}

/// The floor, the daemon as it was and as it is, in turns.
pub fn measure(times: Times, before: &Path, after: &Path) -> Result<(), Fault> {
    let upstream = Peer::own(&["upstream".into()])?;
    let peers = [
        (
            "proxy without decisions",
            Peer::own(&["proxy".into(), upstream.address.to_string()])?,
        ),
        ("daemon before", daemon(before, upstream.address)?),
        ("daemon after", daemon(after, upstream.address)?),
    ];
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    for callers in [1, 64, 256] {
        let mut rounds = [const { Vec::new() }; 3];
        for _ in 0..times.rounds {
            for ((_, peer), rounds) in peers.iter().zip(&mut rounds) {
                rounds.push(runtime.block_on(round(peer, callers, times.round))?);
            }
        }
        println!(
            "\n{callers} callers, as many requests as can be, 1 upstream\n{}",
            head()
        );
        let figures = rounds.map(|rounds| Figures::median(&rounds));
        for ((name, _), figures) in peers.iter().zip(&figures) {
            println!("{}", figures.row(name));
        }
        let [floor, before, after] = &figures;
        println!(
            "CPU over the floor: before {:.2}, after {:.2}",
            before.cpu / floor.cpu,
            after.cpu / floor.cpu
        );
    }
    Ok(())
}
