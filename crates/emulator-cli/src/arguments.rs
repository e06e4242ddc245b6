//! Values on the command line: pairs of key and value, and seeds.

/// Seeds of one range at most.
const MAX_SEED_RANGE: u64 = 10_000;

/// What is wrong with a value on the command line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ArgumentError {
    /// A pair has no `=`, or nothing before it.
    #[error("not of the form KEY=VALUE")]
    NoPair,
    /// A seed is not a number.
    #[error("{text:?} is no seed")]
    NoSeed {
        /// What stands in its place.
        text: String,
    },
    /// A range of seeds ends before it begins, or is longer than 10,000.
    #[error("{text:?} is no range of 10,000 seeds at most")]
    NoSeedRange {
        /// The range.
        text: String,
    },
}

/// Parses `key=value`; blanks around both are dropped.
///
/// # Errors
///
/// [`ArgumentError::NoPair`].
pub fn parse_pair(text: &str) -> Result<(String, String), ArgumentError> {
    match text.split_once('=') {
        Some((key, value)) if !key.trim().is_empty() => {
            Ok((key.trim().to_owned(), value.trim().to_owned()))
        }
        _ => Err(ArgumentError::NoPair),
    }
}

/// Parses `3`, or `1..10` with both ends, or several of these behind commas.
///
/// # Errors
///
/// [`ArgumentError::NoSeed`] and [`ArgumentError::NoSeedRange`].
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
