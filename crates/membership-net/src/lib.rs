//! `woadstall-membership` on sockets: UDP datagrams, TCP for what is longer or has to arrive, seals under a shared key,
//! and what operators read of it. Nothing here judges who is there.
//!
//! It runs on a thread of its own, so that nothing of it is waited for by calls, and spends a bounded part of its time
//! on what comes in: what is beyond that gets lost, as on a full line, and the members are made to bear that.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod core;
mod report;
mod setup;
mod shell;
mod streams;

pub use report::{Counts, Report, Row, Ways};
pub use setup::Setup;
pub use shell::{Instances, Log};
