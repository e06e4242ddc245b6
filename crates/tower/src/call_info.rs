//! Information about a call that the caller gives in addition to the path and headers.

use std::time::Duration;

/// Information about a call, given as an extension of its request. Fields that are `None` are taken from the request's
/// path and headers.
///
/// ```
/// # use std::time::Duration;
/// # use woadstall_tower::CallInfo;
/// let mut request = http::Request::new(());
/// request.extensions_mut().insert(CallInfo {
///     class: Some("checkout".to_owned()),
///     key: Some("order-17".to_owned()),
///     timeout: Some(Duration::from_millis(250)),
///     ..CallInfo::default()
/// });
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallInfo {
    /// Name of the class in the settings; the class of the request's path by default.
    pub class: Option<String>,
    /// Name of the tenant in the settings; the header `x-caller` by default.
    pub tenant: Option<String>,
    /// How long the caller waits, at most one hour. The shortest of this, `grpc-timeout` and `x-budget` applies; if
    /// none of them is given, the deadline of the class applies.
    pub timeout: Option<Duration>,
    /// Estimated time that a server works on the call; the header `x-call-cost`, in microseconds, by default.
    pub work: Option<Duration>,
    /// The idempotency key, by which servers recognize and drop retries; the header `idempotency-key` by default.
    pub key: Option<String>,
    /// Whether the call must never run twice, regardless of its class; false by default.
    pub non_idempotent: bool,
}
