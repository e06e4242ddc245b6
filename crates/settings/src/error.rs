//! What may be wrong with settings.

use crate::MAX_CLASSES;
use serde::Deserialize;
use woadstall_decisions::api::SettingsError;

/// Why settings could not be read; the text names the key that is at fault.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The text is not JSON, or a key is missing or of another type.
    #[error("settings: {0}")]
    Json(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the settings.
    #[error("settings: {0}")]
    TrailingData(#[source] serde_json::Error),
    /// A key is missing that another one asks for.
    #[error("settings: missing field `{key}`")]
    MissingKey {
        /// The key.
        key: &'static str,
    },
}

/// Why new settings could not take the place of the active ones; the text names what is at fault.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The new settings make no sense.
    #[error("settings: {0}")]
    Invalid(#[source] SettingsError),
    /// A key has changed that is fixed from the start of the process on.
    #[error("settings: `{key}` cannot change without a new start")]
    Fixed {
        /// The key.
        key: &'static str,
    },
    /// Two classes have the same name.
    #[error("settings: class `{name}` is there twice")]
    DuplicateClass {
        /// The name.
        name: String,
    },
    /// The classes of all settings since the start are more than [`MAX_CLASSES`].
    #[error("settings: over {MAX_CLASSES} classes since the start, one is needed anew")]
    TooManyClasses,
}

/// Deserializes a whole JSON text.
pub(crate) fn from_json<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, ParseError> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(ParseError::Json)?;
    deserializer.end().map_err(ParseError::TrailingData)?;
    Ok(value)
}
