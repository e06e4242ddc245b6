//! Relays on loopback through which the processes of a test reach each other, with faults by ordered pair: delay,
//! jitter, loss, duplication, reordering, limits of rate, cuts of one way or both, resets; TCP and UDP.
//!
//! The processes know nothing of it: they are told, or announce, addresses that lead through it, as they would
//! behind an address translator. [`shape`] says when bytes come out, without input or output; the rest is sockets.
//! `docs/cluster-test.md` has what this cannot show.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fabric;
mod hub;
pub mod shape;
mod tcp;
mod udp;

pub use fabric::{Counts, Fabric, Party};
pub use shape::{Way, WayError};
