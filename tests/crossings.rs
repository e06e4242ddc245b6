//! Tests of a front with upstreams that violate the protocol or fail, on real sockets: each client must get only the
//! response to its own request, and each non-idempotent request must be sent at most once.

#[path = "common/program.rs"]
mod program;

use program::program_path;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::{Message, Reaction, TEST_TIMEOUT, Upstream};
use woadstall_mock_servers::system::{System, call, events, response};

/// Time limit from the disconnect of a client to the cancellation at its upstream.
const CANCELLATION_TIMEOUT: Duration = Duration::from_millis(500);

fn system(timeout_ms: u64, attempts: u64) -> System {
    let system = System::start(&program_path(), 1);
    let route = |name: &str, route_type: &str| {
        json!({
            "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"), "route_type": route_type,
            "timeout_ms": timeout_ms, "service": "s", "max_attempts": attempts, "resumable": false,
        })
    };
    let routes: Vec<Value> = vec![
        route("safe", "safe"),
        route("once", "non_idempotent"),
        route("stream", "streaming"),
    ];
    let services = json!([{ "name": "s", "max_connections": 100 }]);
    system.configure(
        0,
        0,
        &json!({ "generation": 1, "routes": routes, "services": services }),
    );
    system
}

fn post(front: SocketAddr, path: &str, id: &str, body: &[u8]) -> Option<Message> {
    call(
        front,
        "POST",
        path,
        &format!("Request-Id: {id}\r\nDeadline: 8000\r\n"),
        body,
    )
}

/// An upstream whose connections the test reads and writes itself.
struct ManualUpstream {
    address: SocketAddr,
    connections: Receiver<TcpStream>,
}

impl ManualUpstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, connections): (Sender<TcpStream>, _) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                if sender.send(stream).is_err() {
                    return;
                }
            }
        });
        Self {
            address,
            connections,
        }
    }

    /// Returns the next connection that the front opens.
    fn accept(&self) -> TcpStream {
        self.connections
            .recv_timeout(TEST_TIMEOUT)
            .expect("the front opens a connection")
    }
}

