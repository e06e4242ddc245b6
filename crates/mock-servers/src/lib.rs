//! Mock servers and processes for tests: upstreams over HTTP/1.1, HTTP/2 and gRPC, discovery, callers, and the serving
//! system's own processes. All listen on loopback addresses and free ports. Their functions panic where a socket fails:
//! in a test the panic is the report.

#![allow(
    clippy::unwrap_used,
    clippy::missing_panics_doc,
    reason = "started by tests only, where a panic is the report"
)]

pub mod grpc;
pub mod http1;
pub mod raw_http2;
pub mod simulated_upstream;
pub mod stalled_listener;
pub mod system;
