//! Stand-ins for what stands round a balancer, on loopback addresses and free ports. For tests only.

#![forbid(unsafe_code)]
#![allow(
    clippy::unwrap_used,
    reason = "started by tests only, where a panic is the report"
)]

pub mod grpc;
pub mod http1;
pub mod late;
pub mod nodo;
pub mod raw2;
pub mod system;
