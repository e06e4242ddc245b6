//! One command that shows the main job: stand-in nodos, discovery, the daemon and a plug-in client, all on
//! loopback, serving mixed traffic. Half-way one nodo dies, and comes back cold. At the end it prints who served
//! what by each path, and whether the four rules held as far as the nodos can tell.
//!
//! `cargo run --release -p woadstall-demo [SECONDS]`

#![forbid(unsafe_code)]

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use tower_service::Service;
use woadstall::net::Daemon;
use woadstall::net::config::Config;
use woadstall_standin::grpc::message;
use woadstall_standin::http1::{Discovery, config};
use woadstall_standin::nodo::{Nodo, Spec};
use woadstall_tower::Balance;

const NODOS: usize = 6;
/// Calls a second by each path, with the share of each class: readings, payments and look-ups.
const RATE: f64 = 100.0;
const CLASSES: [(&str, f64); 3] = [("post", 0.5), ("pay", 0.4), ("look", 0.1)];
const WORK: Spec = Spec {
    slots: 2,
    work: Duration::from_millis(30),
    queue: 16,
    start: 0.3,
    ramp: Duration::from_millis(8_400),
    tip: 2.5,
    window: Duration::from_secs(3),
};

/// Who answered what: by path, class and nodo, or what the caller heard instead.
type Tally = Arc<Mutex<BTreeMap<(&'static str, &'static str, String), u32>>>;

fn count(tally: &Tally, path: &'static str, class: &'static str, by: String) {
    *tally.lock().unwrap_or_else(PoisonError::into_inner).entry((path, class, by)).or_default() += 1;
}

fn request(class: &'static str, path: &'static str, number: u32, uri: String) -> http::request::Builder {
    let id = format!("{class}-{path}-{number:08x}");
    let request = if class == "look" { Request::get(uri) } else { Request::post(uri) };
    let request = request.header("x-call-id", &id).header("x-call-class", class).header("x-caller", "acme");
    let request = request.header("x-budget", "1.5");
    if class == "pay" { request.header("idempotency-key", id) } else { request }
}

fn heard(status: StatusCode) -> &'static str {
    match status.as_u16() {
        429 | 503 => "refused",
        _ => "failed",
    }
}

async fn by_daemon(
    client: Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>,
    at: SocketAddr,
    class: &'static str,
    number: u32,
) -> String {
    let request = request(class, "daemon", number, format!("http://{at}/{class}"));
    match client.request(request.body(Full::default()).expect("a sound request")).await {
        Ok(answer) if answer.status() == StatusCode::OK => match answer.into_body().collect().await {
            Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Err(_) => "failed".into(),
        },
        Ok(answer) => heard(answer.status()).into(),
        Err(_) => "lost".into(),
    }
}

async fn by_plugin(mut balance: Balance, class: &'static str, number: u32) -> String {
    let request = request(class, "plug-in", number, format!("/demo.Posting/{class}"));
    let request = request.method("POST").header("content-type", "application/grpc");
    let body = Full::new(message(b"reading"));
    let Ok(answer) = balance.call(request.body(body).expect("a sound request")).await;
    let early = answer.headers().get("grpc-status").cloned();
    let Ok(body) = answer.into_body().collect().await else { return "failed".into() };
    let status = body.trailers().and_then(|trailers| trailers.get("grpc-status").cloned()).or(early);
    match status.as_ref().and_then(|status| status.to_str().ok()) {
        Some("0") => String::from_utf8_lossy(body.to_bytes().get(5..).unwrap_or_default()).into_owned(),
        Some("14") => "refused".into(),
        _ => "failed".into(),
    }
}

fn pick(rng: &mut fastrand::Rng) -> &'static str {
    let mut drawn = rng.f64();
    for (class, share) in CLASSES {
        drawn -= share;
        if drawn < 0.0 {
            return class;
        }
    }
    CLASSES[0].0
}

