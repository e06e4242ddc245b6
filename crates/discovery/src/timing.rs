//! How long calls to discovery may take, and how long the pauses between them are.

use fastrand::Rng;
use std::time::Duration;

/// How long a long poll may wait where an agent on the own machine responds, at no cost. A change counts as notified 6 s
/// after a poll became unresponsive: even the second unresponsive call in a row must be given up well before.
const PUSHED_WAIT: Duration = Duration::from_secs(1);
/// How long a long poll may wait where one service responds to all balancers, which spares it calls. Each poll draws its
/// own wait between these: the service works through calls in turn, and those of balancers that started together, or
/// whose polls became unresponsive together, would come together again and again.
const MIN_POLLED_WAIT: Duration = Duration::from_secs(10);
const MAX_POLLED_WAIT: Duration = Duration::from_secs(20);
/// Time beyond its wait after which a poll has failed. A change counts as notified 2 s after that wait, and the next call
/// has to come through until then, behind those of others.
const POLL_GRACE: Duration = Duration::from_millis(750);
/// How long a call for the complete list may take.
const COMPLETE_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may take to be established: an attempt that goes on for the time of a poll would hide a service
/// that is back.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Backoff after the first failed call in a row to an agent, doubling with each up to the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after a failed call to an agent. What it has counts as notified the moment it is back.
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// Most doublings of the backoff, so that it does not overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Pause before the next call where the last one brought nothing new: an agent that does not wait, or returns nonsense,
/// would be polled in a loop. Short enough for the watch to go on.
pub const IDLE_BACKOFF: Duration = Duration::from_millis(50);

/// One call: its path, and how long it may take.
pub struct Call {
    /// Path and query.
    pub path: String,
    /// When it has failed.
    pub timeout: Duration,
}

impl Call {
    /// A call for the complete list.
    pub fn complete_list() -> Self {
        Self {
            path: "/v1/servers".to_owned(),
            timeout: COMPLETE_LIST_TIMEOUT,
        }
    }

    /// A long poll for what comes after a revision.
    pub fn long_poll(revision: u64, wait: Duration) -> Self {
        let wait_ms = wait.as_millis();
        Self {
            path: format!("/v1/servers?after={revision}&wait_ms={wait_ms}"),
            timeout: wait + POLL_GRACE,
        }
    }
}

/// How long a long poll waits. Draws a number where one service responds to all balancers (`on_demand`).
pub fn poll_wait(on_demand: bool, random: &mut Rng) -> Duration {
    if !on_demand {
        return PUSHED_WAIT;
    }
    let range = MAX_POLLED_WAIT - MIN_POLLED_WAIT;
    MIN_POLLED_WAIT + range.mul_f64(random.f64())
}

/// How long to wait after so many failed calls in a row.
pub fn backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    FIRST_BACKOFF
        .saturating_mul(1 << doublings)
        .min(MAX_BACKOFF)
}
