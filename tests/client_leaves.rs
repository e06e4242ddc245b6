//! Tests of clients that disconnect: the balancer cancels their attempts, starts no further attempts and
//! releases their capacity and request ids.

mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use woadstall_mock_servers::http1::*;

/// Size of the pipelined bytes behind an open request: more than the balancer reads ahead, and less than
/// the receive buffer of the kernel. Behind a full TCP window, the FIN of the client would not reach the
/// host of the balancer.
const PIPELINED_BYTES: usize = 40 << 10;

/// The balancer must detect a disconnect even if the client has pipelined more bytes than the balancer
/// reads ahead.
#[test]
fn a_disconnect_shows_behind_pipelined_bytes() {
    let upstream = Upstream::start(|_| Reaction::Stall);
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let mut client = TcpStream::connect(program.address).unwrap();
    client
        .write_all(request("post", LONG_BUDGET, "first").as_bytes())
        .unwrap();
    upstream.request();
    let pipelined: String = std::iter::repeat_with(|| request("post", LONG_BUDGET, "ahead"))
        .take(PIPELINED_BYTES / 200)
        .collect();
    client.write_all(pipelined.as_bytes()).unwrap();
    drop(client);
    upstream.wait_until_closed();
    assert_eq!(
        upstream.count_requests(),
        0,
        "no request of a disconnected client is sent"
    );
}

/// Requests that are pipelined beyond the read-ahead limit are served in order once the balancer has room
/// for them.
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

/// 200 clients disconnect at once, half by FIN and half by RST. The balancer must release their capacity
/// and request ids immediately.
#[test]
fn a_crowd_that_disconnects_frees_its_capacity_and_ids() {
    let upstream = Upstream::start(|message| match message.body == b"held" {
        true => Reaction::Stall,
        false => Reaction::Respond(ok_response("served")),
    });
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let id = |number: usize| format!("9b1f03aa{number:08x}");
    let clients: Vec<TcpStream> = (0..200)
        .map(|number| {
            let mut client = TcpStream::connect(program.address).unwrap();
            client
                .write_all(named_request(&id(number), "post", LONG_BUDGET, "held").as_bytes())
                .unwrap();
            upstream.request();
            client
        })
        .collect();
    for (number, client) in clients.into_iter().enumerate() {
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
