//! Tests of coordination groups in virtual time, on a simulated network.

mod calls;
#[path = "../support/mod.rs"]
mod calls_support;
mod cluster;
mod leadership;
mod lease_clock;
mod watches;
