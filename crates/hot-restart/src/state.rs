//! The transferred document. Classes and upstreams are identified by name, since positions and ids differ between the
//! two processes. Times are given as durations, since the clocks differ, except for the start times of upstream
//! processes.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use woadstall_decisions::api::{
    Duration, LearnedLatency, LearnedServer, LearnedState, ServerId, Time,
};

#[cfg(test)]
mod tests;

/// Version of the document's format. Documents of other versions are rejected, since their fields may mean something
/// else.
const VERSION: u32 = 1;

/// Maximum size of a document, in bytes; enough for about 20,000 upstreams. Bounds memory use.
pub const MAX_STATE_BYTES: usize = 4 << 20;

/// The error of a document that could not be decoded. The message names the invalid field. No part of the document is
/// used.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The document is not JSON or has no version.
    #[error("state: {0}")]
    Syntax(#[source] serde_json::Error),
    /// The document has an unsupported version.
    #[error("state: `version` is {found}, and only {VERSION} can be read")]
    UnsupportedVersion {
        /// The version of the document.
        found: u32,
    },
    /// A field is missing or has the wrong type.
    #[error("state: {0}")]
    Field(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// A number is negative or not finite.
    #[error("state: `{field}` is {value}")]
    InvalidNumber {
        /// Path of the field.
        field: String,
        /// Its value.
        value: f64,
    },
    /// A ratio is outside the range from 0 to 1.
    #[error("state: `{field}` is {value}, not between 0 and 1")]
    InvalidRatio {
        /// Path of the field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
}

/// The learned state in the form that is transferred to the successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredState {
    version: u32,
    /// Latency of each class, by name.
    classes: BTreeMap<String, LatencyEstimate>,
    /// Latency over all classes.
    overall: LatencyEstimate,
    /// Rate of successful responses.
    #[serde(rename = "rate")]
    responses_per_second: f64,
    /// Exponentially decayed number of responses.
    #[serde(rename = "answers")]
    responses: f64,
    /// Time integral of the number of requests in flight, each weighted by the inverse of its latency target; decays
    /// like the number of responses.
    #[serde(rename = "held")]
    in_flight: f64,
    /// Ratio of failed attempts, from 0 to 1.
    #[serde(rename = "failing")]
    failure_ratio: f64,
    upstreams: BTreeMap<String, UpstreamRecord>,
}

/// A latency estimate in nanoseconds, and the number of calls that it is based on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct LatencyEstimate {
    mean: f64,
    /// Mean deviation from the mean.
    deviation: f64,
    /// Mean latency without load.
    #[serde(rename = "calm")]
    unloaded: f64,
    calls: u32,
}

/// Statistics of one upstream process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct UpstreamRecord {
    /// Start time of the process, in Unix nanoseconds. Identifies the process, since the record does not apply to any
    /// other process.
    #[serde(rename = "started", skip_serializing_if = "Option::is_none")]
    started_at: Option<Time>,
    /// Latency of calls to the upstream, relative to the mean of their class.
    #[serde(rename = "slowness")]
    latency_ratio: f64,
    /// Number of recent openings of the upstream's circuit breaker.
    #[serde(rename = "opens")]
    breaker_openings: u32,
    /// Remaining time until the circuit breaker may close, in nanoseconds; `None` if the breaker is closed.
    #[serde(rename = "open_for", skip_serializing_if = "Option::is_none")]
    breaker_open_for: Option<Duration>,
}

impl From<LearnedLatency> for LatencyEstimate {
    fn from(learned: LearnedLatency) -> Self {
        Self {
            mean: learned.mean,
            deviation: learned.mean_deviation,
            unloaded: learned.baseline,
            calls: learned.calls,
        }
    }
}

impl From<LatencyEstimate> for LearnedLatency {
    fn from(estimate: LatencyEstimate) -> Self {
        Self {
            mean: estimate.mean,
            mean_deviation: estimate.deviation,
            baseline: estimate.unloaded,
            calls: estimate.calls,
        }
    }
}

impl From<&LearnedServer> for UpstreamRecord {
    fn from(learned: &LearnedServer) -> Self {
        Self {
            started_at: learned.started,
            latency_ratio: learned.slowness,
            breaker_openings: learned.recent_opens,
            breaker_open_for: learned.open_for,
        }
    }
}

