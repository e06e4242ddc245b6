//! Machines of the coordination group, wired by hand in virtual time.

mod calls;
#[path = "../support/mod.rs"]
mod calls_support;
mod cluster;
mod leadership;
mod lease_clock;
mod watches;
