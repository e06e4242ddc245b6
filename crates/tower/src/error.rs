//! What may go wrong where a plug-in is set up.

use woadstall_operator_config::ConfigError;
use woadstall_runtime::StartError;
use woadstall_settings::ParseError;

/// What is wrong with how a plug-in is set up; the text names what is at fault.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BuildError {
    /// [`crate::Builder::settings`] was not called.
    #[error("no settings are given")]
    NoSettings,
    /// The settings could not be read.
    #[error(transparent)]
    Settings(ParseError),
    /// The operators' file could not be read, or a value in it makes no sense.
    #[error(transparent)]
    Operator(ConfigError),
    /// [`crate::Builder::connections`] is 0.
    #[error("`connections` is 0")]
    NoConnections,
    /// A method is given a class that the settings don't have.
    #[error("method {path}: the settings have no class {class:?}")]
    UnknownClass {
        /// Path of the method.
        path: String,
        /// The class that it is given.
        class: String,
    },
    /// A method is given a class twice.
    #[error("method {path} is there twice")]
    DuplicateMethod {
        /// Path of the method.
        path: String,
    },
    /// The settings make no sense together, or there is no tokio runtime to start on.
    #[error(transparent)]
    Start(StartError),
}
