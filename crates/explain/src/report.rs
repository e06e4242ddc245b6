//! One line of the log for a request that did not go well.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Begins the part of a log line that is a report.
pub const MARK: &str = "request report ";
/// Stands for a name that is empty.
const EMPTY: &str = "-";

/// Why a request is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It was answered well, after its route's target latency, or with a pause between events that was too long.
    Late,
    /// It was answered in time, by a second upstream.
    Repeated,
    /// It was turned away; it has not run.
    Refused,
    /// No answer came though it may have run, or an answer broke off.
    Failed,
    /// Its deadline passed.
    TimedOut,
    /// Its upstream answered with an error.
    ErrorAnswer,
    /// Its client left.
    ClientLeft,
}

/// How an attempt at one upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// It was answered.
    Answered,
    /// It was answered with an error of the upstream's own.
    ErrorAnswer,
    /// The upstream turned it away.
    Rejected,
    /// Nothing was sent.
    NotSent,
    /// It was sent, and the connection broke before an answer, or what came was no answer.
    Broken,
    /// Its answer broke off.
    BrokenOff,
    /// Its time was over.
    TimedOut,
    /// Its client left first.
    Abandoned,
}

/// Names of values in a report.
trait Named: Copy + Eq + 'static {
    const NAMES: &'static [(Self, &'static str)];

    fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(value, _)| *value == self)
            .map_or(EMPTY, |(_, name)| name)
    }

    fn named(name: &str) -> Option<Self> {
        Self::NAMES
            .iter()
            .find(|(_, other)| *other == name)
            .map(|(value, _)| *value)
    }
}

impl Named for Cause {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Late, "late"),
        (Self::Repeated, "repeated"),
        (Self::Refused, "refused"),
        (Self::Failed, "failed"),
        (Self::TimedOut, "timed-out"),
        (Self::ErrorAnswer, "error-answer"),
        (Self::ClientLeft, "client-left"),
    ];
}

impl Named for AttemptOutcome {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Answered, "answered"),
        (Self::ErrorAnswer, "error-answer"),
        (Self::Rejected, "rejected"),
        (Self::NotSent, "not-sent"),
        (Self::Broken, "broken"),
        (Self::BrokenOff, "broken-off"),
        (Self::TimedOut, "timed-out"),
        (Self::Abandoned, "abandoned"),
    ];
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.name())
    }
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.name())
    }
}

/// An attempt at one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// The upstream.
    pub upstream: String,
    /// Its zone.
    pub zone: String,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// When it began, in milliseconds after the request came.
    pub began: u64,
    /// How long it took, in milliseconds.
    pub took: u64,
    /// Requests of this balancer that were at the upstream then.
    pub in_flight: u32,
    /// Prompt tokens of this balancer's requests that it had to read then, this one's included.
    pub reading: u64,
    /// Upstreams that the request could have gone to.
    pub candidates: usize,
    /// How many of them were passed over for which reason.
    pub passed_over: BTreeMap<String, usize>,
}

/// A request that did not go well, as one balancer saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestReport {
    /// Why it is reported.
    pub cause: Cause,
    /// Its route.
    pub route: String,
    /// Its service.
    pub service: String,
    /// The zone of the balancer.
    pub zone: String,
    /// Its rank; 0 is the highest.
    pub priority: u8,
    /// How long it took, in milliseconds.
    pub total: u64,
    /// When the answer or its first event came, in milliseconds.
    pub first: Option<u64>,
    /// The longest pause between events, in milliseconds.
    pub pause: u64,
    /// The route's target latency, in milliseconds.
    pub target: u64,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Those of them that it shares with others.
    pub shared: u64,
    /// The attempts, in order.
    pub attempts: Vec<AttemptReport>,
}

/// A line can't be read as a report.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ReportError {
    /// A field is not there.
    #[error("the field `{0}` is missing")]
    Missing(&'static str),
    /// A field has a value that can't be.
    #[error("the field `{field}` can't be `{value}`")]
    Invalid {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
}

impl fmt::Display for RequestReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{MARK}cause={} route={} ",
            self.cause,
            name(&self.route)
        )?;
        write!(
            formatter,
            "service={} zone={} ",
            name(&self.service),
            name(&self.zone)
        )?;
        write!(
            formatter,
            "priority={} total={} ",
            self.priority, self.total
        )?;
        match self.first {
            Some(first) => write!(formatter, "first={first} ")?,
            None => write!(formatter, "first={EMPTY} ")?,
        }
        write!(formatter, "pause={} target={} ", self.pause, self.target)?;
        write!(
            formatter,
            "prompt={} shared={} attempts=",
            self.prompt, self.shared
        )?;
        if self.attempts.is_empty() {
            return formatter.write_str(EMPTY);
        }
        for (number, attempt) in self.attempts.iter().enumerate() {
            let separator = if number == 0 { "" } else { ";" };
            write!(formatter, "{separator}{attempt}")?;
        }
        Ok(())
    }
}

