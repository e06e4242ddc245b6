//! Tests of the connection state in virtual time: a connection that owes a response is neither idle nor overdue.

use super::{ConnectionState, RequestStage};
use rstest::rstest;
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::time::advance;

const TIMEOUT: Duration = Duration::from_secs(3);
const LONG_AFTER_TIMEOUT: Duration = Duration::from_secs(60);
const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
const CHUNKED_REQUEST: &[u8] =
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
/// Number of seeds of the test with random schedules.
const SEEDS: u64 = 200;
/// Number of requests of a random schedule.
const REQUESTS: usize = 8;

/// Receives bytes from the client.
fn receive(state: &mut ConnectionState, bytes: &[u8]) {
    state.buffered.extend_from_slice(bytes);
    state.on_read(bytes.len());
}

/// Passes all bytes to hyper that may be passed, and returns their number.
fn pass_all(state: &mut ConnectionState) -> usize {
    let mut total = 0;
    loop {
        let bytes = state.passable_bytes();
        if bytes == 0 {
            return total;
        }
        let mut buffer = vec![0; bytes];
        state.pass(&mut ReadBuf::new(&mut buffer), bytes);
        total += bytes;
    }
}

/// Receives a complete request and begins to handle it.
fn begin_request(state: &mut ConnectionState, request: &[u8]) {
    receive(state, request);
    assert_eq!(pass_all(state), request.len());
    state.request_started();
    state.request_completed();
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_request_that_awaits_its_response_is_neither_idle_nor_overdue(
    #[values(REQUEST, CHUNKED_REQUEST)] request: &[u8],
) {
    let mut state = ConnectionState::new();
    begin_request(&mut state, request);
    advance(LONG_AFTER_TIMEOUT).await;
    assert!(!state.is_idle());
    assert!(!state.is_overdue(TIMEOUT));
    assert_eq!(state.stage(), RequestStage::AwaitingResponse);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_response_under_way_is_neither_idle_nor_overdue(
    #[values(REQUEST, CHUNKED_REQUEST)] request: &[u8],
    #[values(
        "",
        "\r\n",
        "POST / HT",
        "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
    )]
    bytes: &str,
) {
    let mut state = ConnectionState::new();
    begin_request(&mut state, request);
    state.response_started(None);
    receive(&mut state, bytes.as_bytes());
    assert_eq!(
        pass_all(&mut state),
        0,
        "the next request waits for the end of the response"
    );
    advance(LONG_AFTER_TIMEOUT).await;
    assert!(!state.is_idle());
    assert!(!state.is_overdue(TIMEOUT));
    assert_eq!(state.stage(), RequestStage::SendingResponse);
}

#[tokio::test(start_paused = true)]
async fn a_response_that_the_socket_has_not_accepted_is_not_idle() {
    let mut state = ConnectionState::new();
    begin_request(&mut state, REQUEST);
    state.response_started(None);
    state.on_write(None);
    state.response_completed();
    assert!(!state.is_idle());
    assert_eq!(state.stage(), RequestStage::SendingResponse);
    state.on_write(Some(1));
    assert!(state.is_idle());
}

#[tokio::test(start_paused = true)]
async fn the_time_limit_of_a_request_runs_from_the_end_of_the_response_before_it() {
    let mut state = ConnectionState::new();
    begin_request(&mut state, REQUEST);
    state.response_started(None);
    receive(&mut state, b"POST / HT");
    advance(LONG_AFTER_TIMEOUT).await;
    state.response_completed();
    assert_eq!(pass_all(&mut state), 0);
    advance(TIMEOUT).await;
    assert!(!state.is_overdue(TIMEOUT));
    advance(Duration::from_millis(1)).await;
    assert!(state.is_overdue(TIMEOUT));
    assert_eq!(state.stage(), RequestStage::ReceivingHead);
}

#[tokio::test(start_paused = true)]
async fn a_body_that_stalls_is_overdue() {
    let mut state = ConnectionState::new();
    let (beginning, _) = CHUNKED_REQUEST.split_at(CHUNKED_REQUEST.len() - 1);
    receive(&mut state, beginning);
    pass_all(&mut state);
    state.request_started();
    advance(TIMEOUT).await;
    assert!(!state.is_overdue(TIMEOUT));
    advance(Duration::from_millis(1)).await;
    assert!(state.is_overdue(TIMEOUT));
    assert_eq!(state.stage(), RequestStage::ReceivingBody);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn empty_lines_between_requests_are_no_request(
    #[values("\r", "\r\n", "\n\r\n")] lines: &str,
) {
    let mut state = ConnectionState::new();
    begin_request(&mut state, REQUEST);
    state.response_started(None);
    receive(&mut state, lines.as_bytes());
    assert!(!state.has_pipelined_bytes());
    state.response_completed();
    let idle_since = state.idle();
    advance(LONG_AFTER_TIMEOUT).await;
    receive(&mut state, lines.as_bytes());
    assert!(!state.is_overdue(TIMEOUT));
    assert_eq!(
        state.idle(),
        idle_since,
        "an empty line does not extend the idle time"
    );
    let received_at = tokio::time::Instant::now();
    begin_request(&mut state, REQUEST);
    assert_eq!(state.request_completed(), received_at);
}

/// A client that pipelines requests in pieces, and a server that handles them one after the other.
struct Schedule {
    random: fastrand::Rng,
    state: ConnectionState,
    /// The bytes that the client has not sent.
    unsent: Vec<u8>,
    /// Number of requests that hyper has not received completely.
    open_requests: usize,
    /// Number of bytes of the current request that hyper has received.
    passed: usize,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            state: ConnectionState::new(),
            unsent: [REQUEST, b"\r\n"].concat().repeat(REQUESTS),
            open_requests: REQUESTS,
            passed: 0,
        }
    }

    async fn pause(&mut self) {
        advance(Duration::from_millis(self.random.u64(0..8_000))).await;
    }

    fn send_some(&mut self) {
        let bytes = self.random.usize(0..=self.unsent.len().min(60));
        let sent: Vec<u8> = self.unsent.drain(..bytes).collect();
        if !sent.is_empty() {
            receive(&mut self.state, &sent);
        }
    }

    /// Receives the current request completely.
    fn receive_request(&mut self) {
        while self.passed < REQUEST.len() {
            self.send_some();
            self.passed += pass_all(&mut self.state);
        }
        assert_eq!(
            self.passed,
            REQUEST.len(),
            "hyper gets one request at a time"
        );
        self.open_requests -= 1;
        self.passed = 0;
        self.state.request_started();
        self.state.request_completed();
    }

    /// Lets the client send more while the response is due or under way.
    async fn assert_owes_response(&mut self) {
        for _ in 0..self.random.usize(0..4) {
            self.pause().await;
            self.send_some();
            assert_eq!(pass_all(&mut self.state), 0);
            assert!(!self.state.is_idle());
            assert!(self.state.idle().is_none());
            assert!(!self.state.is_overdue(TIMEOUT));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn no_schedule_of_pipelined_requests_makes_an_owed_response_idle_or_overdue() {
    for seed in 0..SEEDS {
        let mut schedule = Schedule::new(seed);
        while schedule.open_requests > 0 {
            schedule.receive_request();
            schedule.assert_owes_response().await;
            schedule.state.response_started(None);
            schedule.assert_owes_response().await;
            schedule.state.response_completed();
        }
        assert!(schedule.state.is_idle(), "seed {seed}");
    }
}
