//! Log lines of a balancer, and their rate limit.

use crate::api::{ServerId, Time};
use crate::tuning::LOG_INTERVAL;
use std::fmt;

/// An event that is logged.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LogEvent {
    /// A subscription to discovery failed; `failures` counts the failures in a row.
    SubscriptionFailed { failures: u32 },
    /// Calls began to leave the local zone, or to use it again.
    LocalZone {
        has_left: bool,
        healthy: usize,
        servers: usize,
        in_flight: u32,
        failure_rate: f64,
    },
    /// The circuit breaker of a server opened.
    BreakerOpened { server: ServerId, recent_opens: u32 },
    /// Load shedding began or ended. The latency is a part of the latency target.
    Shedding { began: bool, relative_latency: f64 },
}

impl LogEvent {
    /// Position of the event's kind in [`LogThrottle::next_at`].
    fn kind(self) -> usize {
        match self {
            Self::SubscriptionFailed { .. } => 0,
            Self::LocalZone { .. } => 1,
            Self::BreakerOpened { .. } => 2,
            Self::Shedding { .. } => 3,
        }
    }
}

impl fmt::Display for LogEvent {
    /// Writes the name of the event and its values as `key=value`. Latencies are written as a part
    /// of the latency target, and rates as a part of all calls.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::SubscriptionFailed { failures } => {
                write!(f, "subscription_failed consecutive_failures={failures}")
            }
            Self::LocalZone {
                has_left,
                healthy,
                servers,
                in_flight,
                failure_rate,
            } => {
                let event = if has_left {
                    "zone_left"
                } else {
                    "zone_used_again"
                };
                write!(f, "{event} healthy={healthy} servers={servers} ")?;
                write!(f, "in_flight={in_flight} failure_rate={failure_rate:.2}")
            }
            Self::BreakerOpened {
                server,
                recent_opens,
            } => {
                let server = server.0;
                write!(f, "circuit_breaker_opened server={server} ")?;
                write!(f, "recent_opens={recent_opens}")
            }
            Self::Shedding {
                began,
                relative_latency,
            } => {
                let event = if began {
                    "load_shedding_began"
                } else {
                    "load_shedding_ended"
                };
                write!(f, "{event} relative_latency={relative_latency:.2}")
            }
        }
    }
}

/// Rate limit of the log: one line of each kind per [`LOG_INTERVAL`].
#[derive(Debug, Default)]
pub(crate) struct LogThrottle {
    next_at: [Time; 4],
}

impl LogThrottle {
    /// Whether an event may be logged at `now`. If so, the interval of its kind starts anew.
    pub fn admits(&mut self, event: LogEvent, now: Time) -> bool {
        let next_at = &mut self.next_at[event.kind()];
        let admitted = now >= *next_at;
        if admitted {
            *next_at = now + LOG_INTERVAL;
        }
        admitted
    }
}
