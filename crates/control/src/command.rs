//! Commands from operators, stored as entries of the replicated log.

use nanoserde::{DeBin, SerBin};

/// A command from an operator.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Command {
    /// Replace the whole configuration.
    Put {
        /// The generation of the configuration on which the change is based.
        base: u64,
        /// The new configuration as JSON.
        body: Vec<u8>,
    },
    /// Replace fields of the configuration, and insert, replace or delete single routes and
    /// services by name.
    Patch {
        /// The generation of the configuration on which the change is based.
        base: u64,
        /// The patch as JSON.
        body: Vec<u8>,
    },
    /// Stop sending new requests to the upstreams of a zone.
    Evacuate {
        /// The zone to evacuate.
        zone: String,
    },
    /// End the evacuation of a zone.
    EndEvacuation {
        /// The zone whose evacuation ends.
        zone: String,
    },
}

/// The outcome of an applied command.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum CommandOutcome {
    /// The command took effect, either now or at an earlier attempt.
    Accepted,
    /// The command is based on a generation that is not the current one.
    Conflict {
        /// The generation of the configuration in force.
        current: u64,
    },
    /// The command results in an invalid configuration.
    Invalid {
        /// All findings, one per line.
        findings: String,
    },
}

impl Command {
    /// Returns whether the command changes the configuration.
    pub fn is_change(&self) -> bool {
        matches!(self, Self::Put { .. } | Self::Patch { .. })
    }

    /// Returns a digest that identifies the command, so that a retry of it is recognized.
    pub fn digest(&self) -> u128 {
        let (kind, base, body): (u8, u64, &[u8]) = match self {
            Self::Put { base, body } => (1, *base, body),
            Self::Patch { base, body } => (2, *base, body),
            Self::Evacuate { zone } => (3, 0, zone.as_bytes()),
            Self::EndEvacuation { zone } => (4, 0, zone.as_bytes()),
        };
        let head = [kind].into_iter().chain(base.to_le_bytes());
        fnv1a(head.chain(body.iter().copied()))
    }
}

/// 128-bit FNV-1a. The result must not change between versions of the program, because digests are
/// stored on disk.
fn fnv1a(bytes: impl Iterator<Item = u8>) -> u128 {
    const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u128::from(byte)).wrapping_mul(PRIME)
    })
}
