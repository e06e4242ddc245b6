//! Membership among the balancers' processes: what each is told of it, and what operators would read of each, held
//! against who is really there.

use crate::balancers::{Balancer, Port, free};
use crate::fleet::Fleet;
use crate::ways;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{interval, timeout};
use woadstall_emulator::{
    Actor, EvacuationReport, EvacuationTracker, MemberLink, MemberView, MembershipConfig,
    MembershipObserver, MembershipReport, Requirement, Scenario, stream,
};
use woadstall_evacuation::Status;
use woadstall_fault_proxy::{FaultProxy, LinkConditions};
use woadstall_load_test::lock;
use woadstall_membership_net::{PathReport, Report};

/// Members that a new one asks.
const SEEDS: usize = 3;
/// Each is asked this often whom it sees.
const LOOK: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(1);
const MOST_ANSWER: usize = 4 << 20;
const KEY_FILE: &str = "members.key";
/// The operators' file of a balancer, in its folder.
pub const OPERATOR_FILE: &str = "operator.toml";

#[derive(Clone, Debug, Default)]
struct Known {
    /// When its present life started, as it says.
    life: Option<u64>,
    /// Bytes of its former lives, and of the present one.
    bytes: (u64, u64),
    last: Option<Report>,
}

/// See the module's documentation.
pub struct Mates {
    /// Where each listens for the others, and where they find it.
    at: Vec<(SocketAddr, SocketAddr)>,
    key: String,
    witness: Mutex<MembershipObserver>,
    /// What each makes of zones, where they leave them together.
    evacuated: Mutex<EvacuationTracker>,
    known: Mutex<Vec<Known>>,
    /// Those whose machines have no power: these refuse nothing, and nothing gets there.
    dark: Mutex<BTreeSet<u32>>,
    began: Instant,
}

impl Mates {
    /// All of a fleet, none of which runs yet. `start` is when callers begin.
    pub async fn new(
        of: &MembershipConfig,
        (fabric, balancers): (&FaultProxy, &[Arc<Balancer>]),
        (seed, start): (u64, Instant),
        zones: &[String],
    ) -> std::io::Result<Self> {
        let mut at = Vec::new();
        for balancer in balancers {
            let (number, ip) = (balancer.place.number, balancer.place.listen.ip());
            let listen = free(ip, Port::Members).await?;
            let me = ways::member(number);
            fabric.assign_address(me, ip);
            at.push((listen, fabric.proxy_shared(me, listen).await?));
        }
        let mut chance = stream(seed, Actor::Member, 0);
        let key = (0..32).fold(String::new(), |mut key, _| {
            let _ = write!(key, "{:02x}", chance.random::<u8>());
            key
        });
        let witness = Mutex::new(MembershipObserver::new(
            balancers.len(),
            of.tolerated_pause.0,
        ));
        let known = Mutex::new(vec![Known::default(); balancers.len()]);
        let evacuated = Mutex::new(EvacuationTracker::new(zones.to_vec(), balancers.len()));
        Ok(Self {
            at,
            key,
            witness,
            evacuated,
            known,
            dark: Mutex::default(),
            began: start,
        })
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_nanos() as u64
    }

    /// Writes what a balancer's next process is told of the others.
    pub fn write(&self, scenario: &Scenario, balancer: &Balancer) -> std::io::Result<()> {
        let Some(of) = &scenario.members else {
            return Ok(());
        };
        let number = balancer.place.number as usize;
        let (listen, found) = self.at[number];
        let seeds: Vec<String> = self
            .at
            .iter()
            .take(SEEDS)
            .filter(|seed| seed.1 != found)
            .map(|seed| format!("{:?}", seed.1.to_string()))
            .collect();
        let zone = &scenario.zones[usize::from(balancer.place.zone)];
        let mut text = format!(
            "[instances]\nlisten = \"{listen}\"\nadvertise = \"{found}\"\nseeds = [{}]\nkey_file = {KEY_FILE:?}\n",
            seeds.join(", ")
        );
        if let Some(region) = scenario.regions.get(zone) {
            let _ = writeln!(text, "region = {region:?}");
        }
        let ms = |span: woadstall_emulator::Span| span.0 / 1_000_000;
        let _ = writeln!(
            text,
            "period_ms = {}\npatience_ms = {}\nsuspicion_ms = {}",
            ms(of.period),
            ms(of.timeout),
            ms(of.suspicion)
        );
        if let Some(evacuation) = &scenario.evacuation {
            let _ = writeln!(text, "[evacuation]\nevery_ms = {}", ms(evacuation.every));
            let _ = writeln!(text, "[evacuation.regions]");
            for (zone, region) in &scenario.regions {
                let _ = writeln!(text, "{zone:?} = {region:?}");
            }
        }
        let folder = &balancer.process.folder;
        std::fs::write(folder.join(KEY_FILE), format!("{}\n", self.key))?;
        std::fs::write(folder.join(OPERATOR_FILE), text)
    }

