//! Why an upstream that is allowed for a request is not preferred for it.

use std::fmt;

/// Why a request skips an upstream that it may go to.
///
/// The order of the variants is the order in which the reasons are checked and reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SkipReason {
    /// Its circuit breaker is open.
    BreakerOpen,
    /// Nothing has come from it for too long while requests of this balancer are pending there.
    Unresponsive,
    /// Other balancers of the zone report that it fails.
    ReportedFailing,
    /// All of its zone seems to be down.
    ZoneOutage,
    /// It rejected a request for lack of capacity a moment ago.
    Saturated,
    /// It has as many requests of this balancer in flight as this balancer's share of its capacity
    /// allows.
    OverConcurrencyLimit,
    /// It is warming up, and this balancer's quota of requests to it is used up.
    WarmingUp,
}

impl fmt::Display for SkipReason {
    /// Writes the name that request reports carry.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::BreakerOpen => "tripped",
            Self::Unresponsive => "silent",
            Self::ReportedFailing => "told-failing",
            Self::ZoneOutage => "lost-zone",
            Self::Saturated => "full",
            Self::OverConcurrencyLimit => "over-limit",
            Self::WarmingUp => "cold",
        })
    }
}
