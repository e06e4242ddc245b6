//! The plug-in against `tower::balance::p2c` and a direct call, over the same HTTP/2 connections.

use crate::load::{Figures, Times, cpu, head, memory as resident};
use crate::peers::Peer;
use bytes::Bytes;
use clap::ValueEnum;
use h2::client::SendRequest;
use http::Request;
use http_body_util::{BodyExt, Empty};
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tower::ServiceExt;
use tower::balance::p2c;
use tower::buffer::Buffer;
use tower::discover::ServiceList;
use tower::load::{CompleteOnResponse, PendingRequests};
use tower::util::BoxService;
use tower_service::Service;
use woadstall_mock_servers::grpc::{GrpcUpstream, Reply};
use woadstall_tower::{Balance, EndpointList};

type Fault = Box<dyn Error + Send + Sync>;

/// How a caller calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum By {
    /// One connection to each upstream, in turn.
    Direct,
    /// `tower::balance::p2c` by pending requests, shared through a buffer as tonic's channel does.
    P2c,
    /// The same, one for each task: no view of what the others have out.
    P2cEach,
    /// The plug-in.
    Plugin,
}

/// A call on a connection, with nothing around it.
#[derive(Clone)]
struct Direct(SendRequest<Bytes>, SocketAddr);

impl Direct {
    async fn connect(address: SocketAddr) -> Result<Self, Fault> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let (sender, connection) = h2::client::handshake(tcp).await?;
        tokio::spawn(connection);
        Ok(Self(sender, address))
    }
}

/// A call did not end with its answer.
#[derive(Debug)]
struct Failed;

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the call did not end with its answer")
    }
}

impl Error for Failed {}

impl Direct {
    async fn answer(self, mut request: Request<()>) -> Option<Bytes> {
        let Self(mut sender, address) = self;
        *request.uri_mut() = format!("http://{address}{}", request.uri().path())
            .parse()
            .ok()?;
        let (response, _) = sender.send_request(request, true).ok()?;
        let mut body = response.await.ok()?.into_body();
        let mut whole = Bytes::new();
        while let Some(data) = body.data().await {
            whole = data.ok()?;
            body.flow_control().release_capacity(whole.len()).ok()?;
        }
        Some(whole)
    }
}

impl Service<Request<()>> for Direct {
    type Response = Bytes;
    type Error = Failed;
    type Future = Pin<Box<dyn Future<Output = Result<Bytes, Failed>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Failed>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<()>) -> Self::Future {
        let answer = self.clone().answer(request);
        Box::pin(async { answer.await.ok_or(Failed) })
    }
}

type Pooled = p2c::Balance<ServiceList<Vec<PendingRequests<Direct>>>, Request<()>>;

fn pooled(direct: &[Direct]) -> Pooled {
    let load =
        |service: &Direct| PendingRequests::new(service.clone(), CompleteOnResponse::default());
    p2c::Balance::new(ServiceList::new(direct.iter().map(load).collect()))
}

fn request() -> Request<()> {
    let mut request = Request::new(());
    *request.uri_mut() = http::Uri::from_static("/look");
    request
}

fn plugin(upstreams: &[SocketAddr]) -> Result<Balance, Fault> {
    let mut settings =
        woadstall_mock_servers::http1::config(([127, 0, 0, 1], 1).into(), &[])["settings"].clone();
    for class in settings["Classes"].as_array_mut().into_iter().flatten() {
        (class["AimNs"], class["DeadlineNs"]) = (600_000_000_u64.into(), 1_500_000_000_u64.into());
    }
    let targets: Vec<_> = upstreams
        .iter()
        .enumerate()
        .map(|(at, address)| {
            serde_json::json!({"uid": format!("s-{at}"), "endpoint": address.to_string(), "az": "a",
                "state": "in_service"})
        })
        .collect();
    let known: EndpointList =
        serde_json::from_value(serde_json::json!({"rev": 1, "all": true, "targets": targets}))?;
    Ok(Balance::builder()
        .settings(settings.to_string().as_bytes())?
        .known(known)
        .build()?)
}

async fn through_plugin(balance: &mut Balance) -> bool {
    let request = request().map(|()| Empty::<Bytes>::new());
    let Ok::<_, Infallible>(answer) = balance.call(request).await;
    let ok = answer.status() == 200;
    ok && answer
        .into_body()
        .collect()
        .await
        .is_ok_and(|body| body.to_bytes() == "done")
}

/// What a task calls through.
type Calls = BoxService<Request<()>, Bytes, Failed>;

fn failed<E>(_: E) -> Failed {
    Failed
}

