//! Tests of the memory that bodies of requests and responses take in a front: it stays within the front's limit, and
//! requests are not refused for memory that nothing needs any more.

#[path = "front_memory/fixture.rs"]
mod fixture;
#[path = "common/program.rs"]
mod program;
#[path = "common/soak_options.rs"]
mod soak_options;

use fastrand::Rng;
use fixture::{FIRST_EVENT, Fixture, MEMORY_LIMIT_KIB, RESUMABLE_BYTES, Stream};
use rstest::rstest;
use soak_options::{env_variable, seeds};
use std::ops::Range;
use woadstall_mock_servers::http1::Caller;
use woadstall_mock_servers::system::chunk;

/// Size of a large request body: the largest that the configuration allows.
const LARGE_BODY_BYTES: usize = 4 << 20;
/// Number of streams whose request bodies together exceed the memory limit.
const STREAMS: usize = 75;
/// Size of a large response body that is received whole before it is forwarded.
const LARGE_RESPONSE_BYTES: usize = 7 << 20;
/// Number of responses that together exceed the memory limit.
const RESPONSES: usize = 45;

fn assert_within_limit(fixture: &Fixture) {
    let peak = fixture.peak_memory_kib();
    assert!(
        peak < MEMORY_LIMIT_KIB,
        "{peak} KiB of {MEMORY_LIMIT_KIB} KiB"
    );
}

fn assert_response(caller: &mut Caller, bytes: usize) {
    let response = caller.read_whole_response().expect("a complete response");
    assert_eq!((response.status(), response.body.len()), (200, bytes));
}

/// Guards against the failure of `review/5`: the bodies of running streams were in no limit, and a burst of long prompts
/// took the front over its memory limit.
#[rstest]
#[case::not_resumable("stream")]
#[case::resumable("resumable")]
fn bodies_of_running_streams_stay_within_the_memory_limit(#[case] route: &str) {
    let fixture = Fixture::start();
    let streams: Vec<Stream> = (0..STREAMS)
        .map(|_| fixture.begin_stream(route, LARGE_BODY_BYTES))
        .collect();
    streams.into_iter().for_each(Stream::complete);
    assert_within_limit(&fixture);
}

/// Guards against a stream that is resumed with another body, and against memory that stays reserved after a stream.
#[test]
fn streams_are_resumable_as_far_as_their_bodies_fit_into_memory() {
    let fixture = Fixture::start();
    for _ in 0..2 {
        let mut streams: Vec<Stream> = (0..=RESUMABLE_BYTES / LARGE_BODY_BYTES)
            .map(|_| fixture.begin_stream("resumable", LARGE_BODY_BYTES))
            .collect();
        fixture
            .system
            .front_process(0)
            .wait_for("stream_not_resumable route=resumable reason=body_memory");
        streams
            .pop()
            .expect("the stream beyond the limit")
            .break_off();
        for mut stream in streams {
            let request = fixture.break_and_resume(&mut stream);
            assert_eq!(request.last_event_id.as_deref(), Some("1"));
            assert_eq!(request.body_bytes, LARGE_BODY_BYTES);
            stream.complete();
        }
    }
}

/// Guards against an event without an end, which was buffered without limit.
#[test]
fn an_event_that_is_too_large_to_be_buffered_is_forwarded_as_it_arrives() {
    let fixture = Fixture::start();
    let stream = fixture.begin_stream("resumable", LARGE_BODY_BYTES);
    let data = "d".repeat(64 << 10);
    for _ in 0..32 {
        stream.parts.send(chunk(&data)).unwrap();
    }
    fixture
        .system
        .front_process(0)
        .wait_for("stream_not_resumable route=resumable reason=event_size");
    assert_eq!(
        stream.read_to_end().len(),
        FIRST_EVENT.len() + 32 * data.len()
    );
}

/// Guards against responses that were received whole without a limit on their sum.
#[test]
fn responses_to_clients_that_do_not_read_stay_within_the_memory_limit() {
    let fixture = Fixture::start();
    let mut callers: Vec<Caller> = (0..RESPONSES)
        .map(|_| fixture.request_response(LARGE_RESPONSE_BYTES))
        .collect();
    for caller in &mut callers {
        assert_response(caller, LARGE_RESPONSE_BYTES);
    }
    assert_within_limit(&fixture);
}

/// Guards against a failure of requests whose response is larger than what a front buffers.
#[test]
fn a_response_larger_than_the_buffer_is_forwarded_as_it_arrives() {
    const BYTES: usize = 9 << 20;
    let fixture = Fixture::start();
    assert_response(&mut fixture.request_response(BYTES), BYTES);
}

