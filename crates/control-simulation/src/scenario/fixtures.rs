//! Configurations and registrations for scenarios and tests.

use serde_json::json;
use woadstall_control::command::Command;
use woadstall_control::registry::{Registration, UpstreamStatus};

/// Number of concurrent requests that a simulated upstream accepts.
const CAPACITY: u64 = 4;

/// A configuration as JSON. Configurations of the same generation differ by their `variant`.
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

/// A command that replaces the configuration of generation `base` by one of `generation`.
pub fn put(base: u64, generation: u64) -> Command {
    Command::Put {
        base,
        body: configuration(generation, 0),
    }
}

/// The registration of an upstream of the service that [`configuration`] defines.
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