/// Makes the kernel close the connection with RST instead of FIN.
fn reset(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

#[test]
fn a_second_response_to_one_request_never_reaches_the_next() {
    let system = system(5_000, 1);
    let front = system.front(0);
    let upstream = Upstream::start(|request| {
        let own = response(request, "own");
        Reaction::RespondWithSurplus(own.clone(), own)
    });
    system.register(0, "i-1", "s", upstream.address, 0);
    for number in 0..8 {
        let id = format!("r-{number}");
        let Some(reply) = post(front, "/once/1", &id, b"{}") else {
            continue;
        };
        if reply.status() == 200 {
            assert_eq!(reply.headers["request-id"], id);
            assert_eq!(reply.headers["response-stamp"], format!("stamp-{id}"));
        }
    }
    assert!(
        upstream.count_requests() <= 8,
        "each request was sent at most once"
    );
}

#[test]
fn a_delayed_second_response_is_recognized_by_its_id() {
    let system = system(5_000, 1);
    let front = system.front(0);
    let upstream = ManualUpstream::start();
    system.register(0, "i-1", "s", upstream.address, 0);
    thread::scope(|scope| {
        let first = scope.spawn(|| post(front, "/once/1", "r-1", b"{}"));
        let stream = upstream.accept();
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let request = Message::read(&mut input).unwrap();
        (&stream)
            .write_all(response(&request, "first").as_bytes())
            .unwrap();
        assert_eq!(first.join().unwrap().unwrap().body, b"first");
        // The front sends the next request on the same connection, and the upstream responds with a second
        // response to the first request.
        let second = scope.spawn(|| post(front, "/once/1", "r-2", b"{}"));
        let second_request = Message::read(&mut input);
        assert_eq!(
            second_request.expect("the connection is kept").headers["request-id"],
            "r-2"
        );
        (&stream)
            .write_all(response(&request, "first").as_bytes())
            .unwrap();
        assert_eq!(
            second.join().unwrap().expect("an answer").status(),
            502,
            "the request may have been executed"
        );
        // After a response with a wrong id, the front must send nothing more on the connection.
        assert!(Message::read(&mut input).is_none());
    });
}

#[test]
fn a_response_without_an_id_or_a_stamp_is_invalid() {
    let system = system(5_000, 1);
    let front = system.front(0);
    let upstream = Upstream::start(|request| {
        let valid = response(request, "own");
        let header = if request.headers["request-id"] == "r-1" {
            "Request-Id: r-1\r\n"
        } else {
            "Response-Stamp: stamp-r-2\r\n"
        };
        Reaction::Respond(valid.replace(header, ""))
    });
    system.register(0, "i-1", "s", upstream.address, 0);
    for id in ["r-1", "r-2"] {
        let reply = post(front, "/once/1", id, b"{}").expect("an answer");
        assert_eq!(
            (reply.status(), reply.headers.get("response-stamp")),
            (502, None),
            "{id}"
        );
    }
}

#[test]
fn after_an_early_response_the_rest_of_a_long_body_or_nothing_follows() {
    const BODY: usize = 3 << 20;
    let system = system(5_000, 1);
    let front = system.front(0);
    let upstream = ManualUpstream::start();
    system.register(0, "i-1", "s", upstream.address, 0);
    let body: Vec<u8> = (0..BODY).map(|position| (position % 251) as u8).collect();
    thread::scope(|scope| {
        let response_thread = scope.spawn(|| post(front, "/once/1", "r-1", &body));
        let mut stream = upstream.accept();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        let early =
            "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(early.as_bytes()).unwrap();
        assert_eq!(
            response_thread.join().unwrap().expect("an answer").status(),
            200
        );
        // The front must either send the rest of the body or send nothing more on this connection.
        let next = scope.spawn(|| post(front, "/once/1", "r-2", b"{}"));
        let mut rest = Vec::new();
        stream
            .try_clone()
            .unwrap()
            .take(BODY as u64)
            .read_to_end(&mut rest)
            .ok();
        assert!(
            rest[..] == body[..rest.len()],
            "the bytes after the head differ from the request body"
        );
        let mut next_stream = if rest.len() == BODY {
            stream
        } else {
            upstream.accept()
        };
        let request = match Message::read(&mut BufReader::new(next_stream.try_clone().unwrap())) {
            Some(request) => request,
            None => {
                next_stream = upstream.accept();
                Message::read(&mut BufReader::new(next_stream.try_clone().unwrap())).unwrap()
            }
        };
        assert_eq!(request.headers["request-id"], "r-2");
        next_stream
            .write_all(response(&request, "second").as_bytes())
            .unwrap();
        assert_eq!(next.join().unwrap().expect("an answer").body, b"second");
    });
}

#[test]
fn a_response_without_a_length_that_ends_with_a_reset_is_truncated() {
    let system = system(5_000, 1);
    let front = system.front(0);
    let upstream = ManualUpstream::start();
    system.register(0, "i-1", "s", upstream.address, 0);
    for (id, is_reset) in [("r-1", false), ("r-2", true)] {
        thread::scope(|scope| {
            let response_thread = scope.spawn(|| post(front, "/once/1", id, b"{}"));
            let mut stream = upstream.accept();
            Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nConnection: close\r\n\r\nhalf"
            );
            stream.write_all(head.as_bytes()).unwrap();
            if is_reset {
                reset(&stream);
            }
            drop(stream);
            let reply = response_thread.join().unwrap().expect("an answer");
            assert_eq!(reply.status(), if is_reset { 502 } else { 200 }, "{id}");
        });
    }
}

#[test]
fn a_pooled_connection_that_its_upstream_has_closed_loses_no_request() {
    let system = system(5_000, 2);
    let front = system.front(0);
    let upstream = Upstream::start(|request| Reaction::RespondAndClose(response(request, "own")));
    system.register(0, "i-1", "s", upstream.address, 0);
    for number in 0..10 {
        let reply = post(front, "/once/1", &format!("r-{number}"), b"{}").expect("an answer");
        assert_eq!(reply.status(), 200, "request {number}");
        assert_eq!(
            upstream.request().headers["request-id"],
            format!("r-{number}")
        );
        upstream.wait_until_closed();
    }
    assert_eq!(upstream.count_requests(), 0, "each request was sent once");
}

#[test]
fn a_request_that_was_written_and_reset_is_retried_only_if_it_is_safe() {
    let system = system(5_000, 2);
    let front = system.front(0);
    let upstreams = [ManualUpstream::start(), ManualUpstream::start()];
    system.register(0, "i-1", "s", upstreams[0].address, 0);
    system.register(0, "i-2", "s", upstreams[1].address, 0);
    // Sends a request while both upstreams reset each connection after a request; returns the number of sent requests
    // and the status of the response.
    let requests_and_status = |path: &str| {
        thread::scope(|scope| {
            let (count, counted) = channel();
            for upstream in &upstreams {
                let streams: Vec<TcpStream> = upstream.connections.try_iter().collect();
                drop(streams);
            }
            let response_thread = scope.spawn(|| post(front, path, "r-1", b"{}"));
            while !response_thread.is_finished() {
                for upstream in &upstreams {
                    let Ok(stream) = upstream.connections.recv_timeout(Duration::from_millis(5))
                    else {
                        continue;
                    };
                    if Message::read(&mut BufReader::new(stream.try_clone().unwrap())).is_some() {
                        count.send(()).unwrap();
                    }
                    reset(&stream);
                }
            }
            drop(count);
            (
                counted.iter().count(),
                response_thread.join().unwrap().expect("an answer").status(),
            )
        })
    };
    assert_eq!(requests_and_status("/once/1"), (1, 502));
    assert_eq!(requests_and_status("/safe/1"), (2, 502));
}

