//! What this balancer's own calls came to, by server, by zone, and by class at a zone.

use crate::call_counts::CallCounts;
use crate::cusum::CusumCounts;
use crate::subject::Subject;
use std::collections::BTreeMap;
use woadstall_decisions::api::{Duration, Outcome, ServerId, Time};

/// An answer that takes this many times the typical response time of its class is slow.
const SLOW_FACTOR: f64 = 4.0;
/// A timeout sooner than this many times the typical response time is not the server's fault: the
/// limit was too short.
const SHORT_TIMEOUT_FACTOR: f64 = 2.0;
/// A pending attempt that has taken this many times the typical response time counts as failed
/// before it times out.
const STUCK_FACTOR: f64 = 6.0;
/// The gain with which the typical response time follows shorter and longer ones: congestion must
/// not become typical.
const GAIN_DOWN: f64 = 0.05;
const GAIN_UP: f64 = 0.001;
/// The answers from which on a response time is typical.
const MIN_RESPONSES: u32 = 10;
/// How long an answer shows that a subject works, in nanoseconds: calls that hang since then are
/// not counted yet.
const FRESH_NS: Duration = 300_000_000;

/// An attempt of this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The number of its request.
    pub request: u32,
    /// Its number within the request.
    pub attempt: u32,
}

/// An attempt that has not ended yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAttempt {
    /// Which attempt.
    pub id: AttemptId,
    /// The server that it was sent to.
    pub server: ServerId,
    /// The position of its class.
    pub class: usize,
    /// The time since it was sent, in nanoseconds.
    pub age_ns: Duration,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedAttempt {
    /// Which attempt.
    pub id: AttemptId,
    /// The server that it was sent to.
    pub server: ServerId,
    /// The position of its class.
    pub class: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from when it was sent, in nanoseconds.
    pub duration_ns: Duration,
}

/// The counts of a subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubjectStats {
    /// The subject.
    pub subject: Subject,
    /// Its counts.
    pub counts: CallCounts,
    /// Whether a call was answered in time a moment ago.
    pub is_answered_recently: bool,
}

/// The counts of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStats {
    /// The server.
    pub server: ServerId,
    /// Its process, as a subject.
    pub subject: Subject,
    /// The position of its zone.
    pub zone: usize,
    /// Its counts.
    pub counts: CallCounts,
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

/// The typical response time of a class.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseTime {
    typical_ns: f64,
    responses: u32,
}

impl ResponseTime {
    fn is_known(&self) -> bool {
        self.responses >= MIN_RESPONSES
    }

    fn record(&mut self, took_ns: f64) {
        self.responses = self.responses.saturating_add(1);
        let gain = if took_ns < self.typical_ns {
            GAIN_DOWN
        } else {
            GAIN_UP
        };
        self.typical_ns += gain.max(1.0 / f64::from(self.responses)) * (took_ns - self.typical_ns);
    }
}

/// What a pending attempt was counted as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CountedAs {
    Slow,
    Failed,
}

/// The counts of this balancer's own calls.
#[derive(Clone, Debug)]
pub struct CallStats {
    zones: Vec<Zone>,
    servers: BTreeMap<ServerId, Server>,
    /// By class.
    response_times: Vec<ResponseTime>,
    /// Pending attempts that were counted already.
    counted: BTreeMap<AttemptId, CountedAs>,
}

