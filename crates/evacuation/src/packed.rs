//! Lists in a fact's few bytes: a byte for their form, then as many of them as fit.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// All that fit in so many bytes, in their order.
pub fn write<T: Serialize>(form: u8, all: impl Iterator<Item = T>, most: usize) -> Vec<u8> {
    let mut bytes = vec![form];
    for one in all {
        let Ok(one) = postcard::to_stdvec(&one) else {
            continue;
        };
        if bytes.len() + one.len() > most {
            break;
        }
        bytes.extend(one);
    }
    bytes
}

/// As many as may be, of this form alone; nothing where one cannot be read.
pub fn read<T: DeserializeOwned>(form: u8, bytes: &[u8], most: usize) -> Option<Vec<T>> {
    let (known, mut rest) = bytes.split_first()?;
    let mut all = Vec::new();
    while !rest.is_empty() && all.len() < most {
        let (one, after) = postcard::take_from_bytes::<T>(rest).ok()?;
        all.push(one);
        rest = after;
    }
    (*known == form).then_some(all)
}
