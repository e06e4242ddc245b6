//! Connections to upstreams over HTTP/1.1 and, with the feature `http2`, over HTTP/2.
//!
//! Each attempt ends with an outcome that says whether the upstream can have executed the request. The decision
//! module retries a request that must not run twice only if the outcome rules that out.

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
