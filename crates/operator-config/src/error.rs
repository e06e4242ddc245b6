//! What may be wrong with an operators' file.

use crate::{MAX_FILE_BYTES, MAX_METHODS, MAX_NAME_BYTES};
use std::net::SocketAddr;

/// What is wrong with the file, in one line that names the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// It is larger than [`MAX_FILE_BYTES`].
    #[error("the file is over {MAX_FILE_BYTES} bytes")]
    TooLarge,
    /// It is not TOML.
    #[error("line {line}: {message}")]
    Syntax {
        /// The line, counted from 1.
        line: usize,
        /// What the parser reports.
        message: String,
    },
    /// A field is unknown, missing or of another type.
    #[error("`{path}`: {message}")]
    Field {
        /// Path of the field.
        path: String,
        /// What the deserializer reports.
        message: String,
    },
    /// A number lies outside its range.
    #[error("`{field}` is {value}, not between {min} and {max}")]
    OutOfRange {
        /// Path of the field.
        field: &'static str,
        /// Its value.
        value: u64,
        /// The least that is allowed.
        min: u64,
        /// The most that is allowed.
        max: u64,
    },
    /// A name is empty, too long or has blanks.
    #[error("`{field}` is not 1 to {MAX_NAME_BYTES} bytes without blanks")]
    InvalidName {
        /// Path of the field.
        field: &'static str,
    },
    /// A key is given to a member that is to go without one.
    #[error("`instances.insecure` is true beside a `key_file`")]
    InsecureWithKey,
    /// No key is given, and none is not allowed.
    #[error("`instances.key_file` is missing, and `insecure` is not true")]
    MissingKey,
    /// The member listens on all addresses, and others are not told which one to use.
    #[error("`instances.advertise` is missing, and `listen` is all addresses")]
    MissingAdvertisedAddress,
    /// Nobody can be reached at the advertised address.
    #[error("`instances.advertise` is {address}, where nobody is found")]
    UnreachableAdvertisedAddress {
        /// The address.
        address: SocketAddr,
    },
    /// A direct probe would not leave the time for an indirect one within its period.
    #[error("`instances.patience_ms` is over half of `period_ms`")]
    ProbeTimeoutTooLong,
    /// A member would be declared dead before it is probed again.
    #[error("`instances.suspicion_ms` is less than `period_ms`")]
    SuspicionTimeoutTooShort,
    /// Evacuation rests on the membership.
    #[error("`evacuation`: there is no `[instances]`, so nobody tells anything")]
    EvacuationWithoutMembership,
    /// A zone or a region has an empty name.
    #[error("`evacuation.regions` has an empty name")]
    EmptyRegionName,
    /// More methods than may be named.
    #[error("`plugin.methods` has {count} entries, over {MAX_METHODS}")]
    TooManyMethods {
        /// How many there are.
        count: usize,
    },
    /// A method names no class.
    #[error("`plugin.methods.{path:?}` names no class")]
    MethodWithoutClass {
        /// The path of the method.
        path: String,
    },
    /// A method is not named by an absolute path.
    #[error("`plugin.methods.{path:?}` is not a path from `/` on")]
    InvalidMethodPath {
        /// The path of the method.
        path: String,
    },
}

impl ConfigError {
    /// An error of the TOML parser, at its line of `text`.
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

    /// An error of the deserializer, at the path of its field.
    pub(crate) fn field(error: &serde_path_to_error::Error<toml::de::Error>) -> Self {
        Self::Field {
            path: error.path().to_string(),
            message: single_line(error.inner().message()),
        }
    }
}

/// Checks that a number lies within its range, both ends included.
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
