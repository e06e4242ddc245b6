//! Parsers for values on the command line: key-value pairs and seeds.

/// The largest number of seeds in one range.
const MAX_SEED_RANGE: u64 = 10_000;

/// The reason why a value on the command line is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ArgumentError {
    /// A key-value pair has no `=`, or an empty key.
    #[error("not of the form KEY=VALUE")]
    NoPair,
    /// A seed is not an unsigned number.
    #[error("{text:?} is no seed")]
    NoSeed {
        /// The text given as the seed.
        text: String,
    },
    /// A range of seeds ends before it begins, or contains more than 10,000 seeds.
    #[error("{text:?} is no range of 10,000 seeds at most")]
    NoSeedRange {
        /// The text given as the range.
        text: String,
    },
}

/// Parses `key=value`; whitespace around the key and around the value is removed.
///
/// # Errors
///
/// Returns [`ArgumentError::NoPair`] for text of another form.
pub fn parse_pair(text: &str) -> Result<(String, String), ArgumentError> {
    match text.split_once('=') {
        Some((key, value)) if !key.trim().is_empty() => {
            Ok((key.trim().to_owned(), value.trim().to_owned()))
        }
        _ => Err(ArgumentError::NoPair),
    }
}

/// Parses a comma-separated list of seeds such as `3` and ranges such as `1..10`, which include both ends.
///
/// # Errors
///
/// Returns [`ArgumentError::NoSeed`] or [`ArgumentError::NoSeedRange`] for the first invalid item of the list.
pub fn parse_seeds(text: &str) -> Result<Vec<u64>, ArgumentError> {
    let mut seeds = Vec::new();
    for item in text.split(',') {
        match item.split_once("..") {
            Some((first, last)) => {
                let (first, last) = (parse_seed(first)?, parse_seed(last)?);
                if first > last || last - first >= MAX_SEED_RANGE {
                    let text = item.to_owned();
                    return Err(ArgumentError::NoSeedRange { text });
                }
                seeds.extend(first..=last);
            }
            None => seeds.push(parse_seed(item)?),
        }
    }
    Ok(seeds)
}

fn parse_seed(text: &str) -> Result<u64, ArgumentError> {
    let seed = text.trim().parse();
    seed.map_err(|_| ArgumentError::NoSeed {
        text: text.to_owned(),
    })
}

#[cfg(test)]
mod tests;