impl fmt::Display for AttemptReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptReport {
            upstream,
            zone,
            outcome,
            began,
            took,
            in_flight,
            reading,
            candidates,
            ..
        } = self;
        let (upstream, zone) = (name(upstream), name(zone));
        write!(
            formatter,
            "{upstream},{zone},{outcome},{began},{took},{in_flight},{reading},{candidates},"
        )?;
        if self.passed_over.is_empty() {
            return formatter.write_str(EMPTY);
        }
        for (number, (reason, count)) in self.passed_over.iter().enumerate() {
            let separator = if number == 0 { "" } else { "+" };
            write!(formatter, "{separator}{reason}*{count}")?;
        }
        Ok(())
    }
}

/// A name as a field's value: without what separates fields.
fn name(name: &str) -> String {
    if name.is_empty() {
        return EMPTY.to_owned();
    }
    name.chars()
        .map(|c| {
            if c.is_whitespace() || ",;+*=".contains(c) {
                '_'
            } else {
                c
            }
        })
        .collect()
}

impl FromStr for RequestReport {
    type Err = ReportError;

    /// Reads a line of a log from the mark on.
    fn from_str(line: &str) -> Result<Self, ReportError> {
        let (_, text) = line.split_once(MARK).ok_or(ReportError::Missing("cause"))?;
        let pairs: BTreeMap<&str, &str> = text
            .split_whitespace()
            .filter_map(|part| part.split_once('='))
            .collect();
        let field =
            |field: &'static str| pairs.get(field).copied().ok_or(ReportError::Missing(field));
        let first = match field("first")? {
            EMPTY => None,
            value => Some(read("first", value)?),
        };
        let attempts = match field("attempts")? {
            EMPTY => Vec::new(),
            value => value.split(';').map(str::parse).collect::<Result<_, _>>()?,
        };
        Ok(Self {
            cause: read_name("cause", field("cause")?)?,
            route: field("route")?.to_owned(),
            service: field("service")?.to_owned(),
            zone: field("zone")?.to_owned(),
            priority: read("priority", field("priority")?)?,
            total: read("total", field("total")?)?,
            first,
            pause: read("pause", field("pause")?)?,
            target: read("target", field("target")?)?,
            prompt: read("prompt", field("prompt")?)?,
            shared: read("shared", field("shared")?)?,
            attempts,
        })
    }
}

impl FromStr for AttemptReport {
    type Err = ReportError;

    fn from_str(text: &str) -> Result<Self, ReportError> {
        const FIELD: &str = "attempts";
        let parts: Vec<&str> = text.split(',').collect();
        let [
            upstream,
            zone,
            outcome,
            began,
            took,
            in_flight,
            reading,
            candidates,
            passed_over,
        ] = parts[..]
        else {
            return Err(ReportError::Invalid {
                field: FIELD,
                value: text.to_owned(),
            });
        };
        Ok(Self {
            upstream: upstream.to_owned(),
            zone: zone.to_owned(),
            outcome: read_name(FIELD, outcome)?,
            began: read(FIELD, began)?,
            took: read(FIELD, took)?,
            in_flight: read(FIELD, in_flight)?,
            reading: read(FIELD, reading)?,
            candidates: read(FIELD, candidates)?,
            passed_over: read_counts(FIELD, passed_over)?,
        })
    }
}

fn read<T: FromStr>(field: &'static str, value: &str) -> Result<T, ReportError> {
    value.parse().map_err(|_| ReportError::Invalid {
        field,
        value: value.to_owned(),
    })
}

fn read_name<T: Named>(field: &'static str, value: &str) -> Result<T, ReportError> {
    T::named(value).ok_or_else(|| ReportError::Invalid {
        field,
        value: value.to_owned(),
    })
}

fn read_counts(field: &'static str, value: &str) -> Result<BTreeMap<String, usize>, ReportError> {
    if value == EMPTY {
        return Ok(BTreeMap::new());
    }
    let read_count = |part: &str| {
        let (reason, count) = part.split_once('*').ok_or_else(|| ReportError::Invalid {
            field,
            value: value.to_owned(),
        })?;
        Ok((reason.to_owned(), read(field, count)?))
    };
    value.split('+').map(read_count).collect()
}