    /// The files that a balancer was told things by, which faults of its own files leave alone.
    pub const FILES: [&str; 2] = [KEY_FILE, OPERATOR_FILE];

    /// A balancer's process runs, or no longer does.
    pub fn runs(&self, number: u32, up: bool) {
        let mut known = lock(&self.known);
        let known = &mut known[number as usize];
        (known.life, known.last) = (None, None);
        known.bytes = (known.bytes.0 + known.bytes.1, 0);
        lock(&self.witness).runs(self.now(), number as usize, up);
        if up {
            lock(&self.evacuated).begins(self.now(), number as usize);
        }
    }

    /// What a balancer makes of the zones.
    fn leaves(&self, number: usize, status: &Status) {
        let (at, balancer) = (self.now(), number as u32);
        for place in status.places.iter() {
            let Some(name) = place.name.strip_prefix("zone ") else {
                continue;
            };
            lock(&self.evacuated).seen(at, balancer, name, place.share);
        }
    }

    /// All that was seen of zones that were left, until a time of the scenario.
    pub fn evacuated(&self) -> EvacuationReport {
        lock(&self.evacuated).clone().end(self.now())
    }

    /// A balancer's machine loses its power, or has it again.
    pub fn dark(&self, number: u32, dark: bool) {
        let mut all = lock(&self.dark);
        match dark {
            true => all.insert(number),
            false => all.remove(&number),
        };
    }

    /// A balancer's process stands still, or goes on.
    pub fn stands_still(&self, number: u32, still: bool) {
        lock(&self.witness).set_paused(self.now(), number as usize, still);
    }

    /// Sets the ways among all, as `among` has them from one to another.
    pub fn set_ways(
        &self,
        fabric: &FaultProxy,
        scenario: &Scenario,
        among: impl Fn(usize, usize) -> MemberLink,
    ) {
        let dark = lock(&self.dark);
        let size = self.at.len();
        let mut cut = vec![false; size * size];
        for from in 0..size {
            for to in (0..size).filter(|&to| to != from) {
                let among = among(from, to);
                let (sends, hears) = (from as u32, to as u32);
                let out = among.partitioned || dark.contains(&sends) || dark.contains(&hears);
                let delay = Duration::from_nanos(among.delay);
                let delay = if delay < ways::LEAST_DELAY {
                    Duration::ZERO
                } else {
                    delay
                };
                let way = LinkConditions {
                    delay,
                    jitter: delay.mul_f64(scenario.network.jitter),
                    loss: among.loss,
                    duplication: among.doubled,
                    reordering: among.overtaken,
                    bytes_per_second: 0,
                    partitioned: out,
                };
                fabric.set_conditions(ways::member(sends), ways::member(hears), way);
                cut[from * size + to] = out;
            }
        }
        lock(&self.witness).partition(self.now(), |from, to| cut[from * size + to]);
    }

    fn heard(&self, number: usize, report: Report) {
        let (now, mut witness, mut known) = (self.now(), lock(&self.witness), lock(&self.known));
        if !witness.is_there(number) {
            return; // what was asked before it stood still or ended
        }
        known[number].life = Some(report.started_ms);
        known[number].bytes.1 = report.bytes_sent;
        for row in &report.members {
            let Some(of) = of(&row.name).filter(|of| *of < known.len()) else {
                continue;
            };
            // Of one whose process has ended, its last life counts.
            let present = known[of].life.is_none_or(|life| life == row.started_ms);
            let held = match (present, row.state.as_str()) {
                (true, "alive" | "cut") => MemberView::Alive,
                (true, "suspect" | "unknown") => MemberView::Suspect,
                (true, "dead") => MemberView::Dead,
                (true, "left") => MemberView::Left,
                _ => MemberView::Unknown,
            };
            // One that has just begun has not said which life it is: what is held is of the former.
            let held = if known[of].life.is_none() && witness.is_there(of) {
                MemberView::Unknown
            } else {
                held
            };
            witness.record_view(now, number, of, held);
        }
        known[number].last = Some(report);
    }

