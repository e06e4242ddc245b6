//! Errors in settings and in changes of settings.

use crate::MAX_CLASSES;
use serde::Deserialize;
use woadstall_decisions::api::SettingsError;

/// Error while reading settings. The text names the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The text is not JSON, or a key is missing or has a value of the wrong type.
    #[error("settings: {0}")]
    Json(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// The text contains more data after the settings.
    #[error("settings: {0}")]
    TrailingData(#[source] serde_json::Error),
    /// A key is missing that the value of another key requires.
    #[error("settings: missing field `{key}`")]
    MissingKey {
        /// Name of the missing key.
        key: &'static str,
    },
}

/// Error for new settings that cannot replace the active ones. The text names the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// A value in the new settings is invalid.
    #[error("settings: {0}")]
    Invalid(#[source] SettingsError),
    /// The new settings change a key that is fixed until the process restarts.
    #[error("settings: `{key}` cannot change without a new start")]
    Fixed {
        /// Name of the changed key.
        key: &'static str,
    },
    /// Two classes of the new settings have the same name.
    #[error("settings: class `{name}` is there twice")]
    DuplicateClass {
        /// Name that occurs twice.
        name: String,
    },
    /// All settings since the start of the process contain more than [`MAX_CLASSES`] distinct classes.
    #[error("settings: over {MAX_CLASSES} classes since the start, one is needed anew")]
    TooManyClasses,
}

/// Deserializes a JSON text and rejects trailing data.
pub(crate) fn from_json<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, ParseError> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(ParseError::Json)?;
    deserializer.end().map_err(ParseError::TrailingData)?;
    Ok(value)
}