#[test]
fn an_unresponsive_upstream_times_out_with_its_route_and_is_released() {
    let system = system(700, 2);
    let front = system.front(0);
    let upstream = Upstream::start(|_| Reaction::Stall);
    system.register(0, "i-1", "s", upstream.address, 0);
    let began = Instant::now();
    let reply = post(front, "/once/1", "r-1", b"{}").expect("an answer");
    let duration = began.elapsed();
    assert_eq!(reply.status(), 504);
    assert!(
        duration >= Duration::from_millis(650)
            && duration < Duration::from_millis(700) + CANCELLATION_TIMEOUT,
        "{duration:?}"
    );
    upstream.request();
    upstream.wait_until_closed();
    assert_eq!(upstream.count_requests(), 0, "the request was sent once");
}

#[test]
fn a_disconnected_client_cancels_its_request_and_its_stream() {
    let system = system(20_000, 2);
    let front = system.front(0);
    let upstream = ManualUpstream::start();
    system.register(0, "i-1", "s", upstream.address, 0);
    for (path, has_response_begun) in [("/safe/1", false), ("/stream/1", true)] {
        let mut client = TcpStream::connect(front).unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-1\r\nDeadline: 20000\r\nContent-Length: 0\r\n\r\n"
        );
        client.write_all(head.as_bytes()).unwrap();
        let mut stream = upstream.accept();
        let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        if has_response_begun {
            stream
                .write_all(events(&request, &["id: 1\ndata: a\n\n"], false).as_bytes())
                .unwrap();
            let mut first = [0; 12];
            client.read_exact(&mut first).unwrap();
        }
        client.shutdown(Shutdown::Both).unwrap();
        drop(client);
        let disconnected = Instant::now();
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).ok();
        assert!(
            disconnected.elapsed() < CANCELLATION_TIMEOUT,
            "{path}: the upstream is notified after {:?}",
            disconnected.elapsed()
        );
        assert!(
            rest.is_empty(),
            "{path}: bytes are sent after the disconnect"
        );
        let retry = upstream.connections.recv_timeout(CANCELLATION_TIMEOUT);
        assert!(
            retry.is_err(),
            "{path}: the request is sent to an upstream again after its client has disconnected"
        );
    }
}

#[test]
fn the_remaining_deadline_is_forwarded_and_decreases_with_each_attempt() {
    let system = system(20_000, 2);
    let front = system.front(0);
    let upstreams = [ManualUpstream::start(), ManualUpstream::start()];
    system.register(0, "i-1", "s", upstreams[0].address, 0);
    system.register(0, "i-2", "s", upstreams[1].address, 0);
    const PROCESSING_TIME: Duration = Duration::from_millis(400);
    let mut forwarded_deadlines_ms: Vec<u64> = Vec::new();
    thread::scope(|scope| {
        let response_thread = scope.spawn(|| post(front, "/safe/1", "r-1", b"{}"));
        while forwarded_deadlines_ms.len() < 2 {
            for (position, upstream) in upstreams.iter().enumerate() {
                let Ok(mut stream) = upstream.connections.recv_timeout(Duration::from_millis(5))
                else {
                    continue;
                };
                let Some(request) = Message::read(&mut BufReader::new(stream.try_clone().unwrap()))
                else {
                    continue;
                };
                forwarded_deadlines_ms.push(request.headers["deadline"].parse().unwrap());
                if forwarded_deadlines_ms.len() == 1 {
                    let other_upstream = &upstreams[1 - position];
                    let other_connection = other_upstream.connections.recv_timeout(PROCESSING_TIME);
                    assert!(
                        other_connection.is_err(),
                        "no other upstream gets the request while the first one processes it"
                    );
                    reset(&stream);
                } else {
                    stream
                        .write_all(response(&request, "own").as_bytes())
                        .unwrap();
                }
            }
        }
        assert_eq!(
            response_thread.join().unwrap().expect("an answer").status(),
            200
        );
    });
    assert!(
        forwarded_deadlines_ms[0] <= 8_000 && forwarded_deadlines_ms[0] > 7_000,
        "{forwarded_deadlines_ms:?}"
    );
    assert!(
        forwarded_deadlines_ms[1] + u64::try_from(PROCESSING_TIME.as_millis()).unwrap()
            <= forwarded_deadlines_ms[0],
        "{forwarded_deadlines_ms:?}"
    );
}
