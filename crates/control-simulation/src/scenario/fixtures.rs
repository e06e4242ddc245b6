//! Configurations and registrations for scenarios and tests.

use serde_json::json;
use woadstall_control::command::Command;
use woadstall_control::registry::{Registration, UpstreamStatus};

/// Concurrent requests that simulated upstreams take.
const CAPACITY: u64 = 4;

/// A configuration of a generation as JSON; those of one generation differ by their `variant`.
pub fn configuration(generation: u64, variant: u64) -> Vec<u8> {
    let document = json!({
        "generation": generation, "services": [{ "name": "s" }],
        "routes": [{
            "name": "r", "host": "h", "path_prefix": "/", "route_type": "safe",
            "timeout_ms": generation + variant, "service": "s",
        }],
    });
    serde_json::to_vec(&document).unwrap_or_default()
}

/// A command that puts the configuration of a generation on top of another one.
pub fn put(base: u64, generation: u64) -> Command {
    Command::Put {
        base,
        body: configuration(generation, 0),
    }
}

/// The registration of an upstream.
pub fn registration(id: &str, sequence: u64, status: UpstreamStatus) -> Registration {
    Registration {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.1.0.1:80".to_owned(),
        zone: "zone-0".to_owned(),
        capacity: CAPACITY,
        sequence,
        status,
        slow_start_remaining_ms: 0,
        termination_remaining_ms: 0,
        age_ms: 0,
    }
}
