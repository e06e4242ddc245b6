//! Runs `woadstall-membership` on sockets: UDP datagrams, TCP streams for messages that are long or
//! need reliable delivery, message authentication under a shared key, and reports for operators.
//! All conclusions about members are drawn in `woadstall-membership`.
//!
//! A member runs on its own thread, so that requests never wait for it. Received messages are
//! processed within a bounded fraction of the thread's time; messages beyond the bound are lost as
//! on a congested link, which the protocol tolerates.
//!
//! | module | owns |
//! |---|---|
//! | `service` | [`Membership`], the handle for the rest of the process |
//! | `shared` | state shared by the handle and the thread |
//! | `driver` | the event loop of the thread |
//! | `endpoint` | the state machine with authentication, counters and receive budget |
//! | `streams` | messages over TCP, and connection checks |
//! | `sockets` | binding of the address |
//! | `config`, `report`, `log` | configuration, reports and log lines for operators |

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

pub use config::{ConfigError, LoadKeysError, LoadSeedsError, MembershipConfig, ReadFileError};
pub use log::LogSink;
pub use report::{
    MemberReport, PathReport, RejectionCounters, Report, StateReport, ZonePathReport,
};
pub use service::{Membership, StartError};
