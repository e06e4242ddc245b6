//! What a caller may say of a call beside its path and headers.

use std::time::Duration;

/// What a caller may say of a call, as an extension of its request. What it leaves out is taken from the
/// method's path and the headers.
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
    /// The class, by its name in the settings; by default that of the method's path.
    pub class: Option<String>,
    /// The tenant, by its name in the settings; by default the header `x-caller`.
    pub tenant: Option<String>,
    /// How long the caller waits. The least of this, `grpc-timeout` and `x-budget` counts; where none is there,
    /// the class's deadline. One hour at most.
    pub timeout: Option<Duration>,
    /// An estimate of the time that a server works on it; by default the header `x-call-cost`, in microseconds.
    pub work: Option<Duration>,
    /// The idempotency key, by which servers drop its repeats; by default the header `idempotency-key`.
    pub key: Option<String>,
    /// It must never run twice, whatever its class says; false by default.
    pub non_idempotent: bool,
}
