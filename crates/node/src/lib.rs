//! The processes of woadstall's serving system, and the commands that operators have for them.
//!
//! - `front` forwards clients' requests to upstreams.
//! - `core` holds the configuration, the registrations and the membership that fronts need.
//!
//! This crate has the sockets, disks, signals and clocks. The decisions are in crates without I/O:
//! `woadstall-control` (state of a control machine), `woadstall-consensus` (replicated log) and
//! `woadstall-routing` (choice of an upstream).

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