/// Seeds of the soak if `WOADSTALL_SOAK_SEEDS` is not set.
const SOAK_SEEDS: Range<u64> = 0..2;
/// Number of steps of the soak if `WOADSTALL_SOAK_STEPS` is not set.
const SOAK_STEPS: usize = 300;
/// Sizes of request bodies in the soak, in bytes.
const BODY_SIZES: [usize; 5] = [2, 1_000, 200_000, 1 << 20, LARGE_BODY_BYTES];
/// Sizes of responses in the soak, in bytes.
const RESPONSE_SIZES: [usize; 5] = [2, 100_000, 1 << 20, LARGE_RESPONSE_BYTES, 9 << 20];
/// Most streams, and most unread responses, that are open in the soak at the same time.
const MAX_OPEN: usize = 80;

/// A stream of the soak.
struct OpenStream {
    stream: Stream,
    body_bytes: usize,
    /// Whether the front keeps what it needs to resume the stream.
    is_kept: bool,
    is_resumed: bool,
}

/// A seeded sequence of requests, whose effect on the front's memory for resumable streams is computed along.
struct Soak {
    fixture: Fixture,
    random: Rng,
    streams: Vec<OpenStream>,
    responses: Vec<(Caller, usize)>,
    /// Size of the request bodies that the front keeps for resumptions.
    kept_bytes: usize,
}

impl Soak {
    fn new(seed: u64) -> Self {
        Self {
            fixture: Fixture::start(),
            random: Rng::with_seed(seed),
            streams: Vec::new(),
            responses: Vec::new(),
            kept_bytes: 0,
        }
    }

    fn step(&mut self) {
        match self.random.u8(..10) {
            0..=3 if self.streams.len() < MAX_OPEN => self.begin_stream(),
            4..=5 if self.responses.len() < MAX_OPEN => {
                let bytes = RESPONSE_SIZES[self.random.usize(..RESPONSE_SIZES.len())];
                let caller = self.fixture.request_response(bytes);
                self.responses.push((caller, bytes));
            }
            6 if !self.responses.is_empty() => {
                let position = self.random.usize(..self.responses.len());
                let (mut caller, bytes) = self.responses.swap_remove(position);
                assert_response(&mut caller, bytes);
            }
            7 if !self.streams.is_empty() => {
                let position = self.random.usize(..self.streams.len());
                self.break_stream(position);
            }
            _ if !self.streams.is_empty() => {
                let position = self.random.usize(..self.streams.len());
                self.complete(position);
            }
            _ => {}
        }
    }

    /// Begins a stream. It must not be refused, as no other body is being received.
    fn begin_stream(&mut self) {
        let body_bytes = BODY_SIZES[self.random.usize(..BODY_SIZES.len())];
        let is_resumable = self.random.bool();
        let route = if is_resumable { "resumable" } else { "stream" };
        let stream = self.fixture.begin_stream(route, body_bytes);
        let is_kept = is_resumable && self.kept_bytes + body_bytes <= RESUMABLE_BYTES;
        if is_kept {
            self.kept_bytes += body_bytes;
        }
        self.streams.push(OpenStream {
            stream,
            body_bytes,
            is_kept,
            is_resumed: false,
        });
    }

    fn complete(&mut self, position: usize) {
        let open = self.streams.swap_remove(position);
        open.stream.complete();
        self.release(open.is_kept, open.body_bytes);
    }

    /// Breaks a stream off at its upstream. A kept stream goes on at another upstream once.
    fn break_stream(&mut self, position: usize) {
        let open = &mut self.streams[position];
        if open.is_kept && !open.is_resumed {
            let request = self.fixture.break_and_resume(&mut open.stream);
            assert_eq!(request.body_bytes, open.body_bytes);
            open.is_resumed = true;
        } else if !open.is_kept {
            self.streams.swap_remove(position).stream.break_off();
        }
    }

    fn release(&mut self, is_kept: bool, body_bytes: usize) {
        if is_kept {
            self.kept_bytes -= body_bytes;
        }
    }

    fn complete_all(&mut self) {
        while !self.streams.is_empty() {
            self.complete(0);
        }
        for (mut caller, bytes) in self.responses.drain(..) {
            assert_response(&mut caller, bytes);
        }
    }
}

/// Soak test with drawn sizes, routes, slow readers and broken streams. Guards against memory that is counted too long or
/// not long enough: each request is served, each kept stream is resumed, and the front stays within its limit.
#[test]
fn any_sequence_of_bodies_is_served_within_the_memory_limit() {
    let steps = env_variable("WOADSTALL_SOAK_STEPS").unwrap_or(SOAK_STEPS);
    for seed in seeds(SOAK_SEEDS) {
        println!("seed {seed}");
        let mut soak = Soak::new(seed);
        for _ in 0..steps {
            soak.step();
        }
        soak.complete_all();
        assert_within_limit(&soak.fixture);
        println!("peak {} KiB", soak.fixture.peak_memory_kib());
    }
}
