//! Service discovery: the list of endpoints in the platform's JSON form, and a client that watches it by long polling
//! over HTTP/1.1.

mod connection;
mod endpoints;
mod failures;
mod timing;
mod watch;

pub use connection::CallError;
pub use endpoints::{Endpoint, EndpointList, EndpointState};
pub use failures::{FailedCall, FailureNotice};
pub use watch::{WatchConfig, WatchEvent, watch_endpoints};
