//! Hours in simulated time: `cargo test --release -p woadstall-membership --test long -- --ignored
//! --nocapture`. The environment variables `MEMBERS`, `MINUTES` and `SEED` set the fleet size, the
//! duration and the random seed. `ASLEEP=30` pauses one member in 30 at any time; 0 pauses none.

mod common;

use common::{Link, MS, SECOND, SimulatedFleet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woadstall_membership::{Event, Name, Verdict};

/// Number of steps per simulated minute; a step takes a tenth of a second.
const STEPS_PER_MINUTE: usize = 600;

fn env_or(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A fleet whose members are paused at random, with one member killed per minute.
struct Soak {
    fleet: SimulatedFleet,
    members: usize,
    /// One member in this many is paused at any time; 0 pauses none.
    paused_one_in: u64,
    rng: ChaCha8Rng,
    /// Time of resumption and index of each paused member.
    paused: Vec<(u64, usize)>,
    pauses: u64,
    suspicions: u64,
    false_deaths: u64,
    /// Seconds until all running members knew of each death.
    detection_s: Vec<f64>,
    previous_victim: Option<Name>,
}

impl Soak {
    fn new(members: usize, seed: u64, paused_one_in: u64) -> Self {
        let mut fleet = SimulatedFleet::new(members, seed);
        fleet.set_default_link(Link {
            loss: 0.1,
            delay: MS,
            jitter: 5 * MS,
            ..Link::default()
        });
        fleet.bytes_sent = 0;
        Self {
            fleet,
            members,
            paused_one_in,
            rng: ChaCha8Rng::seed_from_u64(seed),
            paused: Vec::new(),
            pauses: 0,
            suspicions: 0,
            false_deaths: 0,
            detection_s: Vec::new(),
            previous_victim: None,
        }
    }

    /// Simulates a minute in which one member is killed after 20 seconds and restarted at the end.
    fn run_minute(&mut self, minute: u64) {
        let victim = self.rng.random_range(2..self.members);
        let dies_at = self.fleet.now + 20 * SECOND;
        let (mut died_at, mut detected_after_s) = (None, None);
        for _ in 0..STEPS_PER_MINUTE {
            self.fleet.run(SECOND / 10);
            self.pause_and_resume(victim);
            if died_at.is_none() && self.fleet.now >= dies_at {
                died_at = Some(self.fleet.now);
                self.fleet.kill(victim);
            }
            if let Some(died_at) = died_at
                && detected_after_s.is_none()
                && self.is_death_known(victim)
            {
                detected_after_s = Some((self.fleet.now - died_at) as f64 / 1e9);
            }
        }
        self.detection_s.extend(detected_after_s);
        self.fleet
            .start(victim, 2_000_000 + minute, 1_000_000 + minute);
        self.count_events(victim);
    }

    fn pause_and_resume(&mut self, victim: usize) {
        let now = self.fleet.now;
        let (due, paused) = self.paused.iter().partition(|(until, _)| *until <= now);
        self.paused = paused;
        let due: Vec<(u64, usize)> = due;
        for (_, member) in due {
            self.fleet.resume(member);
        }
        let member = self.rng.random_range(0..self.members);
        if member == victim || self.is_paused(member) || self.paused_one_in == 0 {
            return;
        }
        let paused_target = self.members as f64 / self.paused_one_in as f64;
        if self.rng.random::<f64>() < paused_target / 2.5 / 10.0 {
            let until = now + self.rng.random_range(50 * MS..5 * SECOND);
            self.paused.push((until, member));
            self.fleet.pause(member);
            self.pauses += 1;
        }
    }

    fn is_paused(&self, member: usize) -> bool {
        self.paused.iter().any(|(_, paused)| *paused == member)
    }

    fn is_death_known(&self, victim: usize) -> bool {
        let mut others =
            (0..self.members).filter(|other| *other != victim && !self.is_paused(*other));
        others.all(|other| self.fleet.verdict(victim, other) == Some(Verdict::Dead))
    }

    fn count_events(&mut self, victim: usize) {
        let victim = self.fleet.names[victim].clone();
        // A member that was paused at the end of the previous minute may learn of that minute's
        // death only now.
        let previous = self.previous_victim.replace(victim.clone());
        for (at, member, event) in self.fleet.events.drain(..) {
            match event {
                Event::Dead { name, .. } if Some(&name) == previous.as_ref() => {}
                Event::Dead { name, by } if name != victim => {
                    let seconds = at as f64 / 1e9;
                    println!(
                        "{seconds:.1} s: member {member} finds {name} dead, declared by {by:?}"
                    );
                    self.false_deaths += 1;
                }
                Event::Suspected { .. } => self.suspicions += 1,
                _ => {}
            }
        }
    }
}

/// A tenth of all messages is lost, one member in thirty is paused at any time for up to five
/// seconds, and one member per minute is killed and restarted. Prints the number of false deaths
/// and the detection times of true deaths.
#[test]
#[ignore = "a measurement"]
fn hours_of_message_loss_and_pauses() {
    let (members, minutes) = (env_or("MEMBERS", 60) as usize, env_or("MINUTES", 60));
    let mut soak = Soak::new(members, env_or("SEED", 1), env_or("ASLEEP", 30));
    let started_at = soak.fleet.now;
    for minute in 0..minutes {
        soak.run_minute(minute);
    }
    soak.detection_s.sort_by(f64::total_cmp);
    let (pauses, false_deaths, suspicions) = (soak.pauses, soak.false_deaths, soak.suspicions);
    let seconds = (soak.fleet.now - started_at) / SECOND;
    let detection_s = &soak.detection_s;
    println!(
        "{members} members, {minutes} minutes, {pauses} pauses: {false_deaths} false deaths, \
         {suspicions} suspicions received, {} of {minutes} deaths detected by all running members, after {:.1} s in \
         the median and {:.1} s at most; {} bytes/s per member",
        detection_s.len(),
        detection_s.get(detection_s.len() / 2).unwrap_or(&f64::NAN),
        detection_s.last().unwrap_or(&f64::NAN),
        soak.fleet.bytes_sent / seconds / members as u64
    );
    assert_eq!(false_deaths, 0);
}

/// Milliseconds until each member has received each of 20 records of different owners; 60,000 for a
/// record that did not arrive within a minute.
fn record_latencies(fleet: &mut SimulatedFleet, members: usize) -> Vec<u64> {
    let key = common::name("evidence");
    let mut latencies = Vec::new();
    for round in 0..20_u8 {
        let owner = usize::from(round) * 7 % members;
        let now = fleet.now;
        let node = fleet.node_mut(owner);
        node.publish(now, key.clone(), 200, vec![round; 64])
            .unwrap();
        fleet.flush(owner);
        let mut missing: Vec<usize> = (0..members).filter(|member| *member != owner).collect();
        while !missing.is_empty() && fleet.now < now + 60 * SECOND {
            fleet.run(10 * MS);
            let (owner, latency) = (&fleet.names[owner], fleet.now - now);
            missing.retain(|member| {
                let record = fleet.node(*member).record(owner, &key);
                let is_missing = record.is_none_or(|record| record.value[0] != round);
                if !is_missing {
                    latencies.push(latency / MS);
                }
                is_missing
            });
        }
        latencies.extend(missing.iter().map(|_| 60_000));
        fleet.run(SECOND);
    }
    latencies
}

/// Measures the time until a newly published record reaches all members, without message loss and
/// with a tenth of all messages lost.
#[test]
#[ignore = "a measurement"]
fn records_reach_all_members() {
    let (members, seed) = (env_or("MEMBERS", 300) as usize, env_or("SEED", 1));
    for loss in [0.0, 0.1] {
        let mut fleet = SimulatedFleet::new(members, seed);
        fleet.set_default_link(Link {
            loss,
            delay: MS,
            jitter: 2 * MS,
            ..Link::default()
        });
        fleet.run(20 * SECOND);
        let mut latencies = record_latencies(&mut fleet, members);
        latencies.sort_unstable();
        let quantile =
            |fraction: f64| latencies[((latencies.len() - 1) as f64 * fraction) as usize];
        println!(
            "{members} members, {loss} lost: a record arrives after {} ms (p50), {} ms (p99), {} ms at most",
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
    }
}
