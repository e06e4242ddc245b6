//! CONFIG: heartbeats that come seconds late make core machines count sound upstreams as silent for good.

use super::{deploy, outcome, send};
use crate::deployment::{Deployment, ZONES, configuration, route, service};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::upstream::{Behaviour, Registration, Upstream, answer};
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Names of which one is taken for the second service.
const NAMES: usize = 16;
/// Upstreams of the second service in the zone of the front, and in another zone.
const NEAR: usize = 1;
const FAR: usize = 14;
/// Requests that an upstream works on at once, as `recibos` has.
const CAPACITY: u64 = 6;
const WORK: Duration = Duration::from_millis(500);
/// Late heartbeats of each upstream in the other zone, and their least and greatest distance from the one before.
const LATE: u64 = 11;
const DISTANCE_MS: (u64, u64) = (5_080, 5_400);
/// Requests on each route after the disruption, and the time between two.
const REQUESTS: usize = 600;
const REQUEST_PAUSE: Duration = Duration::from_millis(8);

/// Requests that each upstream ran.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::create(folder)?);
    let runs = Runs::default();
    let first_route = route("r-first", "/first/", "safe", "first", "");
    let first_service = service("first", "0.0");
    let deployment = deploy(
        1,
        &configuration(
            1,
            std::slice::from_ref(&first_route),
            std::slice::from_ref(&first_service),
        ),
    )?;
    for number in 0..NEAR + FAR {
        start(&deployment, &record, &runs, number, "first", 0, Vec::new())?;
    }
    let name = watched_by_first_core(&deployment, &record)?;
    let later = [first_route, route("r-later", "/later/", "safe", &name, "")];
    deployment.configure(
        "PUT",
        1,
        &configuration(2, &later, &[first_service, service(&name, "0.0")]),
    )?;
    record.line(format!(
        "configuration 2 adds the route /later/ of the service {name}"
    ));
    for number in 0..NEAR + FAR {
        let is_far = number >= NEAR;
        let late = if trouble && is_far {
            distances(number as u64)
        } else {
            Vec::new()
        };
        start(
            &deployment,
            &record,
            &runs,
            20 + number,
            &name,
            usize::from(is_far),
            late,
        )?;
    }
    thread::sleep(Duration::from_secs(2));
    serve_both(&deployment, "before", 60, &record);
    // The late heartbeats, and then calm for longer than `contact_ms`.
    thread::sleep(Duration::from_millis(
        LATE * (DISTANCE_MS.1 + 1_200) + 7_000,
    ));
    if let Ok(mut runs) = runs.lock() {
        record.line(format!("run before, by upstream: {runs:?}"));
        runs.clear();
    }
    let (first, later) = serve_both(&deployment, "after", REQUESTS, &record);
    if let Ok(runs) = runs.lock() {
        record.line(format!(
            "run after, by upstream; i-20 and up belong to the later route: {runs:?}"
        ));
    }
    let broken = later * 4 < first;
    record.line(format!(
        "in calm, {first} of {REQUESTS} requests are served on the first route and {later} of {REQUESTS} on the later one: CONFIG is {}",
        if broken { "broken" } else { "kept" }
    ));
    deployment.record_logs(&record, 150);
    if first < REQUESTS / 2 {
        return Err("the first route is not served".to_owned());
    }
    Ok(broken)
}

/// Distances of an upstream's late heartbeats from the ones before.
fn distances(upstream: u64) -> Vec<Duration> {
    let (least, greatest) = DISTANCE_MS;
    let span = greatest - least;
    let distance = |number: u64| least + (upstream * 61 + number * 97) % span;
    (0..LATE)
        .map(|number| Duration::from_millis(distance(number)))
        .collect()
}