impl CallStats {
    /// Empty counts for zones, each with the subjects of its `class_count` classes.
    pub fn new(zones: impl Iterator<Item = (Subject, Vec<Subject>)>, class_count: usize) -> Self {
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
            servers: BTreeMap::new(),
            response_times: vec![ResponseTime::default(); class_count],
            counted: BTreeMap::new(),
        }
    }

    /// Adds or updates a server as it is listed now. The counts of a former process at its address
    /// are dropped.
    pub fn upsert_server(&mut self, server: ServerId, name: &str, boot_ms: u64, zone: usize) {
        let subject = Subject::server(name, boot_ms);
        let listed = Server {
            subject,
            zone,
            counts: CusumCounts::default(),
        };
        let known = self.servers.entry(server).or_insert_with(|| listed.clone());
        if known.subject != subject || known.zone != zone {
            *known = listed;
        }
    }

    /// Removes the servers that are not listed any more.
    pub fn retain_servers(&mut self, is_listed: impl Fn(ServerId) -> bool) {
        self.servers.retain(|server, _| is_listed(*server));
    }

    /// Counts an attempt that has ended, unless its outcome is no sign of the server's health.
    pub fn record_completed(&mut self, now: Time, completed: &CompletedAttempt) {
        let Some(response_time) = self.response_times.get_mut(completed.class) else {
            return;
        };
        let took_ns = completed.duration_ns as f64;
        let Some(failed) = has_failed(completed.outcome, took_ns, response_time) else {
            return;
        };
        let is_slow =
            response_time.is_known() && !failed && took_ns > SLOW_FACTOR * response_time.typical_ns;
        if completed.outcome == Outcome::Ok {
            response_time.record(took_ns);
        }
        match self.counted.remove(&completed.id) {
            Some(CountedAs::Failed) => {}
            Some(CountedAs::Slow) if !failed => {}
            Some(CountedAs::Slow) => self.slow_to_failed(now, completed.server, completed.class),
            None => self.add(now, completed.server, completed.class, failed, is_slow),
        }
    }

    /// Counts pending attempts that hang: as slow, and then as failed, before they time out.
    /// `pending` are all that there are.
    pub fn record_pending(&mut self, now: Time, pending: impl Iterator<Item = PendingAttempt>) {
        let former = std::mem::take(&mut self.counted);
        for attempt in pending {
            let Some(response_time) = self.response_times.get(attempt.class).copied() else {
                continue;
            };
            let age_ns = attempt.age_ns as f64;
            if !response_time.is_known() || age_ns <= SLOW_FACTOR * response_time.typical_ns {
                continue;
            }
            let is_stuck = age_ns > STUCK_FACTOR * response_time.typical_ns;
            match former.get(&attempt.id) {
                None => self.add(now, attempt.server, attempt.class, is_stuck, !is_stuck),
                Some(CountedAs::Slow) if is_stuck => {
                    self.slow_to_failed(now, attempt.server, attempt.class);
                }
                Some(_) => {}
            }
            let counted_as = if is_stuck {
                CountedAs::Failed
            } else {
                CountedAs::Slow
            };
            self.counted.insert(attempt.id, counted_as);
        }
    }

    fn add(&mut self, now: Time, server: ServerId, class: usize, failed: bool, slow: bool) {
        self.for_each_subject(server, class, |counts| counts.add(now, failed, slow));
    }

    fn slow_to_failed(&mut self, now: Time, server: ServerId, class: usize) {
        self.for_each_subject(server, class, |counts| counts.slow_to_failed(now));
    }

    /// Updates the counts of all subjects that a call at a server counts for.
    fn for_each_subject(
        &mut self,
        server: ServerId,
        class: usize,
        update: impl Fn(&mut CusumCounts),
    ) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        update(&mut server.counts);
        let Some(zone) = self.zones.get_mut(server.zone) else {
            return;
        };
        update(&mut zone.counts);
        if let Some((_, counts)) = zone.classes.get_mut(class) {
            update(counts);
        }
    }

    /// The counts of all subjects: of zones with their classes, then of servers.
    pub fn all(&self, now: Time) -> impl Iterator<Item = SubjectStats> + '_ {
        let zones = self.zones.iter().flat_map(|zone| {
            std::iter::once((zone.subject, zone.counts)).chain(zone.classes.iter().copied())
        });
        let servers = self
            .servers
            .values()
            .map(|server| (server.subject, server.counts));
        zones
            .chain(servers)
            .map(move |(subject, counts)| SubjectStats {
                subject,
                counts: counts.counts(now),
                is_answered_recently: now < counts.answered_at().saturating_add(FRESH_NS),
            })
    }

    /// The counts of a zone; none for one that is not known.
    pub fn zone(&self, zone: usize, now: Time) -> CallCounts {
        self.zones
            .get(zone)
            .map(|zone| zone.counts.counts(now))
            .unwrap_or_default()
    }

    /// The counts of a class at a zone; none for one that is not known.
    pub fn class(&self, zone: usize, class: usize, now: Time) -> CallCounts {
        let class = self
            .zones
            .get(zone)
            .and_then(|zone| zone.classes.get(class));
        class
            .map(|(_, counts)| counts.counts(now))
            .unwrap_or_default()
    }

    /// The counts of the listed servers, in the order of their numbers.
    pub fn servers(&self, now: Time) -> impl Iterator<Item = ServerStats> + '_ {
        self.servers
            .iter()
            .map(move |(server, listed)| ServerStats {
                server: *server,
                subject: listed.subject,
                zone: listed.zone,
                counts: listed.counts.counts(now),
            })
    }
}

/// Whether an attempt has failed by its server's fault; nothing for an outcome that is no sign of
/// the server's health.
fn has_failed(outcome: Outcome, took_ns: f64, response_time: &ResponseTime) -> Option<bool> {
    let is_short =
        response_time.is_known() && took_ns < SHORT_TIMEOUT_FACTOR * response_time.typical_ns;
    match outcome {
        Outcome::Ok => Some(false),
        Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => Some(true),
        Outcome::Timeout if !is_short => Some(true),
        // A full server is loaded, not unhealthy; the rest is the request's or the caller's doing.
        Outcome::Timeout
        | Outcome::Full
        | Outcome::Declined
        | Outcome::Cancelled
        | Outcome::Moot => None,
    }
}
