//! Lists in the few bytes of a fact (a member's published record): a version byte, then as many items
//! as fit, in postcard's format.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why bytes are no list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PackedListError {
    /// There are no bytes.
    #[error("list is empty")]
    Empty,
    /// The version is not known here.
    #[error("list of version {found}, expected {expected}")]
    UnknownVersion {
        /// The version of the bytes.
        found: u8,
        /// The version that is known.
        expected: u8,
    },
    /// An item cannot be decoded.
    #[error("item {index} cannot be decoded")]
    Item {
        /// The position of the item, from 0.
        index: usize,
        /// Why.
        source: postcard::Error,
    },
}

/// Encodes the items that fit into `max_bytes`, in their order.
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

/// Decodes the first `max_items` items; bytes after them are ignored.
///
/// # Errors
///
/// Returns an error if the bytes are no list of this version, or if an item is malformed.
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
        let (item, after) = postcard::take_from_bytes::<T>(rest)
            .map_err(|source| PackedListError::Item { index, source })?;
        items.push(item);
        rest = after;
    }
    Ok(items)
}
