//! Errors in the names of policies.

/// Error in the name of a policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyError {
    /// No policy has this name.
    #[error("there is no policy {name:?}; there are woadstall, {known}")]
    UnknownPolicy {
        /// The given name.
        name: String,
        /// Names of the baseline policies, separated by commas.
        known: String,
    },
    /// The suffix after `+` names no option of a baseline policy.
    #[error("there is no addition {0:?}; there are outlier, aimd, gradient, retries, budget")]
    UnknownAddition(String),
}