impl UpstreamRecord {
    /// Converts the record to the form of the decision module, with the upstream's id in this process.
    fn learned(&self, server: ServerId) -> LearnedServer {
        LearnedServer {
            server,
            started: self.started_at,
            slowness: self.latency_ratio,
            recent_opens: self.breaker_openings,
            open_for: self.breaker_open_for,
        }
    }
}

impl TransferredState {
    /// Converts learned state to a document. Classes and upstreams without a name are omitted.
    pub fn new<'a>(
        learned: &LearnedState,
        class_name: impl Fn(usize) -> Option<&'a str>,
        upstream_name: impl Fn(ServerId) -> Option<String>,
    ) -> Self {
        let classes = learned.classes.iter().filter_map(|(position, latency)| {
            Some((class_name(*position)?.to_owned(), (*latency).into()))
        });
        let upstreams = learned
            .servers
            .iter()
            .filter_map(|server| Some((upstream_name(server.server)?, server.into())));
        Self {
            version: VERSION,
            classes: classes.collect(),
            overall: learned.overall.into(),
            responses_per_second: learned.responses_per_second,
            responses: learned.responses,
            in_flight: learned.pending,
            failure_ratio: learned.failure_rate,
            upstreams: upstreams.collect(),
        }
    }

    /// Converts the document to learned state. Classes and upstreams unknown to this process are omitted.
    pub fn learned(
        &self,
        class_position: impl Fn(&str) -> Option<usize>,
        upstream_id: impl Fn(&str) -> Option<ServerId>,
    ) -> LearnedState {
        let classes = self
            .classes
            .iter()
            .filter_map(|(name, latency)| Some((class_position(name)?, (*latency).into())));
        let servers = self
            .upstreams
            .iter()
            .filter_map(|(name, record)| Some(record.learned(upstream_id(name)?)));
        LearnedState {
            classes: classes.collect(),
            overall: self.overall.into(),
            responses_per_second: self.responses_per_second,
            responses: self.responses,
            pending: self.in_flight,
            failure_rate: self.failure_ratio,
            servers: servers.collect(),
        }
    }

    /// Encodes the document as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Cannot fail: all keys are strings, and numbers that are not finite become `null`.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a document.
    ///
    /// # Errors
    ///
    /// Fails if the document is not valid JSON of the supported version or contains a number outside its range.
    pub fn decode(document: &[u8]) -> Result<Self, DecodeError> {
        #[derive(Deserialize)]
        struct Version {
            version: u32,
        }
        let Version { version: found } =
            serde_json::from_slice(document).map_err(DecodeError::Syntax)?;
        if found != VERSION {
            return Err(DecodeError::UnsupportedVersion { found });
        }
        let mut deserializer = serde_json::Deserializer::from_slice(document);
        let state: Self =
            serde_path_to_error::deserialize(&mut deserializer).map_err(DecodeError::Field)?;
        state.check()?;
        Ok(state)
    }

    /// Checks that all numbers are within their ranges.
    fn check(&self) -> Result<(), DecodeError> {
        for (class, latency) in &self.classes {
            latency.check(&format!("classes.{class}"))?;
        }
        self.overall.check("overall")?;
        for (name, record) in &self.upstreams {
            check_number(
                || format!("upstreams.{name}.slowness"),
                record.latency_ratio,
            )?;
        }
        check_number(|| "rate".to_owned(), self.responses_per_second)?;
        check_number(|| "answers".to_owned(), self.responses)?;
        check_number(|| "held".to_owned(), self.in_flight)?;
        match self.failure_ratio {
            0.0..=1.0 => Ok(()),
            value => Err(DecodeError::InvalidRatio {
                field: "failing",
                value,
            }),
        }
    }
}

impl LatencyEstimate {
    fn check(&self, path: &str) -> Result<(), DecodeError> {
        check_number(|| format!("{path}.mean"), self.mean)?;
        check_number(|| format!("{path}.deviation"), self.deviation)?;
        check_number(|| format!("{path}.calm"), self.unloaded)
    }
}

/// Checks that a number is finite and not negative. The path of the field is built only for the error.
fn check_number(field: impl FnOnce() -> String, value: f64) -> Result<(), DecodeError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(DecodeError::InvalidNumber {
        field: field(),
        value,
    })
}