/// Calls one after another until the time is over: the latencies in nanoseconds, and how many failed.
async fn run(mut service: Calls, until: Instant, pace: Option<Duration>) -> (Calls, Vec<u32>, u64) {
    let (mut latencies, mut bad) = (Vec::new(), 0);
    let mut next = Instant::now();
    while Instant::now() < until {
        if let Some(pace) = pace {
            next += pace;
            tokio::time::sleep_until(next).await;
        }
        let asked = Instant::now();
        let answer = match service.ready().await {
            Ok(ready) => ready.call(request()).await,
            Err(error) => Err(error),
        };
        match answer.is_ok_and(|body| body == "done") {
            true => latencies.push(u32::try_from(asked.elapsed().as_nanos()).unwrap_or(u32::MAX)),
            false => bad += 1,
        }
    }
    (service, latencies, bad)
}

/// The upstreams in turn, or one of the others.
fn service(
    by: By,
    direct: &[Direct],
    shared: &Shared,
    balance: &Balance,
    turn: &Arc<AtomicUsize>,
) -> Calls {
    match by {
        By::Direct => {
            let (direct, turn) = (direct.to_vec(), turn.clone());
            BoxService::new(tower::service_fn(move |request| {
                let at = turn.fetch_add(1, Ordering::Relaxed) % direct.len();
                let answer = direct[at].clone().answer(request);
                async { answer.await.ok_or(Failed) }
            }))
        }
        By::P2c => BoxService::new(shared.clone().map_err(failed)),
        By::P2cEach => BoxService::new(pooled(direct).map_err(failed)),
        By::Plugin => {
            let balance = balance.clone();
            BoxService::new(tower::service_fn(move |_| {
                let mut balance = balance.clone();
                async move {
                    let answer = through_plugin(&mut balance).await;
                    answer.then_some(Bytes::from_static(b"done")).ok_or(Failed)
                }
            }))
        }
    }
}

type Shared = Buffer<Request<()>, <Pooled as Service<Request<()>>>::Future>;

/// Runs as a caller and prints its figures.
pub fn caller(
    round: Duration,
    by: By,
    tasks: usize,
    threads: usize,
    rate: u64,
    upstreams: &[SocketAddr],
) -> Result<(), Fault> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()?;
    let figures = runtime.block_on(async {
        let mut direct = Vec::new();
        for &address in upstreams {
            direct.push(Direct::connect(address).await?);
        }
        let shared = Buffer::new(pooled(&direct), 1024);
        let balance = plugin(upstreams)?;
        // What is only slow at first is not what is measured.
        let warm_up = Duration::from_millis(300);
        let measured = Instant::now() + warm_up;
        let until = measured + round;
        let pace = (rate > 0).then(|| Duration::from_secs_f64(tasks as f64 / rate as f64));
        let turn = Arc::new(AtomicUsize::new(0));
        let mut running = Vec::new();
        for task in 0..tasks {
            let calls = service(by, &direct, &shared, &balance, &turn);
            let offset = pace.unwrap_or_default().mul_f64(task as f64 / tasks as f64);
            running.push(tokio::spawn(async move {
                tokio::time::sleep(offset).await;
                let (calls, ..) = run(calls, measured, pace).await;
                run(calls, until, pace).await
            }));
        }
        tokio::time::sleep_until(measured).await;
        let (own, started) = (std::process::id(), Instant::now());
        let used = cpu(own);
        tokio::time::sleep_until(until).await;
        let (used, took) = (cpu(own) - used, started.elapsed());
        let (mut latencies, mut failed) = (Vec::new(), 0);
        for task in running {
            let (_, some, bad) = task.await?;
            latencies.extend(some);
            failed += bad;
        }
        Ok::<_, Fault>(Figures::new(&latencies, failed, used, took))
    })?;
    let Figures {
        calls,
        failed,
        cpu,
        p50,
        p99,
        seconds,
    } = figures;
    println!(
        "{}",
        serde_json::json!([calls, failed, cpu, p50, p99, seconds])
    );
    Ok(())
}

fn run_caller(
    times: Times,
    by: By,
    tasks: usize,
    threads: usize,
    rate: u64,
    upstreams: &[Peer],
) -> Result<Figures, Fault> {
    let name = by
        .to_possible_value()
        .ok_or("no name")?
        .get_name()
        .to_owned();
    let mut arguments = vec![
        "--round".to_owned(),
        times.round.as_millis().to_string(),
        "caller".into(),
        name,
    ];
    arguments.extend([tasks, threads].map(|number| number.to_string()));
    arguments.push(rate.to_string());
    arguments.extend(upstreams.iter().map(|peer| peer.address.to_string()));
    let output = Command::new(std::env::current_exe()?)
        .args(arguments)
        .stderr(Stdio::inherit())
        .output()?;
    let (calls, failed, cpu, p50, p99, seconds) = serde_json::from_slice(&output.stdout)?;
    Ok(Figures {
        calls,
        failed,
        cpu,
        p50,
        p99,
        seconds,
    })
}

