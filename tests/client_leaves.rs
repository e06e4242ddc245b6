//! Clients that leave. Nothing more is owed to them: their attempts are withdrawn, nothing begins for them, and what
//! they held is free.

mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use woadstall_mock_servers::http1::*;

/// More than a balancer reads ahead behind an open request, and less than the kernel takes in for it: behind a full
/// window, the end of a client does not even reach the balancer's machine.
const FAR_AHEAD: usize = 40 << 10;

/// A client whose end stands behind more than is read ahead.
#[test]
fn a_disconnect_shows_behind_pipelined_bytes() {
    let upstream = Upstream::start(|_| Reaction::Stall);
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let mut client = TcpStream::connect(program.address).unwrap();
    client
        .write_all(request("post", LONG_BUDGET, "first").as_bytes())
        .unwrap();
    upstream.request();
    let ahead: String = std::iter::repeat_with(|| request("post", LONG_BUDGET, "ahead"))
        .take(FAR_AHEAD / 200)
        .collect();
    client.write_all(ahead.as_bytes()).unwrap();
    drop(client);
    upstream.wait_until_closed();
    assert_eq!(
        upstream.count_requests(),
        0,
        "nothing is sent for a client that has left"
    );
}

/// What was written far ahead is served in its order once there is room for it.
#[test]
fn pipelined_requests_have_responses_in_order() {
    let upstream = Upstream::start(|message| {
        Reaction::Respond(ok_response(&String::from_utf8_lossy(&message.body)))
    });
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let mut caller = program.connect();
    let bodies: Vec<String> = (0..200)
        .map(|number| format!("{number:03}{}", "b".repeat(300)))
        .collect();
    caller.write(
        &bodies
            .iter()
            .map(|body| request("post", LONG_BUDGET, body))
            .collect::<String>(),
    );
    for body in &bodies {
        let answer = caller.read_response().expect("an answer");
        assert_eq!(answer.body, body.as_bytes());
    }
    assert_eq!(upstream.count_requests(), bodies.len());
}

/// Hundreds at once, closed in order and by a reset; their places and their names are free at once.
#[test]
fn a_crowd_that_disconnects_frees_its_capacity_and_ids() {
    let upstream = Upstream::start(|message| match message.body == b"held" {
        true => Reaction::Stall,
        false => Reaction::Respond(ok_response("served")),
    });
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let id = |number: usize| format!("9b1f03aa{number:08x}");
    let crowd: Vec<TcpStream> = (0..200)
        .map(|number| {
            let mut client = TcpStream::connect(program.address).unwrap();
            client
                .write_all(named_request(&id(number), "post", LONG_BUDGET, "held").as_bytes())
                .unwrap();
            upstream.request();
            client
        })
        .collect();
    for (number, client) in crowd.into_iter().enumerate() {
        if number % 2 == 0 {
            socket2::SockRef::from(&client)
                .set_linger(Some(std::time::Duration::ZERO))
                .unwrap();
        }
    }
    for _ in 0..200 {
        upstream.wait_until_closed();
    }
    for number in 0..200 {
        let mut caller = program.connect();
        caller.write(&named_request(&id(number), "post", LONG_BUDGET, "again"));
        assert_eq!(caller.read_response().expect("an answer").status(), 200);
    }
    assert_eq!(upstream.count_requests(), 200);
}
