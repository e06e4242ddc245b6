//! The processes of woadstall's serving system: `front` carries clients' requests to upstreams, `core` keeps what the
//! fronts need to know. Sockets, disks and clocks are here; what decides is in `woadstall-control`, `woadstall-consensus` and
//! `woadstall-routing`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command_line;
pub mod core;
mod flags;
pub mod front;
pub mod link;
pub mod settings;
pub mod watch;
pub mod why;
