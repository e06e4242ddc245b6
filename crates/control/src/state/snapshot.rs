//! The encoding of the state in snapshots of the log and in the feeds of balancers.

use super::ControlState;
use super::document::Document;
use crate::configuration::Configuration;
use crate::reader::Findings;
use nanoserde::{DeBin, DeBinErr, SerBin};
use std::sync::Arc;
use thiserror::Error;

/// An error in decoding a state.
#[derive(Debug, Error)]
pub enum StateError {
    /// The bytes are damaged or have the format of another version.
    #[error("failed to decode the state: {0}")]
    Encoding(#[from] DeBinErr),
    /// The configuration in the state is not valid JSON.
    #[error("failed to parse the configuration in the state: {0}")]
    Document(#[from] serde_json::Error),
    /// The configuration in the state is invalid.
    #[error("invalid configuration in the state: {0}")]
    Invalid(#[from] Findings),
}

/// The stored form of a state. The binary format is determined by the order of the fields.
#[derive(SerBin, DeBin)]
struct StoredState {
    index: u64,
    /// The configuration as JSON; empty if there is none.
    document: Vec<u8>,
    evacuated: Vec<String>,
    accepted: Vec<StoredDigest>,
}

/// A digest as two 64-bit halves, because `nanoserde` does not support `u128`.
#[derive(SerBin, DeBin)]
struct StoredDigest {
    high: u64,
    low: u64,
}

impl From<u128> for StoredDigest {
    fn from(digest: u128) -> Self {
        Self {
            high: (digest >> 64) as u64,
            low: digest as u64,
        }
    }
}

impl From<StoredDigest> for u128 {
    fn from(digest: StoredDigest) -> Self {
        Self::from(digest.high) << 64 | Self::from(digest.low)
    }
}

impl ControlState {
    /// Encodes the state.
    pub fn encode(&self) -> Vec<u8> {
        let document = match self.configuration {
            Some(_) => self.document.to_json().into_bytes(),
            None => Vec::new(),
        };
        let stored = StoredState {
            index: self.index,
            document,
            evacuated: self.evacuated_zones.iter().cloned().collect(),
            accepted: self.accepted.iter().map(StoredDigest::from).collect(),
        };
        stored.serialize_bin()
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are damaged, have the format of another version, or hold an
    /// invalid configuration.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let stored = StoredState::deserialize_bin(bytes)?;
        let mut state = Self {
            index: stored.index,
            ..Self::default()
        };
        if !stored.document.is_empty() {
            let value = serde_json::from_slice(&stored.document)?;
            state.configuration = Some(Arc::new(Configuration::read(&value)?));
            state.document = Arc::new(Document::parse(&String::from_utf8_lossy(&stored.document))?);
        }
        state.evacuated_zones = stored.evacuated.into_iter().collect();
        for digest in stored.accepted {
            state.accepted.insert(digest.into());
        }
        Ok(state)
    }
}
