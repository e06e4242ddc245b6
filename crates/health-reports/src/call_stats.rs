//! Counts of the outcomes of this balancer's own calls, by server, by zone, and by class at a zone.

use crate::call_counts::CallCounts;
use crate::cusum::CusumCounts;
use crate::subject::Subject;
use std::collections::BTreeMap;
use woadstall_decisions::api::{Duration, Outcome, ServerId, Time};

/// A call counts as slow if it takes more than this many times the typical response time of its
/// class (and has not failed).
const SLOW_FACTOR: f64 = 4.0;
/// A timeout after less than this many times the typical response time is not counted as the
/// server's failure, because the caller's limit was too short.
const SHORT_TIMEOUT_FACTOR: f64 = 2.0;
/// A pending attempt that has taken more than this many times the typical response time counts as
/// failed before it times out.
const STUCK_FACTOR: f64 = 6.0;
/// The gain with which shorter response times lower the typical response time.
const GAIN_DOWN: f64 = 0.05;
/// The gain with which longer response times raise the typical response time. It is much smaller
/// than [`GAIN_DOWN`] so that congestion does not become typical.
const GAIN_UP: f64 = 0.001;
/// The minimum number of responses for the typical response time of a class to be known.
const MIN_RESPONSES: u32 = 10;
/// How long a subject counts as answered recently after a response in time, in nanoseconds. The time
/// is short because calls that have hung since the response are not counted yet.
const RECENT_ANSWER_NS: Duration = 300_000_000;

/// Identifies an attempt of this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The number of the request that the attempt belongs to.
    pub request: u32,
    /// The number of the attempt within the request.
    pub attempt: u32,
}

/// An attempt that has not ended yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAttempt {
    /// The id of the attempt, unique among this balancer's pending attempts.
    pub id: AttemptId,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// The position of the attempt's class in the settings.
    pub class: usize,
    /// The time since the attempt was sent, in nanoseconds.
    pub age_ns: Duration,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedAttempt {
    /// The id that the attempt had while it was pending.
    pub id: AttemptId,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// The position of the attempt's class in the settings.
    pub class: usize,
    /// The way in which the attempt ended.
    pub outcome: Outcome,
    /// The time from sending the attempt to its end, in nanoseconds.
    pub duration_ns: Duration,
}

/// The counts of this balancer's own calls to a subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubjectStats {
    /// The server process, zone or class that the counts are about.
    pub subject: Subject,
    /// The counts, decayed to the time of the query.
    pub counts: CallCounts,
    /// Whether a call was answered in time within the last 300 ms.
    pub is_answered_recently: bool,
}

/// The counts of this balancer's own calls to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStats {
    /// The server's id in the decision module.
    pub server: ServerId,
    /// The subject that identifies the server's current process.
    pub subject: Subject,
    /// The position of the server's zone in the settings.
    pub zone: usize,
    /// The counts, decayed to the time of the query.
    pub counts: CallCounts,
}

#[derive(Clone, Debug)]
struct Server {
    subject: Subject,
    /// The position of the server's zone in the settings.
    zone: usize,
    counts: CusumCounts,
}

#[derive(Clone, Debug)]
struct Zone {
    subject: Subject,
    counts: CusumCounts,
    /// The subject and the counts of each class at this zone, by position of the class.
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

    fn record(&mut self, duration_ns: f64) {
        self.responses = self.responses.saturating_add(1);
        let gain = if duration_ns < self.typical_ns {
            GAIN_DOWN
        } else {
            GAIN_UP
        };
        self.typical_ns +=
            gain.max(1.0 / f64::from(self.responses)) * (duration_ns - self.typical_ns);
    }
}

/// The result that a pending attempt was counted as.
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
    /// The typical response times, by position of the class.
    response_times: Vec<ResponseTime>,
    /// The pending attempts that were already counted.
    counted_pending: BTreeMap<AttemptId, CountedAs>,
}

