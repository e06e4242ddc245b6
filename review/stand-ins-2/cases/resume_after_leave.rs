//! GONE: a client leaves while the front resumes its broken stream at another upstream.

use super::{client_headers, deploy};
use crate::deployment::{ZONES, configuration, route, service};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::upstream::{Behaviour, Registration, Upstream, event, stream_head};
use std::io::{ErrorKind, Read};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upstreams of the service. One of six is less than the share of 0.17 that may crash.
const UPSTREAMS: usize = 6;
const CLIENTS: usize = 48;
/// Time from a request to its first event: prompts are read before.
const FIRST_EVENT: Duration = Duration::from_millis(2_000);
const EVENT_PAUSE: Duration = Duration::from_millis(250);
const EVENTS: u64 = 16;
/// Time after which an upstream may not work any more for a client that has left.
const ALLOWED: Duration = Duration::from_millis(500);

/// A run of a request at an upstream.
#[derive(Clone)]
struct Run {
    request: String,
    upstream: String,
    began: Instant,
    ended: Option<Instant>,
    how: &'static str,
}

type Runs = Arc<Mutex<Vec<Run>>>;

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::create(folder)?);
    let more = r#","max_attempts":2,"resumable":true,"gap_aim_ms":800"#;
    let routes = [route("r-drafts", "/drafts/", "streaming", "drafts", more)];
    let deployment = deploy(1, &configuration(1, &routes, &[service("drafts", "0.0")]))?;
    let runs = Runs::default();
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let id = format!("i-{number}");
        let slot: Arc<Mutex<Option<Upstream>>> = Arc::default();
        let behaviour = behaviour(&id, runs.clone(), slot.clone());
        let upstream = Upstream::start(&deployment.upstream_ip(number), &id, behaviour)?;
        *slot.lock().map_err(|error| error.to_string())? = Some(upstream.clone());
        let registration = Registration {
            id,
            address: upstream.address.clone(),
            service: "drafts".to_owned(),
            zone: ZONES[0].to_owned(),
            capacity: 64,
        };
        let watched = upstream.clone();
        registration.keep(deployment.controls(), move || !watched.is_down())?;
        upstreams.push(upstream);
    }
    thread::sleep(Duration::from_secs(1));
    let front = deployment
        .resolve(0)?
        .first()
        .cloned()
        .ok_or("the directory names no front")?;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let id = format!("q{number}");
        let mut connection =
            Connection::open(&front, Duration::from_secs(5)).map_err(|error| error.to_string())?;
        connection
            .request(
                "POST",
                "/drafts/1",
                &client_headers(&id, 8_000),
                b"a draft, please",
            )
            .map_err(|error| error.to_string())?;
        record.line(format!("{id} sent to front {front}"));
        clients.push((id, connection));
    }
    // All streams are under way.
    thread::sleep(FIRST_EVENT + Duration::from_millis(700));
    let crashed = "i-0".to_owned();
    if trouble {
        upstreams[0].crash();
        record.line("upstream i-0 crashes");
    }
    // The clients of the crashed upstream wait a little for the next piece, and leave; without the crash the same ones do.
    thread::sleep(Duration::from_millis(400));
    let served_by_crashed: Vec<String> = {
        let runs = runs.lock().map_err(|error| error.to_string())?;
        let there = runs.iter().filter(|run| run.upstream == crashed);
        there.map(|run| run.request.clone()).collect()
    };
    let mut left = Vec::new();
    clients.retain(|(id, connection)| {
        let leaves = served_by_crashed.contains(id);
        if leaves {
            connection.stream.shutdown(std::net::Shutdown::Both).ok();
            left.push((id.clone(), Instant::now()));
            record.line(format!("the client of {id} closes its connection"));
        }
        !leaves
    });
    for (id, mut connection) in clients {
        let whole = connection
            .read_message()
            .is_ok_and(|answer| answer.status() == 200);
        record.line(format!(
            "{id}: {}",
            if whole {
                "a whole stream"
            } else {
                "no whole stream"
            }
        ));
    }
    thread::sleep(Duration::from_secs(3));
    let runs = runs.lock().map_err(|error| error.to_string())?.clone();
    let mut would_last = 0;
    let mut worked_on = 0;
    for (id, at) in &left {
        let later: Vec<&Run> = runs
            .iter()
            .filter(|run| run.request == *id && run.upstream != crashed)
            .collect();
        let last = runs.iter().rfind(|run| run.request == *id);
        let Some(last) = last else { continue };
        would_last += 1;
        let ended = last.ended.unwrap_or_else(Instant::now);
        let after = ended.saturating_duration_since(*at);
        if after > ALLOWED {
            worked_on += 1;
        }
        record.line(format!(
            "{id}: last run at {} began {:.2} s before the client left and ended {:.2} s after ({}); runs after the crash: {}",
            last.upstream,
            at.saturating_duration_since(last.began).as_secs_f64(),
            after.as_secs_f64(),
            last.how,
            later.len()
        ));
    }
    if would_last == 0 {
        return Err("no client left".to_owned());
    }
    let broken = worked_on * 4 > would_last;
    record.line(format!(
        "of {would_last} streams whose clients left, upstreams still worked on {worked_on} half a second later: GONE is {}",
        if broken { "broken" } else { "kept" }
    ));
    Ok(broken)
}

/// An upstream that works on a stream until its end, or until its connection closes.
fn behaviour(id: &str, runs: Runs, own: Arc<Mutex<Option<Upstream>>>) -> Behaviour {
    let id = id.to_owned();
    Arc::new(move |head: &Message, connection: &mut Connection| {
        connection.read_body(head)?;
        let is_down = || {
            let own = own.lock().ok();
            own.is_some_and(|own| own.as_ref().is_some_and(Upstream::is_down))
        };
        let request = head.header("request-id").unwrap_or("").to_owned();
        let begun = Instant::now();
        let position = {
            let Ok(mut runs) = runs.lock() else {
                return Ok(());
            };
            runs.push(Run {
                request,
                upstream: id.clone(),
                began: begun,
                ended: None,
                how: "",
            });
            runs.len() - 1
        };
        let last_id = head
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let mut next = last_id + 1;
        let mut due = begun + FIRST_EVENT;
        let mut how = "the stream is whole";
        let stream = connection.stream.try_clone()?;
        stream.set_read_timeout(Some(Duration::from_millis(20)))?;
        while next <= EVENTS {
            if is_down() {
                how = "the upstream crashed";
                break;
            }
            // The end of the connection ends the work.
            match (&stream).read(&mut [0; 1]) {
                Ok(0) => {
                    how = "the connection closed";
                    break;
                }
                Err(error)
                    if !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    how = "the connection broke";
                    break;
                }
                _ => {}
            }
            if Instant::now() < due {
                continue;
            }
            let sent = if next == last_id + 1 {
                connection.send(&stream_head(head))
            } else {
                Ok(())
            };
            if sent.and_then(|()| connection.send(&event(next))).is_err() {
                how = "the connection broke";
                break;
            }
            next += 1;
            due += EVENT_PAUSE;
        }
        if let Ok(mut runs) = runs.lock() {
            runs[position].ended = Some(Instant::now());
            runs[position].how = how;
        }
        stream.set_read_timeout(None)?;
        if how == "the stream is whole" {
            connection.send(b"0\r\n\r\n")
        } else {
            Err(ErrorKind::ConnectionReset.into())
        }
    })
}
