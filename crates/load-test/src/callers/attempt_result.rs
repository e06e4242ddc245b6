//! The result of an attempt.

/// The result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The request was served.
    Served,
    /// The request was rejected before any work.
    Rejected {
        /// Delay in nanoseconds that the response asks for before a retry; 0 if the response names none.
        retry_after_ns: u64,
    },
    /// The response was an error or did not arrive.
    Failed,
    /// The attempt reached no balancer.
    NotSent,
}
