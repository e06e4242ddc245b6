//! The list of upstreams as discovery gives it, and a client that follows it by long polling over HTTP/1.1.

#![forbid(unsafe_code)]

mod client;
mod listing;

pub use client::{Follow, Update, follow};
pub use listing::{Listing, State, Target};
