//! gRPC through the plug-in: which attempts are retried, and which status the caller receives.

mod common;

use bytes::Bytes;
use common::*;
use h2::Reason;
use http::Request;
use http_body_util::{BodyExt, Full, StreamBody};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tower_service::Service;
use woadstall_mock_servers::grpc::{GrpcUpstream, ReceivedCall, Reply, message};
use woadstall_mock_servers::raw_http2::{RawHttp2Server, ScriptedAction};
use woadstall_tower::{CallInfo, InheritTime, Protocol};

fn ok_response() -> Reply {
    Reply::Ok(Bytes::from_static(b"done"))
}

/// A script that replies to the first call with `first` and serves all later calls.
fn once(first: Reply) -> impl Fn(&ReceivedCall) -> Reply + Send + Sync {
    let count = AtomicUsize::new(0);
    move |_| match count.fetch_add(1, Ordering::Relaxed) {
        0 => first.clone(),
        _ => ok_response(),
    }
}

/// Makes a call whose first attempt receives the reply `first`. Returns the caller's outcome and the number of
/// attempts.
async fn call_with_first_reply(path: &str, first: Reply) -> (Outcome, usize) {
    let upstream = GrpcUpstream::start(once(first)).await;
    let balance = balance(&[upstream.address]);
    let outcome = call(&balance, path).await;
    wait_until("no call is open", || balance.open_calls() == 0).await;
    (outcome, upstream.received_calls())
}

/// Guards against failures of calls that the upstream declared as not executed: such calls are retried, even unsafe
/// ones.
#[tokio::test]
async fn requests_that_never_ran_are_retried() {
    let full = Reply::Status(14, vec![("x-rejected", "1")]);
    let exhausted = Reply::Status(8, vec![("grpc-retry-pushback-ms", "5")]);
    let refused = Reply::Reset(Reason::REFUSED_STREAM);
    let http = Reply::Http(503, vec![("x-rejected", "1")], Bytes::new());
    for (name, first) in [
        ("full", full),
        ("exhausted", exhausted),
        ("refused", refused),
        ("http", http),
    ] {
        for path in [LOOK, PAY, POST] {
            let (outcome, attempts) = call_with_first_reply(path, first.clone()).await;
            assert!(outcome.is_served(), "{name} {path}: {outcome:?}");
            assert_eq!(
                (attempts, &outcome.body),
                (2, &message(b"done")),
                "{name} {path}"
            );
        }
    }
}

/// Guards against unsafe calls running twice: after an attempt that may have run, only safe and keyed calls are
/// retried. Unsafe calls, and calls of an unknown method, fail without advice to retry.
#[tokio::test]
async fn unsafe_requests_that_may_have_run_are_not_retried() {
    let cases = [
        ("unavailable", Reply::Status(14, vec![])),
        (
            "unavailable with pushback",
            Reply::Status(14, vec![("grpc-retry-pushback-ms", "5")]),
        ),
        ("deadline exceeded", Reply::Status(4, vec![])),
        ("cancelled", Reply::Reset(Reason::CANCEL)),
        ("internal", Reply::Reset(Reason::INTERNAL_ERROR)),
        ("no error", Reply::Reset(Reason::NO_ERROR)),
        ("no status", Reply::NoStatus(Bytes::new())),
        ("http", Reply::Http(500, vec![], Bytes::new())),
        ("plain 503", Reply::Http(503, vec![], Bytes::new())),
    ];
    for (name, first) in cases {
        for path in [LOOK, PAY] {
            let (outcome, attempts) = call_with_first_reply(path, first.clone()).await;
            assert!(
                outcome.is_served() && attempts == 2,
                "{name} {path}: {outcome:?} after {attempts}"
            );
        }
        for path in [POST, "/test.Test/Unknown"] {
            let (outcome, attempts) = call_with_first_reply(path, first.clone()).await;
            assert!(
                outcome.is_failed() && attempts == 1,
                "{name} {path}: {outcome:?} after {attempts}"
            );
        }
    }
}

