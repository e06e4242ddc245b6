//! What this balancer's own calls came to, by nodo, by zone, and by class at a zone.

use crate::counts::{CallCounts, CusumCounts};
use crate::subject::Subject;
use std::collections::HashMap;
use woadstall_decisions::api::{Duration, Outcome, ServerId, Time};

/// An answer that takes so many times what is usual for its class is late.
const LATE: f64 = 4.0;
/// An attempt that was given up sooner than so many times what is usual had a short limit, which is no fault of its nodo.
const SHORT: f64 = 2.0;
/// How fast what is usual follows: down, and up. A jam must not come to look usual.
const FOLLOWS: (f64, f64) = (0.05, 0.001);
/// Answers before anything is usual.
const KNOWN: u32 = 10;
/// One that is not answered after so many times what is usual is stuck: it counts as failed before it is given up.
const STUCK: f64 = 6.0;
/// What was answered longer ago says nothing of now: calls that hang since are not counted yet.
const FRESH: Duration = 300_000_000;

/// An attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAttempt {
    /// Its request's number, and its own.
    pub attempt: (u32, u32),
    /// At which nodo.
    pub server: ServerId,
    /// Position of its class.
    pub class: usize,
    /// Time since it was sent.
    pub age: Duration,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedAttempt {
    /// Its request's number, and its own.
    pub attempt: (u32, u32),
    /// At which nodo.
    pub server: ServerId,
    /// Position of its class.
    pub class: usize,
    /// How.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub took: Duration,
}

#[derive(Clone, Debug)]
struct Server {
    subject: Subject,
    zone: usize,
    counts: CusumCounts,
}

#[derive(Clone, Debug)]
struct Zone {
    subject: Subject,
    counts: CusumCounts,
    classes: Vec<(Subject, CusumCounts)>,
}

/// See the module's documentation.
#[derive(Clone, Debug)]
pub struct CallStats {
    zones: Vec<Zone>,
    nodos: HashMap<ServerId, Server>,
    /// What is usual for each class, in nanoseconds, and the answers that it rests on.
    usual: Vec<(f64, u32)>,
    /// Attempts that are out and were counted: as late, or as failed.
    counted: HashMap<(u32, u32), bool>,
}

impl CallStats {
    /// One for zones, each with the subjects of its classes.
    pub fn new(zones: impl Iterator<Item = (Subject, Vec<Subject>)>, classes: usize) -> Self {
        let zone = |(subject, classes): (Subject, Vec<Subject>)| Zone {
            subject,
            counts: CusumCounts::default(),
            classes: classes
                .into_iter()
                .map(|class| (class, CusumCounts::default()))
                .collect(),
        };
        Self {
            zones: zones.map(zone).collect(),
            nodos: HashMap::new(),
            usual: vec![(0.0, 0); classes],
            counted: HashMap::new(),
        }
    }

    /// A nodo as it is listed now. What was counted of a former process at its address goes.
    pub fn listed(&mut self, server: ServerId, name: &str, boot_ms: u64, zone: usize) {
        let subject = Subject::server(name, boot_ms);
        let nodo = Server {
            subject,
            zone,
            counts: CusumCounts::default(),
        };
        let known = self.nodos.entry(server).or_insert_with(|| nodo.clone());
        if known.subject != subject || known.zone != zone {
            *known = nodo;
        }
    }

    /// Keeps the nodos that are still listed.
    pub fn retain(&mut self, is_listed: impl Fn(ServerId) -> bool) {
        self.nodos.retain(|server, _| is_listed(*server));
    }

