//! Time limits of calls to discovery, and pauses between calls.

use fastrand::Rng;
use std::time::Duration;

/// Wait of a long poll to an agent on the local machine, where polls are cheap. The platform considers a change
/// delivered 6 s after a poll became unresponsive, so even a second consecutive unresponsive call must time out well
/// before that.
const AGENT_POLL_WAIT: Duration = Duration::from_secs(1);
/// Minimum wait of a long poll to a central service; with long waits, the service gets fewer calls. Each poll draws its
/// wait between the minimum and [`MAX_SERVICE_POLL_WAIT`]. The service processes calls one after another, and with
/// equal waits the calls of load balancers that started together, or whose polls became unresponsive together, would
/// coincide again and again.
const MIN_SERVICE_POLL_WAIT: Duration = Duration::from_secs(10);
/// Maximum wait of a long poll to a central service; see [`MIN_SERVICE_POLL_WAIT`].
const MAX_SERVICE_POLL_WAIT: Duration = Duration::from_secs(20);
/// Time after the end of its wait at which a long poll times out. The platform considers a change delivered 2 s after
/// the end of the wait; by then, the next call must have completed, queued behind calls of other load balancers.
const POLL_GRACE: Duration = Duration::from_millis(750);
/// Time limit of a call for the complete list.
const COMPLETE_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of establishing a connection. Without it, a connection attempt could last as long as a poll and delay the
/// use of a service that has recovered.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Backoff after the first failed call to an agent. Each further consecutive failure doubles it, up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff after a failed call to an agent. It is short because the platform considers pending changes
/// delivered as soon as the agent is available again.
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum number of doublings of the backoff; prevents overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Pause after a call that returned nothing new. Prevents a busy loop with an agent that responds without waiting or
/// with outdated revisions, and is short enough to keep the watch up to date.
pub const IDLE_BACKOFF: Duration = Duration::from_millis(50);

/// A call to discovery.
pub struct Call {
    /// Path and query.
    pub path: String,
    /// Time limit of the call.
    pub timeout: Duration,
}

impl Call {
    /// Creates a call for the complete list.
    pub fn complete_list() -> Self {
        Self {
            path: "/v1/servers".to_owned(),
            timeout: COMPLETE_LIST_TIMEOUT,
        }
    }

    /// Creates a long poll for changes after a revision.
    pub fn long_poll(revision: u64, wait: Duration) -> Self {
        let wait_ms = wait.as_millis();
        Self {
            path: format!("/v1/servers?after={revision}&wait_ms={wait_ms}"),
            timeout: wait + POLL_GRACE,
        }
    }
}

/// Returns the wait of the next long poll. Draws a random number only if a central service is polled (`on_demand`).
pub fn poll_wait(on_demand: bool, random: &mut Rng) -> Duration {
    if !on_demand {
        return AGENT_POLL_WAIT;
    }
    let range = MAX_SERVICE_POLL_WAIT - MIN_SERVICE_POLL_WAIT;
    MIN_SERVICE_POLL_WAIT + range.mul_f64(random.f64())
}

/// Returns the pause after this number of consecutive failed calls.
pub fn backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    FIRST_BACKOFF
        .saturating_mul(1 << doublings)
        .min(MAX_BACKOFF)
}
