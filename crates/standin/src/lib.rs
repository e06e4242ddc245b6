//! Stand-ins for what stands round a balancer, on loopback addresses and free ports. For tests only.

#![forbid(unsafe_code)]

pub mod http1;
