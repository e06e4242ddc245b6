//! What a process hands to its successor at an upgrade: [`State`] is its form, [`socket`] how it gets there.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod socket;
mod state;

pub use state::{MOST_BYTES, State};
