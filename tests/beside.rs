//! Tests of the tower adapter and the daemon with the same upstreams: both must make the same decisions, and together
//! they must not overload an upstream that restarts cold.

mod common;

use bytes::Bytes;
use common::Program;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tower_service::Service;
use woadstall_mock_servers::http1::*;
use woadstall_mock_servers::simulated_upstream::{SimulatedUpstream, UpstreamSpec};
use woadstall_tower::{Balance, Protocol};

/// Starts `count` upstreams that record the order of their requests in a common list. Each upstream fails
/// every fifth request, so that retries at other upstreams follow.
fn recording_upstreams(count: usize) -> (Vec<Upstream>, Arc<Mutex<Vec<usize>>>) {
    let order = Arc::new(Mutex::new(Vec::new()));
    let upstream = |number: usize| {
        let (order, request_count) = (order.clone(), Mutex::new(0));
        Upstream::start(move |_| {
            order.lock().unwrap().push(number);
            let mut request_count = request_count.lock().unwrap();
            *request_count += 1;
            match *request_count % 5 {
                0 => Reaction::Respond(
                    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".into(),
                ),
                _ => Reaction::Respond(ok_response("done")),
            }
        })
    };
    ((0..count).map(upstream).collect(), order)
}

/// Returns a configuration with two zones and `CLASSES` classes. Measured latencies differ between runs; with
/// this many classes, no class gets enough calls for its measured latency to influence the decisions.
fn config_with_many_classes(known: &[String]) -> serde_json::Value {
    let mut config = config(refused_address(), known);
    config["settings"]["Zones"] = serde_json::json!(["a", "b"]);
    let classes = config["settings"]["Classes"].as_array().unwrap().clone();
    let classes: Vec<_> = (0..CLASSES)
        .map(|number| {
            let mut class = classes[number % 3].clone();
            class["Name"] = format!("class-{number}").into();
            class
        })
        .collect();
    config["settings"]["Classes"] = classes.into();
    config
}

/// Number of classes.
const CLASSES: usize = 24;
/// Number of calls per class.
const CALLS_PER_CLASS: usize = 7;

/// The calls of one client: the name of the class, and the effect of a call (0: safe, 1: idempotent by its key,
/// 2: non-idempotent).
fn scripted_calls() -> impl Iterator<Item = (String, usize)> {
    (0..CLASSES * CALLS_PER_CLASS)
        .map(|call| (format!("class-{}", call % CLASSES), call % CLASSES % 3))
}

/// Builds the request of a call through the adapter.
fn adapter_request(class: &str, effect: usize, id: usize) -> Request<Full<Bytes>> {
    let method = if effect == 0 { "GET" } else { "POST" };
    let mut request = Request::builder().method(method).uri(format!("/{class}"));
    request = request
        .header("host", "backend.local")
        .header("x-call-id", format!("{id:016x}"));
    request = request
        .header("x-call-class", class)
        .header("x-caller", "acme")
        .header("x-budget", "60");
    if effect == 1 {
        request = request.header("idempotency-key", format!("k-{id}"));
    }
    request.body(Full::default()).unwrap()
}

/// The same scripted calls through the daemon and the adapter must reach the same upstreams in the same
/// order, including retries.
#[tokio::test]
async fn both_paths_choose_identical_upstreams_in_order() {
    let mut orders = Vec::new();
    for uses_adapter in [false, true] {
        let (upstreams, order) = recording_upstreams(6);
        let entry = |(number, upstream): (usize, &Upstream)| {
            let zone = if number % 2 == 0 {
                "\"az\":\"a\""
            } else {
                "\"az\":\"b\""
            };
            target(&format!("s-{number}"), upstream.address, "in_service")
                .replace("\"az\":\"a\"", zone)
        };
        let known: Vec<_> = upstreams.iter().enumerate().map(entry).collect();
        let config = config_with_many_classes(&known);
        if uses_adapter {
            let seed = u64::from_str_radix(config["seed"].as_str().unwrap(), 16).unwrap();
            let builder = Balance::builder()
                .settings(config["settings"].to_string().as_bytes())
                .unwrap();
            let builder =
                builder.known_endpoints(serde_json::from_value(config["known"].clone()).unwrap());
            let mut balance = builder
                .seed(seed)
                .protocol(Protocol::Http1)
                .build()
                .unwrap();
            for (id, (class, effect)) in scripted_calls().enumerate() {
                balance
                    .call(adapter_request(&class, effect, id))
                    .await
                    .unwrap();
            }
        } else {
            let program = Program::start(&config);
            let mut caller = program.connect();
            for (id, (class, effect)) in scripted_calls().enumerate() {
                let (method, key) = match effect {
                    0 => ("GET", String::new()),
                    1 => ("POST", format!("Idempotency-Key: k-{id}\r\n")),
                    _ => ("POST", String::new()),
                };
                caller.write(&format!(
                    "{method} /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id:016x}\r\n\
                     X-Call-Class: {class}\r\nX-Caller: acme\r\nX-Budget: 60\r\n{key}Content-Length: 0\r\n\r\n"
                ));
                caller.read_response().expect("an answer");
            }
        }
        let order = order.lock().unwrap().clone();
        assert!(
            order.len() > CLASSES * CALLS_PER_CLASS,
            "there were retries"
        );
        assert!(
            (0..6).filter(|number| order.contains(number)).count() >= 3,
            "at least the upstreams of the local zone are used"
        );
        orders.push(order);
    }
    assert_eq!(orders[0], orders[1]);
}

