//! Settings of the measured daemon and plug-in.

use crate::error::BenchmarkError;
use serde_json::{Value, json};
use std::net::SocketAddr;
use woadstall_tower::{Balance, EndpointList};

/// Latency target of every class: 600 ms.
const LATENCY_TARGET_NS: u64 = 600_000_000;
/// Deadline of every class: 1.5 s.
const DEADLINE_NS: u64 = 1_500_000_000;

/// Sets the latency target and the deadline of all classes to values far above the duration of a measured call.
pub fn set_benchmark_times(settings: &mut Value) {
    for class in settings["Classes"].as_array_mut().into_iter().flatten() {
        class["AimNs"] = LATENCY_TARGET_NS.into();
        class["DeadlineNs"] = DEADLINE_NS.into();
    }
}

/// Starts a plug-in over HTTP/2 with a fixed list of upstreams.
///
/// # Errors
///
/// Returns [`BenchmarkError::Plugin`] if the plug-in does not start.
pub fn start_plugin(upstreams: &[SocketAddr]) -> Result<Balance, BenchmarkError> {
    let mut settings =
        woadstall_mock_servers::http1::config(([127, 0, 0, 1], 1).into(), &[])["settings"].clone();
    set_benchmark_times(&mut settings);
    let target = |(number, address): (usize, &SocketAddr)| {
        json!({"uid": format!("s-{number}"), "endpoint": address.to_string(), "az": "a",
            "state": "in_service"})
    };
    let targets: Vec<_> = upstreams.iter().enumerate().map(target).collect();
    let known: EndpointList =
        serde_json::from_value(json!({"rev": 1, "all": true, "targets": targets}))?;
    Ok(Balance::builder()
        .settings(settings.to_string().as_bytes())?
        .known_endpoints(known)
        .build()?)
}
