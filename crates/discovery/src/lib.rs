//! Service discovery: the endpoint list in the platform's JSON format, and a client that watches the list by long
//! polling over HTTP/1.1.

mod connection;
mod endpoints;
mod failures;
mod timing;
mod watch;

pub use connection::CallError;
pub use endpoints::{Endpoint, EndpointList, EndpointState};
pub use failures::{FailedCall, FailureNotice};
pub use watch::{WatchConfig, WatchEvent, watch_endpoints};
