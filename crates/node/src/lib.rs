//! Processes of woadstall's serving system and command-line tools for operators.
//!
//! - `front` forwards client requests to upstreams.
//! - `core` stores the configuration, the upstream registrations and the membership, and provides
//!   them to fronts.
//!
//! This crate performs all I/O: sockets, disks, signals and clocks. The decision logic is in crates
//! without I/O: `woadstall-control` (state of a control machine), `woadstall-consensus` (replicated
//! log) and `woadstall-routing` (selection of upstreams).

pub mod cli;
mod core;
mod error;
mod front;
#[cfg(test)]
mod golden;
mod http_server;
mod packet_stream;
pub mod settings;
mod time;