/// Guards against retries of calls that the server has answered: all other statuses are forwarded unchanged.
#[tokio::test]
async fn other_statuses_are_final() {
    for status in [1, 2, 3, 5, 6, 7, 8, 9, 10, 11, 12, 13, 15, 16] {
        let (outcome, attempts) =
            call_with_first_reply(LOOK, Reply::Status(status, vec![("x-from", "upstream")])).await;
        assert_eq!((outcome.grpc_status, attempts), (Some(status), 1));
    }
}

/// Guards against unsafe calls running twice when a connection with many streams closes: each of the calls may have
/// run.
#[tokio::test]
async fn streams_on_a_lost_connection_are_not_retried() {
    let closing = RawHttp2Server::start(30, ScriptedAction::Close);
    let balance = balance(&[closing.address]);
    let calls: Vec<_> = (0..30)
        .map(|_| {
            let balance = balance.clone();
            tokio::spawn(async move { call(&balance, POST).await })
        })
        .collect();
    let healthy = GrpcUpstream::start(|_| ok_response()).await;
    // All calls are sent before the other upstream becomes available.
    tokio::task::spawn_blocking(move || closing.wait_for(29))
        .await
        .unwrap();
    balance.update_endpoints(&listing(
        false,
        &[ListEntry("other", healthy.address, "in_service", 0)],
    ));
    for ended in calls {
        let outcome = ended.await.unwrap();
        assert!(outcome.is_failed(), "{outcome:?}");
    }
    assert_eq!(healthy.received_calls(), 0);
}

/// Waits until `stream_count` more streams have been opened at a server, and returns the server.
async fn wait_for_streams(server: RawHttp2Server, stream_count: usize) -> RawHttp2Server {
    let wait = move || {
        server.wait_for(stream_count);
        server
    };
    tokio::task::spawn_blocking(wait).await.unwrap()
}

/// GOAWAY's last stream id separates streams that may have been processed from streams that were not (RFC 9113, section
/// 6.8). Guards against the former being retried, and against the latter failing.
#[tokio::test]
async fn only_streams_above_goaway_are_retried_elsewhere() {
    let draining = RawHttp2Server::start(
        30,
        ScriptedAction::GoAway {
            processed_streams: 20,
        },
    );
    let balance = balance(&[draining.address]);
    let calls: Vec<_> = (0..29)
        .map(|_| {
            let balance = balance.clone();
            tokio::spawn(async move { call(&balance, POST).await })
        })
        .collect();
    let draining = wait_for_streams(draining, 29).await;
    let healthy = GrpcUpstream::start(|_| ok_response()).await;
    let entries = [
        ListEntry("s-0", draining.address, "terminating", 0),
        ListEntry("other", healthy.address, "in_service", 0),
    ];
    // The thirtieth stream triggers the GOAWAY. It is opened on the same connection before the upstream is listed as
    // draining.
    let thirtieth = {
        let balance = balance.clone();
        tokio::spawn(async move { call(&balance, POST).await })
    };
    let draining = wait_for_streams(draining, 1).await;
    balance.update_endpoints(&listing(false, &entries));
    let (mut served, mut failed) = (0, 0);
    for ended in calls.into_iter().chain([thirtieth]) {
        let outcome = ended.await.unwrap();
        served += usize::from(outcome.is_served());
        failed += usize::from(outcome.is_failed());
    }
    assert_eq!((served, failed, healthy.received_calls()), (10, 20, 10));
    drop(draining);
}