async fn demo(seconds: u64) -> Result<bool, String> {
    let mut nodos = Vec::new();
    for at in 0..NODOS {
        nodos.push(Nodo::start(format!("nodo-{at}"), WORK).await);
    }
    let list = |first: &str| -> Vec<String> {
        let state = |at| if at == 0 { first } else { "in_service" };
        nodos.iter().enumerate().map(|(at, nodo)| nodo.target("a", state(at))).collect()
    };
    let discovery = Discovery::start();
    discovery.set(&list("in_service"));
    let mut text = config(discovery.address, &list("in_service"));
    for class in text["settings"]["Classes"].as_array_mut().into_iter().flatten() {
        (class["AimNs"], class["DeadlineNs"]) = (600_000_000_u64.into(), 1_500_000_000_u64.into());
        class["WindowNs"] = 3_000_000_000_u64.into();
    }
    let daemon = Daemon::start(Config::parse(&text.to_string(), None, None)?).await?;
    let settings = text["settings"].to_string();
    let mut builder = Balance::builder().settings(settings.as_bytes()).map_err(|error| error.to_string())?;
    for (class, _) in CLASSES {
        builder = builder.method(format!("/demo.Posting/{class}"), class);
    }
    let known = serde_json::from_value(text["known"].clone()).map_err(|error| error.to_string())?;
    let balance = builder.known(known).discovery(discovery.address).log(woadstall::net::log).build();
    let balance = balance.map_err(|error| error.to_string())?;

    println!(
        "{NODOS} nodos of {:.0} calls a second each, {RATE:.0} calls a second by daemon and by plug-in,",
        WORK.capacity()
    );
    println!(
        "for {seconds} s; nodo-0 dies at {} s and comes back cold at {} s",
        seconds / 2,
        seconds * 2 / 3
    );
    let client = Client::builder(TokioExecutor::new()).build_http();
    let (tally, mut rng) = (Tally::default(), fastrand::Rng::with_seed(1));
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let (mut next, mut killed, mut back) = (start, false, false);
    let mut number = 0;
    while start.elapsed() < Duration::from_secs(seconds) {
        next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / (2.0 * RATE));
        sleep_until(next).await;
        number += 1;
        let (class, tally) = (pick(&mut rng), tally.clone());
        if rng.bool() {
            let (client, at) = (client.clone(), daemon.address());
            calls.spawn(
                async move { count(&tally, "daemon", class, by_daemon(client, at, class, number).await) },
            );
        } else {
            let balance = balance.clone();
            calls.spawn(
                async move { count(&tally, "plug-in", class, by_plugin(balance, class, number).await) },
            );
        }
        while calls.try_join_next().is_some() {}
        if !killed && start.elapsed() >= Duration::from_secs(seconds / 2) {
            killed = true;
            nodos[0].kill();
            discovery.set(&list("terminating"));
        }
        if !back && start.elapsed() >= Duration::from_secs(seconds * 2 / 3) {
            back = true;
            nodos[0].start_again().await;
            discovery.set(&list("in_service"));
        }
    }
    while calls.join_next().await.is_some() {}
    sleep(Duration::from_millis(50)).await;
    daemon.stop().await?;

    println!("\n{:<8} {:<5} {:<10} {:>6}", "path", "class", "answer", "calls");
    for ((path, class, by), calls) in tally.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        println!("{path:<8} {class:<5} {by:<10} {calls:>6}");
    }
    println!("\n{:<8} {:>6} {:>6} {:>12}", "nodo", "came", "ran", "turned away");
    let (mut twice, mut toppled) = (0, 0);
    for nodo in &nodos {
        let seen = nodo.seen();
        println!("{:<8} {:>6} {:>6} {:>12}", nodo.name, seen.came, seen.ran, seen.turned_away);
        toppled += u32::from(seen.toppled);
    }
    let mut runs = BTreeMap::<String, u32>::new();
    for (key, ran) in nodos.iter().flat_map(|nodo| nodo.seen().keys) {
        *runs.entry(key).or_default() += ran;
    }
    let answered: u32 = tally.lock().unwrap_or_else(PoisonError::into_inner).values().sum();
    let lost = number - answered;
    twice += runs.iter().filter(|(id, ran)| id.starts_with("post") && **ran > 1).count();
    println!(
        "\n{number} calls, {answered} answered once, {lost} without an answer; readings that ran twice: {twice};"
    );
    println!("nodos that fell over: {toppled};");
    let worst = nodos[0].seen().worst;
    println!("the most that nodo-0 was sent while cold: {worst:.2} of what pushes it over");
    Ok(lost == 0 && twice == 0 && toppled == 0)
}

fn main() -> ExitCode {
    let seconds = match std::env::args().nth(1).map(|text| text.parse::<u64>()) {
        None => 60,
        Some(Ok(seconds)) if (6..=3600).contains(&seconds) => seconds,
        Some(_) => {
            eprintln!("usage: woadstall-demo [SECONDS], from 6 to 3600");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(demo(seconds)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
