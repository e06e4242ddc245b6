//! Hot restart: a new process takes over the latency and upstream statistics learned by its predecessor.
//!
//! [`TransferredState`] is the transferred document; [`socket`] transfers it over a Unix domain socket. The two
//! processes may run different versions of the program, so the document's format is versioned and each document is
//! validated.

pub mod socket;
mod state;

pub use state::{DecodeError, MAX_STATE_BYTES, TransferredState};
