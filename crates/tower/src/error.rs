//! Errors of building a plug-in.

use woadstall_operator_config::ConfigError;
use woadstall_runtime::StartError;
use woadstall_settings::ParseError;

/// The error with which [`crate::Builder`] rejects its input. Its text names the invalid setting or method.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BuildError {
    /// [`crate::Builder::settings`] was not called.
    #[error("no settings are given")]
    NoSettings,
    /// The settings could not be parsed.
    #[error(transparent)]
    Settings(ParseError),
    /// The operators' file could not be parsed, or a value in it is invalid.
    #[error(transparent)]
    Operator(ConfigError),
    /// [`crate::Builder::connections`] is 0.
    #[error("`connections` is 0")]
    NoConnections,
    /// A method has a class that is not in the settings.
    #[error("method {path}: the settings have no class {class:?}")]
    UnknownClass {
        /// Path of the method.
        path: String,
        /// Name of the missing class.
        class: String,
    },
    /// A class is given for the same method more than once.
    #[error("method {path} is listed twice")]
    DuplicateMethod {
        /// Path of the method.
        path: String,
    },
    /// The settings are inconsistent, or there is no current tokio runtime.
    #[error(transparent)]
    Start(StartError),
}
