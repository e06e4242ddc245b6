//! Connections to upstreams, and what the end of an attempt on them proves. HTTP/1.1 always; HTTP/2 with the feature
//! `http2`.

mod classify;
mod headers;
mod http1;
#[cfg(feature = "http2")]
mod http2;
#[cfg(feature = "http2")]
mod outbound_request;
mod shared_stream;
mod sync;

pub use classify::grpc_status;
pub use headers::{connection_options, is_grpc, remove_hop_by_hop_headers};
pub use http1::{
    Connection, ConnectionCounts, Http1, Http1Body, Progress, RequestBody, closes_connection,
    is_local_resource_error, load_report,
};
#[cfg(feature = "http2")]
pub use http2::{Http2, Http2Limits, ResponseBody, ResponseBodyError, grpc_timeout_of};
#[cfg(feature = "http2")]
pub use outbound_request::{BodyError, OutboundRequest};
pub use shared_stream::SharedStream;
pub use sync::lock;
