//! The entries of the replicated log: calls that are executed together.

use crate::command::Call;
use crate::encoding::{self, DecodeError};
use nanoserde::{DeBin, SerBin};

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

impl Batch {
    /// The batch as bytes.
    pub fn encode(&self) -> Vec<u8> {
        encoding::encode(self)
    }

    /// The batch from its bytes.
    ///
    /// # Errors
    ///
    /// Where the bytes are damaged or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        encoding::decode(bytes)
    }
}
