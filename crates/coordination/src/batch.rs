//! Entries of the replicated log. Each entry holds a batch of calls that are executed together.

use crate::command::Call;
use crate::encoding::{self, DecodeError};
use nanoserde::{DeBin, SerBin};

/// Identifies a call uniquely among the calls of all processes, past and present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct CallId {
    /// The incarnation of the process that accepted the call from the client.
    pub incarnation: u64,
    /// The call number, unique within the process.
    pub number: u64,
}

/// A call in a batch, with its identifier.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BatchedCall {
    /// The identifier under which the outcome is reported.
    pub id: CallId,
    /// The command or query to execute.
    pub call: Call,
}

/// Calls in execution order, and the time at which they are executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Batch {
    /// The state's clock in milliseconds, as measured by the leader when it proposed the batch. See
    /// [`state`](crate::state).
    pub clock_ms: u64,
    /// The minimum retention time of the key history, in milliseconds of the state's clock.
    pub history_ms: u64,
    /// The calls, in execution order. Empty in a checkpoint that only records the time.
    pub calls: Vec<BatchedCall>,
}

impl Batch {
    /// Encodes the batch with a version and a checksum.
    pub fn encode(&self) -> Vec<u8> {
        encoding::encode(self)
    }

    /// Decodes a batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are corrupt or have a different format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        encoding::decode(bytes)
    }
}