impl CallStats {
    /// Creates empty counts for zones, each with the subjects of its `class_count` classes.
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
            counted_pending: BTreeMap::new(),
        }
    }

    /// Adds or updates a listed server. The counts are reset if the server has a new process or has
    /// moved to another zone.
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

    /// Removes the servers for which `is_listed` returns false.
    pub fn retain_servers(&mut self, is_listed: impl Fn(ServerId) -> bool) {
        self.servers.retain(|server, _| is_listed(*server));
    }

    /// Counts a completed attempt, unless its outcome says nothing about the server's health. An
    /// attempt that was counted while it was pending is not counted twice.
    pub fn record_completed(&mut self, now: Time, completed: &CompletedAttempt) {
        let Some(response_time) = self.response_times.get_mut(completed.class) else {
            return;
        };
        let duration_ns = completed.duration_ns as f64;
        let Some(failed) = has_failed(completed.outcome, duration_ns, response_time) else {
            return;
        };
        let is_slow = response_time.is_known()
            && !failed
            && duration_ns > SLOW_FACTOR * response_time.typical_ns;
        if completed.outcome == Outcome::Ok {
            response_time.record(duration_ns);
        }
        match self.counted_pending.remove(&completed.id) {
            Some(CountedAs::Failed) => {}
            Some(CountedAs::Slow) if !failed => {}
            Some(CountedAs::Slow) => self.slow_to_failed(now, completed.server, completed.class),
            None => self.add(now, completed.server, completed.class, failed, is_slow),
        }
    }

    /// Counts overdue pending attempts before they time out, first as slow and later as failed.
    /// `pending` must contain all pending attempts.
    pub fn record_pending(&mut self, now: Time, pending: impl Iterator<Item = PendingAttempt>) {
        let former = std::mem::take(&mut self.counted_pending);
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
            self.counted_pending.insert(attempt.id, counted_as);
        }
    }

    fn add(&mut self, now: Time, server: ServerId, class: usize, failed: bool, slow: bool) {
        self.for_each_subject(server, class, |counts| counts.add(now, failed, slow));
    }

    fn slow_to_failed(&mut self, now: Time, server: ServerId, class: usize) {
        self.for_each_subject(server, class, |counts| counts.slow_to_failed(now));
    }

    /// Updates the counts of all subjects of a call to a server: the server, its zone, and the class
    /// at that zone.
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

    /// Iterates over the counts of all subjects: the zones, each followed by its classes, then the
    /// servers.
    pub fn all_subjects(&self, now: Time) -> impl Iterator<Item = SubjectStats> + '_ {
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
                is_answered_recently: now < counts.answered_at().saturating_add(RECENT_ANSWER_NS),
            })
    }

    /// Returns the counts of the zone at a position; zero if the position is out of range.
    pub fn zone(&self, zone: usize, now: Time) -> CallCounts {
        self.zones
            .get(zone)
            .map(|zone| zone.counts.counts(now))
            .unwrap_or_default()
    }

    /// Returns the counts of a class at a zone; zero if either position is out of range.
    pub fn class(&self, zone: usize, class: usize, now: Time) -> CallCounts {
        let class = self
            .zones
            .get(zone)
            .and_then(|zone| zone.classes.get(class));
        class
            .map(|(_, counts)| counts.counts(now))
            .unwrap_or_default()
    }

    /// Iterates over the counts of the listed servers, in the order of their ids.
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

/// Returns whether an attempt has failed due to its server; `None` if the outcome says nothing about
/// the server's health.
fn has_failed(outcome: Outcome, duration_ns: f64, response_time: &ResponseTime) -> Option<bool> {
    let is_short =
        response_time.is_known() && duration_ns < SHORT_TIMEOUT_FACTOR * response_time.typical_ns;
    match outcome {
        Outcome::Ok => Some(false),
        Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => Some(true),
        Outcome::Timeout if !is_short => Some(true),
        // A full server is loaded but not unhealthy. The other outcomes are caused by the request or
        // the caller.
        Outcome::Timeout
        | Outcome::Full
        | Outcome::Declined
        | Outcome::Cancelled
        | Outcome::Moot => None,
    }
}
