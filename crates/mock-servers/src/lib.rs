//! Stand-ins for what stands round a balancer, on loopback addresses and free ports. For tests only.

#![forbid(unsafe_code)]

pub mod grpc;
pub mod http1;
pub mod late;
pub mod nodo;
pub mod raw2;
pub mod system;
