//! Names that are no policies.

/// A name that is no policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyError {
    /// No policy has this name.
    #[error("there is no policy {name:?}; there are woadstall, {known}")]
    UnknownPolicy {
        /// The name that was given.
        name: String,
        /// The names of the baseline policies, with commas.
        known: String,
    },
    /// Baseline policies have no such addition.
    #[error("there is no addition {0:?}; there are outlier, aimd, gradient, retries, budget")]
    UnknownAddition(String),
}
