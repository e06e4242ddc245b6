//! Tests of idle clients that exhaust the file descriptors. The balancer must still serve the clients that
//! send requests, and must reserve descriptors for upstreams and discovery.

mod common;

use common::*;
use std::time::Duration;
use woadstall_mock_servers::http1::*;

/// Limit of open descriptors, both in the configuration and in the system (`ulimit -n`).
const DESCRIPTORS: u32 = 104;
/// Number of idle clients, far above `DESCRIPTORS`.
const IDLE_CLIENTS: usize = 300;

fn start_with_idle_clients(discovery: &Discovery, upstream: &Upstream) -> (Program, Vec<Caller>) {
    let mut config = config(discovery.address, &in_service(&[upstream]));
    config["limits"]["sockets"] = DESCRIPTORS.into();
    discovery.set(&in_service(&[upstream]));
    let program = Program::start_limited(&config, DESCRIPTORS);
    discovery.wait_until_watched();
    let idle_clients = (0..IDLE_CLIENTS)
        .filter_map(|_| program.try_connect())
        .collect();
    (program, idle_clients)
}

/// With many idle connections, the balancer must still serve calls over new client and upstream
/// connections, and apply changes of the discovery list.
#[test]
fn many_idle_clients_block_neither_calls_nor_discovery() {
    let (first, second) = (
        Upstream::start(|_| Reaction::Respond(ok_response("first"))),
        Upstream::start(|_| Reaction::Respond(ok_response("second"))),
    );
    let discovery = Discovery::start();
    let (program, idle_clients) = start_with_idle_clients(&discovery, &first);
    for _ in 0..20 {
        assert_eq!(program.call("look").status(), 200);
    }
    discovery.publish(&in_service(&[&first, &second])[1..]);
    assert_eq!(program.call("post").body, b"second");
    drop(idle_clients);
    assert_eq!(program.call("post").body, b"second");
}

/// The balancer must not close the connection of a client that has sent part of a request head in favour
/// of a client that has only connected.
#[test]
fn a_client_that_has_begun_a_request_is_not_disconnected() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("served")));
    let mut config = config(refused_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = DESCRIPTORS.into(); // room for twenty clients
    let program = Program::start_limited(&config, DESCRIPTORS);
    let request = request("post", LONG_BUDGET, "b");
    let (beginning, rest) = request.split_at(request.len() / 2);
    let mut writing = program.connect();
    writing.write(beginning);
    // The response to this later call shows that the balancer has read the partial head.
    assert_eq!(program.call("look").status(), 200);
    let idle_clients: Vec<Caller> = (0..60).filter_map(|_| program.try_connect()).collect();
    assert_eq!(program.call("look").status(), 200);
    writing.write(rest);
    assert_eq!(writing.read_response().expect("an answer").body, b"served");
    drop(idle_clients);
}

/// A process starts while idle clients exhaust its descriptors from the first moment and discovery fails at
/// first. The process must become ready, and apply the list once discovery recovers.
#[test]
fn a_process_that_starts_with_many_idle_clients_is_ready_and_follows_discovery() {
    let (stale, current) = (
        Upstream::start(|_| Reaction::Respond(ok_response("stale"))),
        Upstream::start(|_| Reaction::Respond(ok_response("current"))),
    );
    let discovery =
        Discovery::start_failing("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    let (program, _idle_clients) = start_with_idle_clients(&discovery, &stale);
    let mut health_checker = program.connect();
    health_checker.write("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
    assert_eq!(
        health_checker.read_response().expect("an answer").status(),
        200
    );
    discovery.publish(&in_service(&[&stale, &current])[1..]);
    assert_eq!(program.call("post").body, b"current");
}

/// Connections that the balancer has closed but the clients keep open must not count against the
/// descriptors for active connections.
#[test]
fn lingering_connections_take_no_descriptors_from_others() {
    const CALLERS: usize = 68;
    let upstream = Upstream::start(|message| match message.body == b"held" {
        true => Reaction::Stall,
        false => Reaction::Respond(ok_response("served")),
    });
    let mut config = config(refused_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 200.into(); // room for `CALLERS` clients and as many upstream connections
    let program = Program::start_limited(&config, 1024);
    let invalid_request = request("post", LONG_BUDGET, "").replace(
        "Content-Length: 0",
        "Content-Length: 0\r\nTransfer-Encoding: chunked",
    );
    let rejected: Vec<Caller> = (0..CALLERS)
        .map(|_| {
            let mut caller = program.connect();
            caller.write(&invalid_request);
            assert_eq!(caller.read_response().expect("an answer").status(), 400);
            caller
        })
        .collect();
    let pending: Vec<Caller> = (0..CALLERS)
        .map(|_| {
            let mut caller = program.connect();
            caller.send("post", LONG_BUDGET, "held");
            upstream.request();
            caller
        })
        .collect();
    assert!(
        program.descriptor_count() <= 200,
        "{} descriptors",
        program.descriptor_count()
    );
    drop((rejected, pending));
}

/// If `accept` fails for lack of descriptors, the balancer must close idle connections and continue to
/// accept.
#[test]
fn accepting_goes_on_after_the_descriptors_have_run_out() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("served")));
    // The configured limit is above the limit of the system.
    let mut config = config(refused_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 1024.into();
    let mut program = Program::start_limited(&config, 64);
    let idle_clients: Vec<Caller> = (0..IDLE_CLIENTS)
        .filter_map(|_| program.try_connect())
        .collect();
    program.wait_for_log("accept_failed error=");
    drop(idle_clients);
    wait_until("the balancer serves again", || {
        let caller = program.try_connect();
        let served = caller
            .and_then(|mut caller| caller.call("look", LONG_BUDGET, ""))
            .is_some_and(|answer| answer.status() == 200);
        if !served {
            std::thread::sleep(Duration::from_millis(20));
        }
        served
    });
}
