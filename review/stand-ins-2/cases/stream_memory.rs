//! Fault: bodies of requests whose stream has begun stay in the memory of a front, and no limit counts them.

use super::{client_headers, deploy};
use crate::deployment::{Deployment, MEMORY_MB, ZONES, configuration, route, service};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::upstream::{Behaviour, Registration, Upstream, event, stream_head};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const FRONTS: usize = 2;
/// Clients of a front that stream at the same time.
const USUAL_CLIENTS: u64 = 30;
/// Factor of a burst.
const BURST: f64 = 2.5;
/// Size of a request's body: `max_body_bytes`.
const BODY_BYTES: usize = 4_194_304;
const ROUNDS: usize = 3;
/// Pause between two clients of a front that begin.
const PAUSE: Duration = Duration::from_millis(40);
/// Events of a stream, and the pause between two.
const EVENTS: u64 = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Outcomes {
    whole: AtomicU64,
    refused: AtomicU64,
    cut: AtomicU64,
}

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let routes = [route(
        "r-drafts",
        "/drafts/",
        "streaming",
        "drafts",
        r#","max_attempts":1,"resumable":false,"gap_aim_ms":800"#,
    )];
    let mut deployment = deploy(
        FRONTS,
        &configuration(1, &routes, &[service("drafts", "0.0")]),
    )?;
    for number in 0..2 * FRONTS {
        let id = format!("i-{number}");
        let upstream = Upstream::start(&deployment.upstream_ip(number), &id, behaviour())?;
        let registration = Registration {
            id,
            address: upstream.address.clone(),
            service: "drafts".to_owned(),
            zone: ZONES[number % FRONTS].to_owned(),
            capacity: 64,
        };
        registration.keep(deployment.controls(), || true)?;
    }
    thread::sleep(Duration::from_secs(1));
    let clients = if trouble {
        (USUAL_CLIENTS as f64 * BURST) as u64
    } else {
        USUAL_CLIENTS
    };
    let mut ends = [0_usize; FRONTS];
    for round in 0..ROUNDS {
        let outcomes = Arc::new(Outcomes::default());
        let is_over = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for number in 0..FRONTS {
            let front = deployment.front(number);
            record.line(format!("round {round}: {clients} clients begin to stream through front {front}, bodies of {BODY_BYTES} bytes"));
            for client in 0..clients {
                let (front, outcomes, is_over) = (front.clone(), outcomes.clone(), is_over.clone());
                let id = format!("q{round}-{number}-{client}");
                threads.push(thread::spawn(move || {
                    stream(&front, &id, PAUSE * client as u32, &outcomes, &is_over)
                }));
            }
        }
        let most = watch_memory(&mut deployment, &mut ends, &record, &is_over)?;
        for thread in threads {
            thread.join().ok();
        }
        record.line(format!(
            "round {round}: whole streams {}, refused {}, cut or not begun {}; most memory of the fronts, MB: {most:?}",
            outcomes.whole.load(Ordering::SeqCst),
            outcomes.refused.load(Ordering::SeqCst),
            outcomes.cut.load(Ordering::SeqCst),
        ));
        deployment.wait_until_ready()?;
        thread::sleep(Duration::from_secs(2));
    }
    let broken = ends.iter().all(|ends| *ends >= 3);
    record.line(format!(
        "processes over memory_mb ({MEMORY_MB}), by front: {ends:?}; two of {} machines three times each: Fault is {}",
        FRONTS + 3,
        if broken { "broken" } else { "kept" }
    ));
    Ok(broken)
}

/// The platform: ends a process over its memory limit and starts it again. Returns the most memory of each front.
fn watch_memory(
    deployment: &mut Deployment,
    ends: &mut [usize; FRONTS],
    record: &Record,
    is_over: &AtomicBool,
) -> Result<[u64; FRONTS], String> {
    let mut most = [0; FRONTS];
    let mut was_ended = [false; FRONTS];
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(11) {
        for number in 0..FRONTS {
            let memory = memory_mb(deployment.fronts[number].id());
            most[number] = most[number].max(memory);
            if memory > MEMORY_MB {
                let name = deployment.fronts[number].name.clone();
                record.line(format!("{name} has {memory} MB, over its {MEMORY_MB}: the platform ends the process and starts it again"));
                deployment.fronts[number].kill();
                ends[number] += 1;
                was_ended[number] = true;
                thread::sleep(Duration::from_millis(100));
                deployment.start_front(number, false)?;
            }
        }
        if was_ended.iter().all(|ended| *ended) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::SeqCst);
    Ok(most)
}

/// Resident memory of a process in MB.
fn memory_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_024
}

/// A client: sends its request after a pause and reads the stream.
fn stream(front: &str, id: &str, pause: Duration, outcomes: &Outcomes, is_over: &AtomicBool) {
    thread::sleep(pause);
    if is_over.load(Ordering::SeqCst) {
        return;
    }
    let body = vec![b'x'; BODY_BYTES];
    let stream = || -> std::io::Result<u16> {
        let mut connection = Connection::open(front, Duration::from_secs(9))?;
        connection.request("POST", "/drafts/1", &client_headers(id, 8_000), &body)?;
        Ok(connection.read_message()?.status())
    };
    let count = match stream() {
        Ok(200) => &outcomes.whole,
        Ok(_) => &outcomes.refused,
        Err(_) => &outcomes.cut,
    };
    count.fetch_add(1, Ordering::SeqCst);
}

/// An upstream that reads the request and streams 30 events in 6 s.
fn behaviour() -> Behaviour {
    Arc::new(|head: &Message, connection: &mut Connection| {
        connection.read_body(head)?;
        connection.send(&stream_head(head))?;
        for number in 1..=EVENTS {
            connection.send(&event(number))?;
            thread::sleep(EVENT_PAUSE);
        }
        connection.send(b"0\r\n\r\n")
    })
}
