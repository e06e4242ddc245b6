//! The document that is transferred. Classes and upstreams go by name and times are lengths, since the two processes
//! have positions and clocks of their own.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use woadstall_decisions::api::{
    Duration, LearnedLatency, LearnedServer, LearnedState, ServerId, Time,
};

#[cfg(test)]
mod tests;

/// The version that is written, and the only one that is read: what another one means is not guessed.
const VERSION: u32 = 1;

/// Largest document, in bytes: some 20,000 upstreams. Bounds the memory.
pub const MAX_STATE_BYTES: usize = 4 << 20;

/// Why a document could not be decoded. The text names the field, and nothing of the document is used.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// It is not JSON, or has no version.
    #[error("state: {0}")]
    Syntax(#[source] serde_json::Error),
    /// Another version of the form.
    #[error("state: `version` is {found}, and only {VERSION} can be read")]
    UnsupportedVersion {
        /// The version of the document.
        found: u32,
    },
    /// A field is missing or of another type.
    #[error("state: {0}")]
    Field(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// A figure is negative or not finite.
    #[error("state: `{field}` is {value}")]
    InvalidNumber {
        /// Path of the field.
        field: String,
        /// Its value.
        value: f64,
    },
    /// A ratio lies outside 0 to 1.
    #[error("state: `{field}` is {value}, not between 0 and 1")]
    InvalidRatio {
        /// Path of the field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
}

/// What a process has learned, as its successor gets it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredState {
    version: u32,
    /// Latency by class.
    classes: BTreeMap<String, LatencyEstimate>,
    /// Latency over all classes.
    overall: LatencyEstimate,
    /// Responses a second.
    rate: f64,
    /// Responses counted lately, decayed.
    answers: f64,
    /// Requests in flight meanwhile, each weighted by one over its latency target, decayed over the same time.
    #[serde(rename = "held")]
    in_flight: f64,
    /// Ratio of attempts that fail, 0 to 1.
    #[serde(rename = "failing")]
    failure_ratio: f64,
    upstreams: BTreeMap<String, UpstreamRecord>,
}

/// A latency in nanoseconds, and the calls that it rests on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct LatencyEstimate {
    mean: f64,
    deviation: f64,
    /// The mean without load.
    #[serde(rename = "calm")]
    unloaded: f64,
    calls: u32,
}

/// What is known of one process of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct UpstreamRecord {
    /// When the process started, in Unix nanoseconds: the record does not hold for another process.
    #[serde(rename = "started", skip_serializing_if = "Option::is_none")]
    started_at: Option<Time>,
    /// Latency of its calls as a multiple of their class's mean.
    #[serde(rename = "slowness")]
    latency_ratio: f64,
    /// How often its circuit breaker opened lately.
    #[serde(rename = "opens")]
    breaker_openings: u32,
    /// For how much longer the breaker stays open, in nanoseconds; `None` if it is closed.
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
    /// The record as the decision module takes it, under the number that the upstream has here.
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
    /// What was learned, under the names of classes and upstreams. What has no name is left out.
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
            rate: learned.responses_per_second,
            answers: learned.responses,
            in_flight: learned.pending,
            failure_ratio: learned.failure_rate,
            upstreams: upstreams.collect(),
        }
    }

    /// What was learned, of the classes and upstreams that are known here.
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
            responses_per_second: self.rate,
            responses: self.answers,
            pending: self.in_flight,
            failure_rate: self.failure_ratio,
            servers: servers.collect(),
        }
    }

    /// Encodes the document as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Cannot fail: all keys are text, and figures that are not finite become `null`.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a document.
    ///
    /// # Errors
    ///
    /// Fails if the document is not JSON of the version that is known here, or holds a figure that makes no sense.
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

    /// Checks that figures make sense.
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
        check_number(|| "rate".to_owned(), self.rate)?;
        check_number(|| "answers".to_owned(), self.answers)?;
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

/// Checks that a figure is finite and not negative. The path of its field is made only for the error.
fn check_number(field: impl FnOnce() -> String, value: f64) -> Result<(), DecodeError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(DecodeError::InvalidNumber {
        field: field(),
        value,
    })
}