const COLD_START: UpstreamSpec = UpstreamSpec {
    slots: 4,
    service_time: Duration::from_millis(20),
    queue_length: 40,
    start_fraction: 0.3,
    slow_start: Duration::from_millis(4_000),
    overload_factor: 2.5,
    window: Duration::from_millis(1_500),
};

/// Guards rule 4 (no overload of a cold upstream) on real sockets: an upstream restarts cold under load from one daemon
/// and forty adapters that do not coordinate with each other. Their combined load must not overload the upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[expect(clippy::too_many_lines, reason = "one sequence of events")]
async fn an_upstream_restarted_under_daemon_and_adapters_is_not_overloaded() {
    let mut upstreams = Vec::new();
    for number in 0..4 {
        upstreams.push(SimulatedUpstream::start(format!("n-{number}"), COLD_START).await);
    }
    // Lists all upstreams, with the first one in the given state.
    let list = |state: &str| {
        upstreams
            .iter()
            .enumerate()
            .map(|(number, upstream)| {
                upstream.target("a", if number == 0 { state } else { "in_service" })
            })
            .collect()
    };
    let known: Vec<String> = list("in_service");
    let mut config = config(refused_address(), &known);
    config["settings"]["Safety"]["RampTimeNs"] = 4_000_000_000_u64.into();
    for class in config["settings"]["Classes"].as_array_mut().unwrap() {
        class["AimNs"] = 600_000_000_u64.into();
        class["DeadlineNs"] = 1_500_000_000_u64.into();
    }
    let discovery = Discovery::start();
    discovery.set(&known);
    config["discovery"] = discovery.address.to_string().into();
    let program = Program::start(&config);
    let settings = config["settings"].to_string();
    let build = |_| {
        let builder = Balance::builder()
            .settings(settings.as_bytes())
            .unwrap()
            .discovery(discovery.address);
        let known = serde_json::from_value(config["known"].clone()).unwrap();
        builder
            .known_endpoints(known)
            .protocol(Protocol::Http2)
            .build()
            .unwrap()
    };
    let adapters: Vec<Balance> = (0..40).map(build).collect();
    // The capacity of the four upstreams is 800 calls per second. The offered load is slightly more than
    // half of that, and a fifth of the load comes through the daemon.
    let served = Arc::new(std::sync::atomic::AtomicU32::new(0));
    let stop = tokio::time::Instant::now() + Duration::from_secs(8);
    let mut callers = tokio::task::JoinSet::new();
    for (number, balance) in adapters.into_iter().enumerate() {
        let served = served.clone();
        callers.spawn(async move {
            let mut call = 0;
            while tokio::time::Instant::now() < stop {
                let id = (number + 1) << 20 | call;
                call += 1;
                let (mut balance, served) = (balance.clone(), served.clone());
                tokio::spawn(async move {
                    let answer = balance.call(adapter_request("post", 2, id)).await.unwrap();
                    let answer = answer.map(|body| body.collect());
                    if answer.status() == 200 && answer.into_body().await.is_ok() {
                        served.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    }
                });
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
    }
    for _ in 0..4 {
        let (address, served) = (program.address, served.clone());
        callers.spawn_blocking(move || {
            let mut caller = Caller::connect(address).unwrap();
            while tokio::time::Instant::now() < stop {
                if caller
                    .call("post", "1.5", "")
                    .is_some_and(|answer| answer.status() == 200)
                {
                    served.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    upstreams[0].kill();
    discovery.set(&list("terminating"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    upstreams[0].restart().await;
    discovery.set(&list("in_service"));
    while callers.join_next().await.is_some() {}
    let counters = upstreams[0].counters();
    assert!(
        !counters.overloaded,
        "the restarted upstream got {:.2} of its overload threshold",
        counters.peak_load
    );
    assert!(
        counters.peak_load > 0.0,
        "the restarted upstream got requests while cold"
    );
    let served = served.load(std::sync::atomic::Ordering::Relaxed);
    assert!(served > 1_000, "{served} served");
    let repeated_executions = upstreams
        .iter()
        .flat_map(|upstream| upstream.counters().executions_by_call_id)
        .filter(|(_, executions)| *executions > 1)
        .count();
    assert_eq!(
        repeated_executions, 0,
        "a non-idempotent call was executed twice"
    );
}
