//! Upstreams that stream events at times that the request determines.

use super::history::Arrival;
use super::run::Run;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::{Message, Reaction, ResponseParts, TEST_TIMEOUT, Upstream};
use woadstall_mock_servers::system::{LAST_CHUNK, chunk, stream_head};

/// Request header with the [`StreamPlan`].
const PLAN_HEADER: &str = "x-plan";

/// The stream that a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct StreamPlan {
    pub events: u32,
    /// Time of the response's head after the request, in milliseconds.
    pub head_ms: u64,
    /// Time of the first event after the head, and between events, in milliseconds.
    pub gap_ms: u64,
}

impl StreamPlan {
    /// Draws a plan: most streams are short, and some are silent or last for longer than all time-outs of the front.
    pub fn draw(random: &mut fastrand::Rng) -> Self {
        let head_ms = match random.u8(0..10) {
            0 => random.u64(3_000..4_500),
            1..4 => random.u64(100..2_000),
            _ => random.u64(0..100),
        };
        let gap_ms = match random.u8(0..10) {
            0 => random.u64(200..800),
            _ => random.u64(0..100),
        };
        Self {
            events: random.u32(1..8),
            head_ms,
            gap_ms,
        }
    }

    /// The request header that describes the plan.
    pub fn header(&self) -> String {
        format!(
            "{PLAN_HEADER}: {} {} {}\r\n",
            self.events, self.head_ms, self.gap_ms
        )
    }

    fn of(request: &Message) -> Self {
        let text = request.headers.get(PLAN_HEADER).expect("a plan");
        let numbers: Vec<u64> = text
            .split(' ')
            .map(|number| number.parse().expect("a number"))
            .collect();
        Self {
            events: u32::try_from(numbers[0]).expect("a small number"),
            head_ms: numbers[1],
            gap_ms: numbers[2],
        }
    }
}

/// A part of a response that is due at a time.
struct Part {
    due: Instant,
    /// Position among all parts, which orders parts that are due at the same time.
    number: u64,
    text: String,
    response: Sender<String>,
}

/// Sends the parts of all responses when they are due, until all upstreams have ended.
fn send_due_parts(parts: &Receiver<Part>) {
    let mut by_due = BinaryHeap::new();
    let mut waiting = std::collections::HashMap::new();
    loop {
        let next_due = by_due.peek().map(|Reverse((due, _))| *due);
        let timeout = next_due.map_or(TEST_TIMEOUT, |due: Instant| {
            due.saturating_duration_since(Instant::now())
        });
        match parts.recv_timeout(timeout) {
            Ok(part) => {
                by_due.push(Reverse((part.due, part.number)));
                waiting.insert(part.number, part);
            }
            Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {}
        }
        while let Some(Reverse((due, number))) = by_due.peek().copied() {
            if due > Instant::now() {
                break;
            }
            by_due.pop();
            if let Some(part) = waiting.remove(&number) {
                part.response.send(part.text).ok();
            }
        }
    }
}

/// Plans the responses of one upstream.
struct Responder {
    run: Arc<Run>,
    parts: Sender<Part>,
    next_number: u64,
}

impl Responder {
    fn respond(&mut self, request: &Message) -> Reaction {
        let plan = StreamPlan::of(request);
        let id = request.headers.get("request-id").cloned();
        let id = id.unwrap_or_default();
        let resumed_after = request.headers.get("last-event-id");
        let resumed_after = resumed_after.and_then(|number| number.parse().ok());
        let (response, response_parts) = ResponseParts::new();
        let mut offset = Duration::from_millis(plan.head_ms);
        let began = Instant::now();
        let arrived = self.run.now();
        self.schedule(began + offset, stream_head(request), &response);
        for number in resumed_after.unwrap_or(0) + 1..=plan.events {
            offset += Duration::from_millis(plan.gap_ms);
            let event = chunk(&format!("id: {number}\ndata: {id}\n\n"));
            self.schedule(began + offset, event, &response);
        }
        self.schedule(began + offset, LAST_CHUNK.to_owned(), &response);
        let arrival = Arrival {
            resumed_after,
            done: arrived + offset,
        };
        self.run.record_arrival(&id, arrival);
        Reaction::RespondInParts(response_parts)
    }

    fn schedule(&mut self, due: Instant, text: String, response: &Sender<String>) {
        let number = self.next_number;
        self.next_number += 1;
        let part = Part {
            due,
            number,
            text,
            response: response.clone(),
        };
        self.parts.send(part).expect("the sending thread runs");
    }
}

/// Starts an upstream.
pub fn start(run: &Arc<Run>) -> Upstream {
    let (parts, due_parts) = channel();
    thread::spawn(move || send_due_parts(&due_parts));
    let responder = Mutex::new(Responder {
        run: run.clone(),
        parts,
        next_number: 0,
    });
    Upstream::start(move |request| {
        let mut responder = responder
            .lock()
            .expect("no thread panics while it holds the mutex");
        responder.respond(request)
    })
}
