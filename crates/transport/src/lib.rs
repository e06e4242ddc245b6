//! Connections to upstreams, and what the end of an attempt on them proves.

#![forbid(unsafe_code)]

mod http1;

pub use http1::{Http1, is_local, load_report};
