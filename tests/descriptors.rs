//! Idle clients that fill the descriptors. They owe the balancer nothing; it owes service to those that ask, and keeps
//! what it needs for upstreams and discovery.

mod common;

use common::*;
use std::time::Duration;
use woadstall_mock_servers::http1::*;

/// What the program may hold, as its configuration says and as the system allows.
const DESCRIPTORS: u32 = 104;
/// Idle clients, far more than may be held.
const CROWD: usize = 300;

fn crowded(discovery: &Discovery, upstream: &Upstream) -> (Program, Vec<Caller>) {
    let mut config = config(discovery.address, &in_service(&[upstream]));
    config["limits"]["sockets"] = DESCRIPTORS.into();
    discovery.set(&in_service(&[upstream]));
    let program = Program::start_limited(&config, DESCRIPTORS);
    discovery.wait_until_watched();
    let crowd = (0..CROWD).filter_map(|_| program.try_connect()).collect();
    (program, crowd)
}

/// A crowd that never asks: calls are served beside it, over new connections on both sides, and the list is followed.
#[test]
fn a_crowd_of_idle_clients_blocks_neither_calls_nor_discovery() {
    let (first, second) = (
        Upstream::start(|_| Reaction::Respond(ok_response("first"))),
        Upstream::start(|_| Reaction::Respond(ok_response("second"))),
    );
    let discovery = Discovery::start();
    let (program, crowd) = crowded(&discovery, &first);
    for _ in 0..20 {
        assert_eq!(program.call("look").status(), 200);
    }
    discovery.publish(&in_service(&[&first, &second])[1..]);
    assert_eq!(program.call("post").body, b"second");
    drop(crowd);
    assert_eq!(program.call("post").body, b"second");
}

/// A client in the midst of a head is not sent away for another one that only connects.
#[test]
fn a_client_that_has_begun_a_request_is_not_disconnected() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("served")));
    let mut config = config(refused_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = DESCRIPTORS.into(); // room for twenty callers
    let program = Program::start_limited(&config, DESCRIPTORS);
    let whole = request("post", LONG_BUDGET, "b");
    let (begin, rest) = whole.split_at(whole.len() / 2);
    let mut writing = program.connect();
    writing.write(begin);
    // It has been read once one that came after it is answered.
    assert_eq!(program.call("look").status(), 200);
    let crowd: Vec<Caller> = (0..60).filter_map(|_| program.try_connect()).collect();
    assert_eq!(program.call("look").status(), 200);
    writing.write(rest);
    assert_eq!(writing.read_response().expect("an answer").body, b"served");
    drop(crowd);
}

/// A restart while the descriptors of the former process were filled: the next one is ready, and finds its list though
/// the crowd is there from its first moment and discovery comes back late.
#[test]
fn a_process_that_starts_under_a_crowd_is_ready_and_follows_discovery() {
    let (stale, present) = (
        Upstream::start(|_| Reaction::Respond(ok_response("stale"))),
        Upstream::start(|_| Reaction::Respond(ok_response("present"))),
    );
    let discovery =
        Discovery::start_failing("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    let (program, _crowd) = crowded(&discovery, &stale);
    let mut front = program.connect();
    front.write("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
    assert_eq!(front.read_response().expect("an answer").status(), 200);
    discovery.publish(&in_service(&[&stale, &present])[1..]);
    assert_eq!(program.call("post").body, b"present");
}

/// Connections that are being closed while their clients still hold them give way to those that are taken.
#[test]
fn lingering_connections_take_no_descriptors_from_others() {
    const CALLERS: usize = 68;
    let upstream = Upstream::start(|message| match message.body == b"held" {
        true => Reaction::Stall,
        false => Reaction::Respond(ok_response("served")),
    });
    let mut config = config(refused_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 200.into(); // room for so many callers, and as many connections to upstreams
    let program = Program::start_limited(&config, 1024);
    let at_fault = request("post", LONG_BUDGET, "").replace(
        "Content-Length: 0",
        "Content-Length: 0\r\nTransfer-Encoding: chunked",
    );
    let ended: Vec<Caller> = (0..CALLERS)
        .map(|_| {
            let mut caller = program.connect();
            caller.write(&at_fault);
            assert_eq!(caller.read_response().expect("an answer").status(), 400);
            caller
        })
        .collect();
    let held: Vec<Caller> = (0..CALLERS)
        .map(|_| {
            let mut caller = program.connect();
            caller.send("post", LONG_BUDGET, "held");
            upstream.request();
            caller
        })
        .collect();
    assert!(
        program.descriptors() <= 200,
        "{} descriptors",
        program.descriptors()
    );
    drop((ended, held));
}

/// The system gives no descriptor to accept with: what is idle goes, and accepting goes on.
#[test]
fn accepting_goes_on_after_the_descriptors_have_run_out() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("served")));
    // The configuration promises more than the system has.
    let mut config = config(refused_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 1024.into();
    let mut program = Program::start_limited(&config, 64);
    let crowd: Vec<Caller> = (0..CROWD).filter_map(|_| program.try_connect()).collect();
    program.logged("accept_failed error=");
    drop(crowd);
    until("it serves again", || {
        let caller = program.try_connect();
        let served = caller
            .and_then(|mut caller| caller.call("look", LONG_BUDGET, ""))
            .is_some_and(|a| a.status() == 200);
        served || {
            std::thread::sleep(Duration::from_millis(20));
            false
        }
    });
}
