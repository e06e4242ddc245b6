//! Errors in an operators' file.

use crate::{MAX_FILE_BYTES, MAX_METHODS, MAX_NAME_BYTES};
use std::net::SocketAddr;

/// An error in an operators' file. Its text is one line that names the line or the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("the file is over {MAX_FILE_BYTES} bytes")]
    TooLarge,
    /// The file is not valid TOML.
    #[error("line {line}: {message}")]
    Syntax {
        /// Line number, from 1.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// A field is unknown, missing or of the wrong type.
    #[error("`{path}`: {message}")]
    Field {
        /// Path of the field.
        path: String,
        /// The deserializer's message.
        message: String,
    },
    /// A number is outside its range.
    #[error("`{field}` is {value}, not between {min} and {max}")]
    OutOfRange {
        /// Path of the field.
        field: &'static str,
        /// Value in the file.
        value: u64,
        /// Lowest valid value.
        min: u64,
        /// Highest valid value.
        max: u64,
    },
    /// A name is empty, too long or contains whitespace.
    #[error("`{field}` is not 1 to {MAX_NAME_BYTES} bytes without blanks")]
    InvalidName {
        /// Path of the field.
        field: &'static str,
    },
    /// A key file is given although `insecure` is true.
    #[error("`instances.insecure` is true beside a `key_file`")]
    InsecureWithKey,
    /// No key file is given although `insecure` is not true.
    #[error("`instances.key_file` is missing, and `insecure` is not true")]
    MissingKey,
    /// The member listens on all addresses, and no address is advertised to other members.
    #[error("`instances.advertise` is missing, and `listen` is all addresses")]
    MissingAdvertisedAddress,
    /// The advertised address is unspecified or has port 0, so other members cannot reach it.
    #[error("`instances.advertise` is {address}, where nobody is found")]
    UnreachableAdvertisedAddress {
        /// The advertised address.
        address: SocketAddr,
    },
    /// The timeout of a direct probe leaves no time for an indirect probe within the probe period.
    #[error("`instances.patience_ms` is over half of `period_ms`")]
    ProbeTimeoutTooLong,
    /// The suspicion timeout is shorter than the probe period, so a member could be declared dead before it is probed
    /// again.
    #[error("`instances.suspicion_ms` is less than `period_ms`")]
    SuspicionTimeoutTooShort,
    /// Evacuation is enabled without membership, which it requires.
    #[error("`evacuation`: there is no `[instances]`, so nobody tells anything")]
    EvacuationWithoutMembership,
    /// A zone or a region has an empty name.
    #[error("`evacuation.regions` has an empty name")]
    EmptyRegionName,
    /// `plugin.methods` has too many entries.
    #[error("`plugin.methods` has {count} entries, over {MAX_METHODS}")]
    TooManyMethods {
        /// Number of entries.
        count: usize,
    },
    /// The class of a method is empty.
    #[error("`plugin.methods.{path:?}` names no class")]
    MethodWithoutClass {
        /// Path of the method.
        path: String,
    },
    /// The path of a method does not begin with `/`.
    #[error("`plugin.methods.{path:?}` is not a path from `/` on")]
    InvalidMethodPath {
        /// Path of the method.
        path: String,
    },
}

impl ConfigError {
    /// Converts an error of the TOML parser, which refers to `text`.
    pub(crate) fn syntax(text: &str, error: &toml::de::Error) -> Self {
        let offset = error.span().map_or(0, |span| span.start).min(text.len());
        let newlines = text.as_bytes()[..offset]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count();
        Self::Syntax {
            line: newlines + 1,
            message: single_line(error.message()),
        }
    }

    /// Converts an error of the deserializer, with the path of the field.
    pub(crate) fn field(error: &serde_path_to_error::Error<toml::de::Error>) -> Self {
        Self::Field {
            path: error.path().to_string(),
            message: single_line(error.inner().message()),
        }
    }
}

/// Checks that a number is between `min` and `max`, both included.
pub(crate) fn check_range(
    field: &'static str,
    value: u64,
    min: u64,
    max: u64,
) -> Result<(), ConfigError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ConfigError::OutOfRange {
        field,
        value,
        min,
        max,
    })
}

fn single_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
