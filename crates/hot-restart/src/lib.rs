//! Hot restart: a new process takes over what the process before it has learned about latencies and upstreams.
//!
//! [`TransferredState`] is the document that crosses from one process to the other, and [`socket`] the Unix domain
//! socket that carries it. The two processes may run different versions of the program, so the form of the document
//! is versioned and checked.

pub mod socket;
mod state;

pub use state::{DecodeError, MAX_STATE_BYTES, TransferredState};
