//! The entries of the replicated log: calls that are executed together.

use crate::command::Call;
use nanoserde::{DeBin, DeBinErr, SerBin};
use thiserror::Error;

/// The version of the encoding. Others are not read.
const FORMAT_VERSION: u16 = 1;

/// Identifies a call among those of all processes that ever ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct CallId {
    /// The incarnation of the process that has taken the call from its caller.
    pub incarnation: u64,
    /// The number that it gave the call.
    pub number: u64,
}

/// A call of a batch.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BatchedCall {
    /// Its identity.
    pub id: CallId,
    /// The call.
    pub call: Call,
}

/// Calls in the order in which they are executed, and the time at which that happens.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Batch {
    /// The time of the state's clock in milliseconds, as the leader has measured it when it proposed
    /// the batch. See [`state`](crate::state).
    pub clock_ms: u64,
    /// For how long the history of keys is kept at least, in milliseconds of the state's clock.
    pub history_ms: u64,
    /// The calls.
    pub calls: Vec<BatchedCall>,
}

/// A batch with the version of its encoding.
#[derive(SerBin, DeBin)]
struct StoredBatch {
    version: u16,
    batch: Batch,
}

/// A batch can't be decoded from bytes.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The bytes are damaged.
    #[error("the batch can't be decoded: {0}")]
    Encoding(#[from] DeBinErr),
    /// The encoding has another version.
    #[error("batch format {0} instead of {FORMAT_VERSION}")]
    Version(u16),
}

impl Batch {
    /// The batch as bytes.
    pub fn encode(self) -> Vec<u8> {
        let stored = StoredBatch {
            version: FORMAT_VERSION,
            batch: self,
        };
        stored.serialize_bin()
    }

    /// The batch from its bytes.
    ///
    /// # Errors
    ///
    /// Where the bytes are damaged or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, BatchError> {
        let StoredBatch { version, batch } = StoredBatch::deserialize_bin(bytes)?;
        if version == FORMAT_VERSION {
            Ok(batch)
        } else {
            Err(BatchError::Version(version))
        }
    }
}
