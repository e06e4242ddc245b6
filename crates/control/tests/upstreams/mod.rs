//! What upstreams say of themselves.

use woadstall_control::registry::{Registration, UpstreamStatus};

/// The heartbeat of one upstream with a number.
pub fn registration(sequence: u64, status: UpstreamStatus) -> Registration {
    Registration {
        id: "i-1".to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".to_owned(),
        capacity: 4,
        sequence,
        status,
        slow_start_remaining_ms: 0,
        remaining_ms: 0,
        age_ms: 0,
    }
}