/// Finds a service whose upstreams the first core machine watches over: upstreams of several names register once and fall
/// silent, and the machine that watches over one logs that it has timed out.
fn watched_by_first_core(deployment: &Deployment, record: &Record) -> Result<String, String> {
    let name = |number: usize| format!("later-{number}");
    for number in 0..NAMES {
        let registration = Registration {
            id: format!("probe-{number}"),
            address: format!("{}:9", deployment.upstream_ip(90)),
            service: name(number),
            zone: ZONES[0].to_owned(),
            capacity: CAPACITY,
        };
        registration.keep(deployment.controls(), || false)?;
    }
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(10) {
        thread::sleep(Duration::from_millis(500));
        let log = deployment.log(&deployment.cores[0]);
        let is_watched =
            |number: &usize| log.contains(&format!("upstream_timed_out upstream=probe-{number} "));
        if let Some(number) = (0..NAMES).find(is_watched) {
            record.line(format!(
                "{} watches over the service {}",
                deployment.cores[0].name,
                name(number)
            ));
            return Ok(name(number));
        }
    }
    Err("the first core machine watches over no service".to_owned())
}

fn start(
    deployment: &Deployment,
    record: &Arc<Record>,
    runs: &Runs,
    number: usize,
    service: &str,
    zone: usize,
    late: Vec<Duration>,
) -> Result<(), String> {
    let id = format!("i-{number}");
    let upstream = Upstream::start(&deployment.upstream_ip(number), &id, behaviour(&id, runs))?;
    let registration = Registration {
        id,
        address: upstream.address.clone(),
        service: service.to_owned(),
        zone: ZONES[zone].to_owned(),
        capacity: CAPACITY,
    };
    let record = record.clone();
    let id = registration.id.clone();
    registration.keep_late(
        deployment.controls(),
        late,
        move |distance, is_acknowledged| {
            if distance.as_millis() > 2_000 || !is_acknowledged {
                let answer = if is_acknowledged { "200" } else { "no 200" };
                record.line(format!(
                    "heartbeat of {id}, {} ms after the one before: {answer}",
                    distance.as_millis()
                ));
            }
        },
    )
}

/// An upstream that works on `CAPACITY` requests at once and queues more.
fn behaviour(id: &str, runs: &Runs) -> Behaviour {
    let (id, runs) = (id.to_owned(), runs.clone());
    let free = Arc::new((Mutex::new(CAPACITY), Condvar::new()));
    Arc::new(move |head: &Message, connection: &mut Connection| {
        connection.read_body(head)?;
        let (slots, changed) = &*free;
        if let Ok(slots) = slots.lock()
            && let Ok(mut slots) = changed.wait_while(slots, |slots| *slots == 0)
        {
            *slots -= 1;
        }
        if let Ok(mut runs) = runs.lock() {
            *runs.entry(id.clone()).or_default() += 1;
        }
        thread::sleep(WORK);
        if let Ok(mut slots) = slots.lock() {
            *slots += 1;
        }
        changed.notify_one();
        connection.send(&answer(head, "done"))
    })
}

/// Sends requests on both routes at the same time and returns how many were served.
fn serve_both(
    deployment: &Deployment,
    when: &str,
    requests: usize,
    record: &Record,
) -> (usize, usize) {
    let front = deployment.front(0);
    let outcomes: Arc<Mutex<BTreeMap<(usize, String), usize>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..requests {
        for (position, path) in ["/first/1", "/later/1"].into_iter().enumerate() {
            let (front, outcomes) = (front.clone(), outcomes.clone());
            let id = format!("{when}-{number}-{position}");
            threads.push(thread::spawn(move || {
                let answer = send(&front, path, &id, 4_000, b"");
                let ended = outcome(&answer);
                if let Ok(mut outcomes) = outcomes.lock() {
                    *outcomes.entry((position, ended)).or_default() += 1;
                }
            }));
        }
        thread::sleep(REQUEST_PAUSE);
    }
    for thread in threads {
        thread.join().ok();
    }
    let outcomes = outcomes
        .lock()
        .map(|outcomes| outcomes.clone())
        .unwrap_or_default();
    record.line(format!("{when}: {outcomes:?}"));
    let served = |route: usize| {
        let all = outcomes.iter();
        let served =
            all.filter(|((position, ended), _)| *position == route && ended.starts_with("200"));
        served.map(|(_, count)| *count).sum()
    };
    (served(0), served(1))
}
