//! Reasons for which a request skips an upstream that its route allows.

use std::fmt;

/// Reason for which a request skips an upstream that its route allows.
///
/// The variants are in the order in which the router checks and reports them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SkipReason {
    /// The circuit breaker of the upstream is open.
    BreakerOpen,
    /// The upstream has pending requests of this balancer and has sent no data for longer than the
    /// response timeout.
    Unresponsive,
    /// Other balancers of the zone report the upstream as failing.
    ReportedFailing,
    /// The zone of the upstream appears to be down as a whole.
    ZoneOutage,
    /// The upstream recently rejected a request for lack of capacity.
    Saturated,
    /// The upstream has as many requests of this balancer in flight as the balancer's share of its
    /// capacity allows.
    OverConcurrencyLimit,
    /// The upstream is warming up, and this balancer has used up its request quota for it.
    WarmingUp,
}

impl fmt::Display for SkipReason {
    /// Writes the name of the reason that appears in request reports.
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