/// Guards against new streams on an upstream that is listed as draining, including streams for calls that were already
/// waiting for it. Open streams finish.
#[tokio::test]
async fn draining_finishes_open_streams_and_opens_none() {
    let notify = Arc::new(Notify::new());
    let reply = Reply::OnNotify(notify.clone(), Box::new(ok_response()));
    let draining = GrpcUpstream::start_with_max_streams(Some(10), move |_| reply.clone()).await;
    let settings = settings(|settings| settings["Limits"]["TryLimit"] = 6.into());
    let balance = builder(&settings)
        .connections(1)
        .known_endpoints(in_service(&[draining.address]))
        .build()
        .unwrap();
    let calls: Vec<_> = (0..50)
        .map(|_| {
            let balance = balance.clone();
            tokio::spawn(async move { call(&balance, POST).await })
        })
        .collect();
    // Ten calls are sent; forty wait because of MAX_CONCURRENT_STREAMS.
    wait_until("ten calls are in flight", || draining.in_flight() == 10).await;
    wait_until("fifty calls are open", || balance.open_calls() == 50).await;
    let healthy = GrpcUpstream::start(|_| ok_response()).await;
    balance.update_endpoints(&listing(
        false,
        &[
            ListEntry("s-0", draining.address, "terminating", 0),
            ListEntry("other", healthy.address, "in_service", 0),
        ],
    ));
    wait_until("the other upstream has received forty calls", || {
        healthy.received_calls() == 40
    })
    .await;
    assert_eq!(
        draining.received_calls(),
        10,
        "a draining upstream receives no new call"
    );
    let mut open = draining.open_connections();
    notify.notify_waiters();
    for ended in calls {
        let outcome = ended.await.unwrap();
        assert!(outcome.is_served(), "{outcome:?}");
    }
    assert_eq!(
        (
            draining.received_calls(),
            healthy.received_calls(),
            draining.accepted_connections()
        ),
        (10, 40, 1)
    );
    // The connection closes after its last stream.
    tokio::time::timeout(TEST_TIMEOUT, open.wait_for(|open| *open == 0))
        .await
        .unwrap()
        .unwrap();
}

/// Guards against a graceful GOAWAY being treated as a failure: open streams finish, and later calls use a new
/// connection.
#[tokio::test]
async fn graceful_goaway_loses_no_request() {
    let notify = Arc::new(Notify::new());
    let wait = Reply::OnNotify(notify.clone(), Box::new(ok_response()));
    let upstream = GrpcUpstream::start(once(wait)).await;
    let balance = balance(&[upstream.address]);
    let pending = {
        let balance = balance.clone();
        tokio::spawn(async move { call(&balance, POST).await })
    };
    upstream.next_call().await;
    upstream.go_away();
    // The calls may be sent before or after the GOAWAY is received; none may be lost in either case.
    for _ in 0..20 {
        assert!(call(&balance, POST).await.is_served());
    }
    notify.notify_one();
    assert!(pending.await.unwrap().is_served());
    assert_eq!(upstream.received_calls(), 21);
}