    /// How the cut ways are named, by what each said last.
    fn look_at_ways(&self, is_cut: impl Fn(usize, usize) -> bool) {
        let (now, mut witness, known) = (self.now(), lock(&self.witness), lock(&self.known));
        let says = |by: usize, of: usize, to: bool| {
            let rows = known[by].last.iter().flat_map(|report| &report.members);
            let row = rows.into_iter().find(|row| self::of(&row.name) == Some(of));
            row.is_some_and(|row| {
                if to {
                    row.outbound == PathReport::Partitioned
                } else {
                    row.inbound == PathReport::Partitioned
                }
            })
        };
        let pairs = witness.pairs(|who| known[who].last.is_some()).into_iter();
        witness.record_path_reports(
            now,
            pairs.map(|(from, to)| {
                (
                    is_cut(from, to),
                    says(from, to, true),
                    says(to, from, false),
                )
            }),
        );
    }

    /// All that was seen.
    pub fn end(&self) -> MembershipReport {
        let known = lock(&self.known);
        let bytes: Vec<u64> = known
            .iter()
            .map(|known| known.bytes.0 + known.bytes.1)
            .collect();
        let now = self.now();
        lock(&self.witness).clone().end(now, &bytes, now)
    }

    /// Part of a core that the members' threads of running processes have used since they began.
    pub fn cores(&self, balancers: &[Arc<Balancer>]) -> Vec<f64> {
        let known = lock(&self.known);
        let part = |(balancer, known): (&Arc<Balancer>, &Known)| {
            let ran = balancer.process.thread_ns("instances")?;
            Some(ran as f64 / 1e9 / known.last.as_ref()?.uptime_s.max(1e-3))
        };
        balancers
            .iter()
            .zip(known.iter())
            .filter_map(part)
            .collect()
    }
}

fn of(name: &str) -> Option<usize> {
    name.strip_prefix("balancer-")?.parse().ok()
}

type Asking = Client<HttpConnector, Empty<Bytes>>;

/// What a balancer answers to operators.
enum Answered {
    Members(Box<Report>),
    Places(Status),
}

async fn ask<T: DeserializeOwned>(client: Asking, at: SocketAddr, path: &str) -> Option<T> {
    let request = Request::get(format!("http://{at}{path}"))
        .body(Empty::<Bytes>::new())
        .ok()?;
    let answer = client.request(request).await.ok()?;
    let body = Limited::new(answer.into_body(), MOST_ANSWER)
        .collect()
        .await
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

/// Asks all that run whom they see, again and again.
pub async fn watch(fleet: Arc<Fleet>) {
    let Some(mates) = &fleet.mates else { return };
    let mut at: Vec<u64> = (fleet.scenario.bound.iter())
        .filter_map(|bound| {
            if let Requirement::PartitionsReported { at, .. } = bound.what {
                Some(at.0)
            } else {
                None
            }
        })
        .collect();
    at.sort_unstable();
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build(HttpConnector::new());
    let (mut look, mut asking) = (interval(LOOK), JoinSet::new());
    loop {
        tokio::select! {
            _ = look.tick() => {}
            Some(answered) = asking.join_next() => {
                match answered {
                    Ok((number, Some(Answered::Members(report)))) => mates.heard(number, *report),
                    Ok((number, Some(Answered::Places(status)))) => mates.leaves(number, &status),
                    Ok((_, None)) | Err(_) => {}
                }
                continue;
            }
        }
        while at.first().is_some_and(|at| mates.now() >= *at) {
            at.remove(0);
            let in_force = lock(&fleet.in_force).clone();
            mates.look_at_ways(|from, to| fleet.among(&in_force, from, to).partitioned);
        }
        // What takes longer than a look is not asked again meanwhile.
        if asking.len() > 2 * fleet.balancers.len() {
            continue;
        }
        for balancer in fleet
            .balancers
            .iter()
            .filter(|balancer| balancer.is_to_run())
        {
            let (number, Some(admin)) = (balancer.place.number as usize, balancer.admin) else {
                continue;
            };
            let asked = timeout(PATIENCE, ask(client.clone(), admin, "/control/instances"));
            asking.spawn(async move {
                (
                    number,
                    asked
                        .await
                        .ok()
                        .flatten()
                        .map(|report| Answered::Members(Box::new(report))),
                )
            });
            if fleet.scenario.evacuation.is_some() {
                let asked = timeout(PATIENCE, ask(client.clone(), admin, "/control/places"));
                asking.spawn(
                    async move { (number, asked.await.ok().flatten().map(Answered::Places)) },
                );
            }
        }
    }
}