fn side_by_side(
    times: Times,
    kinds: &[By],
    (tasks, threads, rate): (usize, usize, u64),
    upstreams: &[Peer],
) -> Result<Vec<Figures>, Fault> {
    let mut rounds = vec![Vec::new(); kinds.len()];
    for _ in 0..times.rounds {
        for (by, rounds) in kinds.iter().zip(&mut rounds) {
            rounds.push(run_caller(times, *by, tasks, threads, rate, upstreams)?);
        }
    }
    Ok(rounds
        .iter()
        .map(|rounds| Figures::median(rounds))
        .collect())
}

fn upstreams(count: usize) -> Result<Vec<Peer>, Fault> {
    (0..count)
        .map(|_| Peer::own(&["upstream".into()]))
        .collect()
}

/// The plug-in against p2c and a direct call.
pub fn measure(times: Times) -> Result<(), Fault> {
    let upstreams = upstreams(2)?;
    let kinds = [By::Direct, By::P2c, By::P2cEach, By::Plugin];
    for (tasks, rate) in [(1, 0), (64, 0), (64, 1_400)] {
        let load = if rate > 0 {
            format!("{rate} calls/s")
        } else {
            "as many as can be".to_owned()
        };
        println!(
            "\n{tasks} callers, {load}, 2 threads, 2 upstreams\n{}",
            head()
        );
        let figures = side_by_side(times, &kinds, (tasks, 2, rate), &upstreams)?;
        for (by, figures) in kinds.iter().zip(&figures) {
            println!("{}", figures.row(&format!("{by:?}")));
        }
        let [direct, p2c, each, plugin] = &figures[..] else {
            continue;
        };
        println!(
            "CPU added to a direct call: p2c {:.1} us, p2c each {:.1} us, plug-in {:.1} us; p99 over direct {:+.0} us",
            p2c.cpu - direct.cpu,
            each.cpu - direct.cpu,
            plugin.cpu - direct.cpu,
            plugin.p99 - direct.p99,
        );
        println!(
            "plug-in / p2c: CPU {:.2}, p99 {:.2}",
            plugin.cpu / p2c.cpu,
            plugin.p99 / p2c.p99
        );
    }
    Ok(())
}

/// 1, 4 and 16 tasks on one plug-in.
pub fn contention(times: Times) -> Result<(), Fault> {
    let upstreams = upstreams(1)?;
    println!(
        "1, 4 and 16 tasks on one plug-in, 3 threads, 1 upstream\n{}",
        head()
    );
    for tasks in [1, 4, 16] {
        for (by, figures) in [By::Direct, By::Plugin].iter().zip(side_by_side(
            times,
            &[By::Direct, By::Plugin],
            (tasks, 3, 0),
            &upstreams,
        )?) {
            println!("{}", figures.row(&format!("{by:?}, {tasks} tasks")));
        }
    }
    Ok(())
}

/// What a call holds while it waits, by the growth of the resident memory; the stand-in's own share is in it.
pub fn memory() -> Result<(), Fault> {
    const CALLS: usize = 10_000;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let silent = GrpcUpstream::start_with(Some(100_000), |_| Reply::Stall).await;
        let balance = plugin(&[silent.address])?;
        let own = std::process::id();
        let mut calls = Vec::with_capacity(CALLS);
        let direct = Direct::connect(silent.address).await?;
        let mut held = Vec::with_capacity(CALLS);
        let empty = resident(own);
        for _ in 0..CALLS {
            held.push(tokio::spawn(direct.clone().answer(request())));
        }
        while silent.in_flight() < CALLS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let with_direct = resident(own);
        for _ in 0..CALLS {
            let mut balance = balance.clone();
            calls.push(tokio::spawn(
                async move { through_plugin(&mut balance).await },
            ));
        }
        let waited = Instant::now();
        while silent.in_flight() < 2 * CALLS && waited.elapsed() < Duration::from_secs(1) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let with_plugin = resident(own);
        let came = silent.in_flight().saturating_sub(CALLS).max(1);
        let per = |from: u64, to: u64, calls: usize| to.saturating_sub(from) / calls as u64;
        println!("a held call, with the stand-in's share of it, in one process:");
        println!(
            "direct  {:>6} bytes ({CALLS} calls)",
            per(empty, with_direct, CALLS)
        );
        println!(
            "plug-in {:>6} bytes ({came} calls)",
            per(with_direct, with_plugin, came)
        );
        calls.iter().for_each(|call| call.abort());
        held.iter().for_each(|call| call.abort());
        Ok(())
    })
}