/// Guards against a retry carrying the original timeout: each attempt carries the time left when it is sent.
#[tokio::test]
async fn each_attempt_carries_the_remaining_time() {
    let wait = Duration::from_millis(300);
    let upstream = GrpcUpstream::start(once(Reply::AfterDelay(
        wait,
        Box::new(Reply::Status(14, vec![])),
    )))
    .await;
    let balance = balance(&[upstream.address]);
    let mut request = request(LOOK);
    request
        .headers_mut()
        .insert("grpc-timeout", "20S".parse().unwrap());
    request
        .headers_mut()
        .insert("x-budget", "10.0".parse().unwrap());
    request.extensions_mut().insert(CallInfo {
        timeout: Some(Duration::from_secs(15)),
        ..Default::default()
    });
    assert!(outcome(send(&balance, request).await).await.is_served());
    let (first, second) = (upstream.next_call().await, upstream.next_call().await);
    assert!(
        (9_000..=10_000).contains(&first.time_left_ms()),
        "{}",
        first.time_left_ms()
    );
    let spent_ms = first.time_left_ms() - second.time_left_ms();
    assert!(
        (300..5_000).contains(&spent_ms),
        "{spent_ms} ms passed between the attempts"
    );
    let budget: f64 = second.headers["x-budget"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!((budget * 1e3 - second.time_left_ms() as f64).abs() < 2.0);
}

/// Guards against calls being sent whose time has already expired: they are rejected at once.
#[tokio::test]
async fn expired_requests_are_rejected_unsent() {
    let upstream = GrpcUpstream::start(|_| ok_response()).await;
    let balance = balance(&[upstream.address]);
    assert!(call(&balance, LOOK).await.is_served());
    for timeout in ["0n", "0S", "0m"] {
        let mut request = request(POST);
        request
            .headers_mut()
            .insert("grpc-timeout", timeout.parse().unwrap());
        let outcome = outcome(send(&balance, request).await).await;
        assert!(outcome.is_rejected(), "{outcome:?}");
    }
    assert_eq!(upstream.received_calls(), 1);
}

/// Guards against calls that outlive the request on whose behalf they are made.
#[tokio::test]
async fn deadline_of_a_services_caller_is_inherited() {
    let upstream = GrpcUpstream::start(|_| Reply::Stall).await;
    let balance = balance(&[upstream.address]);
    let handler = tower::service_fn(move |_: Request<()>| {
        let balance = balance.clone();
        async move { Ok::<_, std::convert::Infallible>(call(&balance, POST).await) }
    });
    let mut server = tower_layer::Layer::layer(&InheritTime, handler);
    let request = Request::post("/up.Up/Load")
        .header("grpc-timeout", "150m")
        .body(())
        .unwrap();
    let sent_at = Instant::now();
    let outcome = server.call(request).await.unwrap();
    assert!(outcome.is_failed(), "{outcome:?}");
    assert!((150..20_000).contains(&(sent_at.elapsed().as_millis() as u64)));
    assert!(upstream.next_call().await.time_left_ms() <= 150);
}

/// Guards against calls that continue after their caller has dropped them: the stream is reset, and no further attempt
/// is made.
#[tokio::test]
async fn dropped_call_resets_its_stream() {
    let upstream = GrpcUpstream::start(|_| Reply::Stall).await;
    let balance = balance(&[upstream.address]);
    let calls: Vec<_> = (0..200)
        .map(|_| {
            let balance = balance.clone();
            tokio::spawn(async move { call(&balance, LOOK).await })
        })
        .collect();
    wait_until("all calls are in flight", || upstream.in_flight() == 200).await;
    calls.iter().for_each(|call| call.abort());
    wait_until("all streams are reset", || upstream.in_flight() == 0).await;
    assert_eq!((balance.open_calls(), upstream.received_calls()), (0, 200));
}

/// Guards against a retry after a part of the response was passed on: the caller would receive the first message twice.
#[tokio::test]
async fn no_retry_after_the_first_message() {
    let upstream = GrpcUpstream::start(once(Reply::MessageThenReset(
        Bytes::from_static(b"one"),
        Reason::INTERNAL_ERROR,
    )))
    .await;
    let balance = balance(&[upstream.address]);
    let outcome = call(&balance, LOOK).await;
    assert!(
        outcome.is_broken && outcome.body == message(b"one"),
        "{outcome:?}"
    );
    assert_eq!((upstream.received_calls(), balance.open_calls()), (1, 0));
}

#[tokio::test]
async fn streamed_messages_are_forwarded_as_they_arrive() {
    let notify = Arc::new(Notify::new());
    let reply = Reply::Stream(Bytes::from_static(b"x"), 3, notify.clone());
    let upstream = GrpcUpstream::start(move |_| reply.clone()).await;
    let balance = balance(&[upstream.address]);
    let mut body = send(&balance, request(LOOK)).await.into_body();
    for _ in 0..2 {
        let frame = tokio::time::timeout(TEST_TIMEOUT, body.frame())
            .await
            .unwrap()
            .unwrap()
            .unwrap();
        assert_eq!(frame.into_data().unwrap(), message(b"x"));
        assert_eq!(balance.open_calls(), 1, "the stream is still open");
        notify.notify_one();
    }
    assert_eq!(
        body.frame().await.unwrap().unwrap().into_data().unwrap(),
        message(b"x")
    );
    let trailers = body
        .frame()
        .await
        .unwrap()
        .unwrap()
        .into_trailers()
        .unwrap();
    assert_eq!(trailers["grpc-status"], "0");
    assert!(body.frame().await.is_none());
    wait_until("no call is open", || balance.open_calls() == 0).await;
    // Dropping the response body resets the stream.
    let body = send(&balance, request(LOOK)).await;
    wait_until("the call is in flight", || upstream.in_flight() == 1).await;
    drop(body);
    wait_until("the stream is reset", || upstream.in_flight() == 0).await;
    assert_eq!(balance.open_calls(), 0);
}

/// Guards against streams that stay open beyond the caller's deadline, at the caller or at the upstream.
#[tokio::test]
async fn stream_ends_at_its_callers_deadline() {
    let upstream = GrpcUpstream::start(|_| {
        Reply::Stream(Bytes::from_static(b"x"), 2, Arc::new(Notify::new()))
    })
    .await;
    let balance = balance(&[upstream.address]);
    let mut request = request(LOOK);
    request
        .headers_mut()
        .insert("grpc-timeout", "200m".parse().unwrap());
    let outcome = outcome(send(&balance, request).await).await;
    assert!(
        outcome.is_broken && outcome.body == message(b"x"),
        "{outcome:?}"
    );
    wait_until("the stream is reset", || upstream.in_flight() == 0).await;
}

/// Guards against calls that wait forever for an upstream that sends headers and then nothing. At the deadline a safe
/// call is rejected, and an unsafe call fails because it may have run.
#[tokio::test]
async fn headers_without_trailers_time_out() {
    for (path, is_rejected) in [(LOOK, true), (POST, false)] {
        let upstream = GrpcUpstream::start(|_| Reply::HeadersOnly).await;
        let balance = balance(&[upstream.address]);
        let mut request = request(path);
        request
            .headers_mut()
            .insert("grpc-timeout", "200m".parse().unwrap());
        let outcome = outcome(send(&balance, request).await).await;
        assert_eq!(
            (outcome.is_rejected(), outcome.is_failed()),
            (is_rejected, !is_rejected),
            "{outcome:?}"
        );
    }
}

/// Guards against a retry with a truncated body: a body that exceeds the replay limit or has not been received
/// completely cannot be sent twice.
#[tokio::test]
async fn bodies_beyond_the_replay_limit_have_one_attempt() {
    let upstream = GrpcUpstream::start(|_| Reply::Status(14, vec![("x-rejected", "1")])).await;
    let balance = builder(&settings(|_| {}))
        .replay_limit(1000)
        .known_endpoints(in_service(&[upstream.address]))
        .build();
    let balance = balance.unwrap();
    let sized = |bytes: usize| request(POST).map(|_| Full::new(message(&vec![7; bytes])));
    let small = outcome(send(&balance, sized(900)).await).await;
    assert!(small.is_rejected(), "{small:?}");
    let attempts = upstream.received_calls();
    assert!(attempts > 1, "a call with a small body is retried");
    let large = outcome(send(&balance, sized(300_000)).await).await;
    assert!(large.is_rejected(), "the call never ran: {large:?}");
    assert_eq!(upstream.received_calls(), attempts + 1);
    for _ in 0..attempts {
        upstream.next_call().await;
    }
    assert_eq!(
        upstream.next_call().await.body,
        message(&vec![7; 300_000]),
        "a large body is sent completely"
    );
    // A body of two frames, the second of which arrives later.
    let frames = futures_util::stream::unfold(0, |number| async move {
        if number == 1 {
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        let frame = http_body::Frame::data(message(b"part"));
        (number < 2).then_some((Ok::<_, std::convert::Infallible>(frame), number + 1))
    });
    let streamed = request(POST).map(|_| StreamBody::new(Box::pin(frames)));
    assert!(outcome(send(&balance, streamed).await).await.is_rejected());
    assert_eq!(upstream.received_calls(), attempts + 2);
    assert_eq!(
        upstream.next_call().await.body,
        [message(b"part"), message(b"part")].concat()
    );
}

/// Guards against leaked connections and late attempts when the caller's runtime is blocked for a while, clones are
/// dropped in any order, and the last clone is dropped while calls are open.
#[tokio::test]
async fn stalled_runtime_and_dropped_clones_leak_nothing() {
    let upstream = GrpcUpstream::start(|_| {
        Reply::AfterDelay(Duration::from_millis(50), Box::new(ok_response()))
    })
    .await;
    let balance = balance(&[upstream.address]);
    let calls: Vec<_> = (0..20)
        .map(|_| Box::pin(balance.clone().call(request(POST))))
        .collect();
    let mut calls: Vec<_> = calls.into_iter().map(|call| tokio::spawn(call)).collect();
    wait_until("calls are in flight", || upstream.in_flight() > 0).await;
    std::thread::sleep(Duration::from_millis(200)); // blocks the whole runtime, including the upstream
    for call in calls.drain(..10) {
        let outcome = outcome(call.await.unwrap().unwrap()).await;
        assert_eq!(outcome.grpc_status, Some(0));
    }
    drop(calls);
    let mut open = upstream.open_connections();
    // The last clone is dropped while calls are open, and after it the futures of calls that were never polled.
    let unpolled_calls: Vec<_> = (0..5)
        .map(|_| balance.clone().call(request(POST)))
        .collect();
    drop(balance);
    drop(unpolled_calls);
    let calls_before_close = upstream.received_calls();
    tokio::time::timeout(TEST_TIMEOUT, open.wait_for(|open| *open == 0))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(upstream.received_calls(), calls_before_close);
}

/// Guards against calls being sent on a connection to a former process after a new one has started at its address.
#[tokio::test]
async fn restarted_upstream_gets_a_new_connection() {
    let upstream = GrpcUpstream::start(|_| ok_response()).await;
    let balance = balance(&[upstream.address]);
    assert!(call(&balance, POST).await.is_served());
    assert_eq!(upstream.next_call().await.connection, 0);
    balance.update_endpoints(&listing(
        false,
        &[ListEntry(
            "s-0",
            upstream.address,
            "in_service",
            1_700_000_000_000,
        )],
    ));
    assert!(call(&balance, POST).await.is_served());
    assert_eq!(upstream.next_call().await.connection, 1);
}

/// Guards against failures of calls that never reached an upstream: such calls are rejected, with advice on when to
/// retry.
#[tokio::test]
async fn unreachable_upstream_means_rejection_with_pushback() {
    let settings = settings(|settings| settings["Limits"]["RetryAfter"] = true.into());
    let refused = woadstall_mock_servers::http1::refused_address();
    let balance = builder(&settings)
        .known_endpoints(in_service(&[refused]))
        .build()
        .unwrap();
    let outcome = call(&balance, POST).await;
    assert!(
        outcome.is_rejected() && outcome.pushback_ms.is_some_and(|ms| ms > 0),
        "{outcome:?}"
    );
    let http_request = Request::post("/post")
        .body(Full::new(Bytes::new()))
        .unwrap();
    let response = send(&balance, http_request).await;
    assert_eq!(response.status(), 503);
    assert!(
        response.headers()["retry-after"]
            .to_str()
            .unwrap()
            .parse::<f64>()
            .unwrap()
            > 0.0
    );
}

/// Guards against HTTP/1.1 upstreams being retried by other rules than HTTP/2 upstreams.
#[tokio::test]
async fn http1_upstreams_are_retried_by_the_same_rules() {
    use woadstall_mock_servers::http1::{Reaction, Upstream, ok_response, overloaded_response};
    let count = AtomicUsize::new(0);
    let upstream = Upstream::start(move |_| match count.fetch_add(1, Ordering::Relaxed) {
        0 => Reaction::Respond(overloaded_response()),
        1 => Reaction::Stall,
        _ => Reaction::Respond(ok_response("second")),
    });
    let builder = builder(&settings(|_| {}))
        .protocol(Protocol::Http1)
        .replay_limit(1000);
    let balance = builder
        .known_endpoints(in_service(&[upstream.address]))
        .build()
        .unwrap();
    let post = |size: usize, budget: &str| {
        let request = Request::post("/post/1?x=2").header("x-budget", budget);
        request
            .body(Full::new(Bytes::from(vec![b'b'; size])))
            .unwrap()
    };
    // The first attempt is rejected and retried; the second receives no response, so the call may have run and fails.
    let response = send(&balance, post(4, "0.2")).await;
    assert_eq!(
        (response.status().as_u16(), upstream.count_requests()),
        (502, 2)
    );
    let response = send(&balance, post(4, "60")).await;
    assert_eq!(response.status(), 200);
    assert_eq!(
        response.into_body().collect().await.unwrap().to_bytes(),
        "second"
    );
    let request = upstream.request();
    assert_eq!(
        (request.start_line.as_str(), request.body.as_slice()),
        ("POST /post/1?x=2 HTTP/1.1", &b"bbbb"[..])
    );
    assert_eq!(send(&balance, post(1001, "60")).await.status(), 413);
    assert_eq!(upstream.count_requests(), 0);
}
