//! TWICE: some upstreams send more after a whole answer, in the place where the next answer is due. The surplus is an
//! answer without a `Request-Id`, so it belongs to no request of the front.

use super::{deploy, outcome, send};
use crate::deployment::{ZONES, configuration, route, service};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::upstream::{Behaviour, Registration, Upstream, answer};
use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const UPSTREAMS: usize = 5;
/// Upstreams in trouble: a share of 0.6.
const IN_TROUBLE: usize = 3;
/// One answer of this many has a surplus: a share of 0.03.
const ANSWERS_PER_SURPLUS: u64 = 34;
const REQUESTS: u64 = 500;
/// What an upstream answers to bytes that hold no request it can name.
const SURPLUS: &[u8] = b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// What the upstreams of the case share.
struct Shared {
    record: Record,
    runs: Runs,
}

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let shared = Arc::new(Shared {
        record: Record::create(folder)?,
        runs: Runs::default(),
    });
    let routes = [route(
        "r-receipts",
        "/receipts/",
        "non_idempotent",
        "receipts",
        r#","max_attempts":1"#,
    )];
    let deployment = deploy(1, &configuration(1, &routes, &[service("receipts", "0.0")]))?;
    for number in 0..UPSTREAMS {
        let id = format!("i-{number}");
        let is_in_trouble = trouble && number < IN_TROUBLE;
        let behaviour = behaviour(&id, is_in_trouble, shared.clone());
        let upstream = Upstream::start(&deployment.upstream_ip(number), &id, behaviour)?;
        let registration = Registration {
            id,
            address: upstream.address.clone(),
            service: "receipts".to_owned(),
            zone: ZONES[0].to_owned(),
            capacity: 6,
        };
        registration.keep(deployment.controls(), || true)?;
    }
    thread::sleep(Duration::from_secs(1));
    let front = deployment
        .resolve(0)?
        .first()
        .cloned()
        .ok_or("the directory names no front")?;
    let mut answers: BTreeMap<String, u64> = BTreeMap::new();
    for number in 0..REQUESTS {
        let id = format!("q{number}");
        let answer = send(&front, "/receipts/1", &id, 5_000, b"a receipt, please");
        let ended = outcome(&answer);
        shared
            .record
            .line(format!("{id} to front {front}: {ended}"));
        *answers.entry(ended).or_default() += 1;
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(500));
    let runs = shared.runs.lock().map_err(|error| error.to_string())?;
    let twice: Vec<_> = runs
        .iter()
        .filter(|(_, upstreams)| upstreams.len() > 1)
        .collect();
    shared.record.line(format!(
        "answers: {answers:?}; {} of {REQUESTS} requests ran",
        runs.len()
    ));
    for (id, upstreams) in &twice {
        shared
            .record
            .line(format!("{id} is non_idempotent and ran at {upstreams:?}"));
    }
    shared.record.line(format!(
        "TWICE is {}",
        if twice.is_empty() { "kept" } else { "broken" }
    ));
    if runs.len() < REQUESTS as usize / 2 {
        return Err("fewer than half of the requests ran".to_owned());
    }
    Ok(!twice.is_empty())
}

/// An upstream that answers each request after 5 ms. In trouble, it owes a surplus after some of its answers, and sends it
/// before the next answer on that connection.
fn behaviour(id: &str, is_in_trouble: bool, shared: Arc<Shared>) -> Behaviour {
    let id = id.to_owned();
    let answered = AtomicU64::new(0);
    let owing: Mutex<HashSet<String>> = Mutex::default();
    Arc::new(move |head: &Message, connection: &mut Connection| {
        connection.read_body(head)?;
        let request = head.header("request-id").unwrap_or("").to_owned();
        let peer = connection.stream.peer_addr()?.to_string();
        if let Ok(mut runs) = shared.runs.lock() {
            runs.entry(request.clone()).or_default().push(id.clone());
        }
        let owes = owing.lock().is_ok_and(|mut owing| owing.remove(&peer));
        if owes {
            shared.record.line(format!(
                "upstream {id} runs {request}; first come the surplus bytes of the answer before"
            ));
            connection.send(SURPLUS)?;
        }
        thread::sleep(Duration::from_millis(5));
        connection.send(&answer(head, "a receipt"))?;
        let number = answered.fetch_add(1, Ordering::SeqCst) + 1;
        if is_in_trouble && number.is_multiple_of(ANSWERS_PER_SURPLUS) {
            if let Ok(mut owing) = owing.lock() {
                owing.insert(peer);
            }
        }
        Ok(())
    })
}
