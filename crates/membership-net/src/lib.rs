//! `woadstall-membership` on sockets: UDP datagrams, TCP streams for messages that are longer or
//! have to arrive, message authentication under a shared key, and reports for operators. Nothing
//! here concludes who is a member.
//!
//! A member runs on a thread of its own, so that no request waits for it, and spends a bounded
//! fraction of its time on what it receives: what is beyond that is lost, as on a congested link,
//! which the protocol is made for.
//!
//! | module | owns |
//! |---|---|
//! | `service` | [`Membership`], the handle that the process has |
//! | `shared` | what the handle and the thread share |
//! | `driver` | the thread's event loop: sockets, timers |
//! | `endpoint` | the protocol's state machine with authentication, counters and budget |
//! | `streams` | messages over TCP, and connection checks |
//! | `sockets` | binding |
//! | `config`, `report`, `log` | what operators write and read |

mod config;
mod driver;
mod endpoint;
mod log;
mod receive_budget;
mod report;
mod service;
mod shared;
mod sockets;
mod streams;

pub use config::{ConfigError, KeyFileFault, MembershipConfig, ReadError, SeedsFileFault};
pub use log::LogSink;
pub use report::{
    MemberReport, PathReport, RejectionCounters, Report, StateReport, ZonePathReport,
};
pub use service::{Membership, StartError};
