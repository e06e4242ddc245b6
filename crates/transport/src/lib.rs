//! Connections to upstreams, and what the end of an attempt on them proves. HTTP/1.1 always; HTTP/2 with the
//! feature `http2`.

#![forbid(unsafe_code)]

mod classify;
mod http1;
#[cfg(feature = "http2")]
mod http2;
#[cfg(feature = "http2")]
mod outbound;
mod shared;
mod stream;

pub use classify::code;
pub use http1::{
    Answer, Connection, Counts, Http1, Outgoing, Progress, closes, is_local, load_report,
};
#[cfg(feature = "http2")]
pub use http2::{Http2, Inbound, InboundError, Limits, grpc_timeout_of};
#[cfg(feature = "http2")]
pub use outbound::{BodyError, Outbound};
pub use shared::{end_to_end, is_grpc, lock, named_by_connection};
pub use stream::SharedStream;
