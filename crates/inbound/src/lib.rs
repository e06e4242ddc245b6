//! Sockets of clients, shared by the balancer and the system's front: a gate that hands on one request at a time, and
//! closes that lose nothing of what was written.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod gate;
mod linger;
mod listen;
mod room;

pub use gate::{Gate, MOST_HEAD, Seen, lock};
pub use linger::Lingering;
pub use listen::listen;
pub use room::BodyRoom;
