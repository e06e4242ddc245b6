//! Mock servers and processes for tests: upstreams over HTTP/1.1, HTTP/2 and gRPC, discovery, callers, and the
//! processes of the serving system. All of them listen on loopback addresses and free ports. The functions panic if a
//! socket fails, so that the test reports the failure.

#![allow(
    clippy::unwrap_used,
    clippy::missing_panics_doc,
    reason = "used in tests only, where a panic reports the failure"
)]

pub mod grpc;
pub mod http1;
pub mod raw_http2;
pub mod simulated_upstream;
pub mod stalled_listener;
pub mod system;
