//! The causes of reports and the outcomes of attempts, with their names in report lines.

use std::fmt;

/// The name written for a value that is missing in [`Named::NAMES`].
const UNNAMED: &str = "-";

/// The reason why a request is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The request was answered without error, but after the target latency of its route or with too
    /// long a gap between events of the response.
    TargetMissed,
    /// The request was answered in time, by a second upstream.
    Retried,
    /// The request was rejected and not executed.
    Rejected,
    /// The response was truncated, or there was no response although the request may have been
    /// executed.
    Failed,
    /// The deadline of the request passed.
    TimedOut,
    /// The upstream answered the request with an error.
    ErrorResponse,
    /// The client disconnected before the end of the response.
    ClientDisconnected,
    /// The response was truncated, and the balancer had not kept what it needs to resume the stream.
    NotResumed,
}

/// The outcome of an attempt of a request at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The upstream sent a complete response without error.
    Completed,
    /// The upstream sent an error response of its own.
    ErrorResponse,
    /// The upstream rejected the request.
    Rejected,
    /// Nothing was sent to the upstream.
    NotSent,
    /// The request was sent, but the connection broke before a response, or the response was
    /// invalid.
    NoResponse,
    /// The upstream's response was truncated.
    Truncated,
    /// The deadline of the request passed during the attempt.
    TimedOut,
    /// The client disconnected before the attempt ended.
    Cancelled,
}

/// A value that is written by its name in report lines.
pub(crate) trait Named: Copy + Eq + 'static {
    /// All values with their names.
    const NAMES: &'static [(Self, &'static str)];

    /// Returns the name of the value, or [`UNNAMED`] if it is missing in [`Self::NAMES`].
    fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(value, _)| *value == self)
            .map_or(UNNAMED, |(_, name)| name)
    }

    /// Returns the value with this name, if there is one.
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
        (Self::NotResumed, "not-resumed"),
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