    /// Counts an attempt. What says nothing of the nodo is not counted.
    pub fn saw(&mut self, now: Time, saw: &CompletedAttempt) {
        let Some(usual) = self.usual.get_mut(saw.class) else {
            return;
        };
        let (took, known) = (saw.took as f64, usual.1 >= KNOWN);
        let failed = match saw.outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Timeout if !known || took >= SHORT * usual.0 => true,
            // Full is load, and load is no illness; the rest is the request's or the caller's doing.
            Outcome::Timeout
            | Outcome::Full
            | Outcome::Declined
            | Outcome::Cancelled
            | Outcome::Moot => {
                return;
            }
        };
        let late = known && !failed && took > LATE * usual.0;
        if saw.outcome == Outcome::Ok {
            usual.1 = usual.1.saturating_add(1);
            let gain = if took < usual.0 { FOLLOWS.0 } else { FOLLOWS.1 };
            usual.0 += gain.max(1.0 / f64::from(usual.1)) * (took - usual.0);
        }
        match self.counted.remove(&saw.attempt) {
            Some(true) => {}
            Some(false) if !failed => {}
            Some(false) => self.at(saw.server, saw.class, |counts| counts.sticks(now)),
            None => self.add(now, saw.server, saw.class, failed, late),
        }
    }

    /// All attempts that are out: what hangs is counted as late, and then as failed, before anybody gives it up.
    pub fn out(&mut self, now: Time, all: impl Iterator<Item = PendingAttempt>) {
        let mut counted = std::mem::take(&mut self.counted);
        let mut still = HashMap::new();
        for out in all {
            let Some(&(usual, answers)) = self.usual.get(out.class) else {
                continue;
            };
            let (age, was) = (out.age as f64, counted.remove(&out.attempt));
            if answers < KNOWN || age <= LATE * usual {
                continue;
            }
            let stuck = age > STUCK * usual;
            match was {
                None => self.add(now, out.server, out.class, stuck, !stuck),
                Some(false) if stuck => self.at(out.server, out.class, |counts| counts.sticks(now)),
                Some(_) => {}
            }
            still.insert(out.attempt, stuck);
        }
        self.counted = still;
    }

    fn add(&mut self, now: Time, server: ServerId, class: usize, failed: bool, late: bool) {
        self.at(server, class, |counts| counts.add(now, failed, late));
    }

    /// All that a call at a nodo counts for.
    fn at(&mut self, server: ServerId, class: usize, count: impl Fn(&mut CusumCounts)) {
        let Some(nodo) = self.nodos.get_mut(&server) else {
            return;
        };
        count(&mut nodo.counts);
        let Some(zone) = self.zones.get_mut(nodo.zone) else {
            return;
        };
        count(&mut zone.counts);
        zone.classes
            .get_mut(class)
            .into_iter()
            .for_each(|(_, counts)| count(counts));
    }

    /// All that is counted, as it is now, and whether anything was answered just now: zones with their classes first.
    pub fn all(&self, now: Time) -> impl Iterator<Item = (Subject, CallCounts, bool)> + '_ {
        let zones = self.zones.iter().flat_map(|zone| {
            std::iter::once((zone.subject, zone.counts)).chain(zone.classes.iter().copied())
        });
        let nodos = self.nodos.values().map(|nodo| (nodo.subject, nodo.counts));
        zones.chain(nodos).map(move |(subject, course)| {
            let fresh = now < course.answered_at().saturating_add(FRESH);
            (subject, course.counts(now), fresh)
        })
    }

    /// Counts of a zone, of a class at it, or of a nodo.
    pub fn zone(&self, zone: usize, now: Time) -> CallCounts {
        self.zones
            .get(zone)
            .map(|zone| zone.counts.counts(now))
            .unwrap_or_default()
    }

    /// The same of a class at it.
    pub fn class(&self, zone: usize, class: usize, now: Time) -> CallCounts {
        let zone = self.zones.get(zone);
        zone.and_then(|zone| zone.classes.get(class))
            .map(|(_, counts)| counts.counts(now))
            .unwrap_or_default()
    }

    /// The nodos that are listed: number, subject, zone and counts.
    pub fn nodos(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (ServerId, Subject, usize, CallCounts)> + '_ {
        self.nodos
            .iter()
            .map(move |(server, nodo)| (*server, nodo.subject, nodo.zone, nodo.counts.counts(now)))
    }
}
