//! The encoding of lists in the records of the membership protocol, which are limited to few bytes.
//! An encoded list is a version byte followed by as many items as fit, in postcard's format.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The reason why bytes cannot be decoded as a list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PackedListError {
    /// There are no bytes, so that even the version is missing.
    #[error("list is empty")]
    Empty,
    /// The version of the list is not the expected one.
    #[error("list of version {found}, expected {expected}")]
    UnknownVersion {
        /// The version byte of the list.
        found: u8,
        /// The only version that this program decodes.
        expected: u8,
    },
    /// An item cannot be decoded.
    #[error("item {index} cannot be decoded")]
    Item {
        /// The position of the item in the list, from 0.
        index: usize,
        /// The error of the postcard decoder.
        source: postcard::Error,
    },
}

/// Encodes the leading items that fit into `max_bytes`, in the given order. The version byte is
/// always written.
pub fn encode<T: Serialize>(
    version: u8,
    items: impl Iterator<Item = T>,
    max_bytes: usize,
) -> Vec<u8> {
    let mut bytes = vec![version];
    for item in items {
        let Ok(encoded) = postcard::to_stdvec(&item) else {
            continue;
        };
        if bytes.len() + encoded.len() > max_bytes {
            break;
        }
        bytes.extend(encoded);
    }
    bytes
}

/// Decodes the first `max_items` items. Any bytes after these items are ignored.
///
/// # Errors
///
/// Returns an error if the bytes are empty or of another version, or if an item is malformed.
pub fn decode<T: DeserializeOwned>(
    version: u8,
    bytes: &[u8],
    max_items: usize,
) -> Result<Vec<T>, PackedListError> {
    let (found, mut rest) = bytes.split_first().ok_or(PackedListError::Empty)?;
    if *found != version {
        return Err(PackedListError::UnknownVersion {
            found: *found,
            expected: version,
        });
    }
    let mut items = Vec::new();
    while !rest.is_empty() && items.len() < max_items {
        let index = items.len();
        let (item, bytes_left) = postcard::take_from_bytes::<T>(rest)
            .map_err(|source| PackedListError::Item { index, source })?;
        items.push(item);
        rest = bytes_left;
    }
    Ok(items)
}
