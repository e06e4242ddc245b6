//! Why a request is reported, and how its attempts have ended, with the names that report lines
//! have for that.

use std::fmt;

/// Stands for a value without a name.
const UNNAMED: &str = "-";

/// Why a request is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Answered well, but after its route's target latency, or with too long a gap between events.
    TargetMissed,
    /// Answered in time, by a second upstream.
    Retried,
    /// Rejected; it was not executed.
    Rejected,
    /// There was no response though it may have been executed, or the response was truncated.
    Failed,
    /// Its deadline passed.
    TimedOut,
    /// Its upstream responded with an error.
    ErrorResponse,
    /// Its client disconnected.
    ClientDisconnected,
}

/// How an attempt at one upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// A complete response that is no error.
    Completed,
    /// The upstream's own error response.
    ErrorResponse,
    /// The upstream rejected the request.
    Rejected,
    /// Nothing was sent.
    NotSent,
    /// It was sent, and the connection broke before a response, or the response was invalid.
    NoResponse,
    /// The response was truncated.
    Truncated,
    /// The deadline passed.
    TimedOut,
    /// The client disconnected first.
    Cancelled,
}

/// A value that report lines write by a name.
pub(crate) trait Named: Copy + Eq + 'static {
    /// The name of each value.
    const NAMES: &'static [(Self, &'static str)];

    /// The value's name.
    fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(value, _)| *value == self)
            .map_or(UNNAMED, |(_, name)| name)
    }

    /// The value with this name.
    fn from_name(name: &str) -> Option<Self> {
        Self::NAMES
            .iter()
            .find(|(_, other)| *other == name)
            .map(|(value, _)| *value)
    }
}

impl Named for Cause {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::TargetMissed, "late"),
        (Self::Retried, "repeated"),
        (Self::Rejected, "refused"),
        (Self::Failed, "failed"),
        (Self::TimedOut, "timed-out"),
        (Self::ErrorResponse, "error-answer"),
        (Self::ClientDisconnected, "client-left"),
    ];
}

impl Named for AttemptOutcome {
    const NAMES: &'static [(Self, &'static str)] = &[
        (Self::Completed, "answered"),
        (Self::ErrorResponse, "error-answer"),
        (Self::Rejected, "rejected"),
        (Self::NotSent, "not-sent"),
        (Self::NoResponse, "broken"),
        (Self::Truncated, "broken-off"),
        (Self::TimedOut, "timed-out"),
        (Self::Cancelled, "abandoned"),
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
