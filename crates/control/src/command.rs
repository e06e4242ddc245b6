//! The operator's commands, as entries of the replicated log.

use nanoserde::{DeBin, SerBin};

/// A command of the operator.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Command {
    /// Replace the configuration.
    Put {
        /// The version that it builds on.
        base: u64,
        /// The configuration as JSON.
        body: Vec<u8>,
    },
    /// Change named items of the configuration.
    Patch {
        /// The version that it builds on.
        base: u64,
        /// The change as JSON.
        body: Vec<u8>,
    },
    /// Send no new requests to the upstreams of a zone.
    Evacuate {
        /// The zone.
        zone: String,
    },
    /// End the evacuation of a zone.
    EndEvacuation {
        /// The zone.
        zone: String,
    },
}

/// The outcome of a command that was applied.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum CommandOutcome {
    /// It is in force, or was put in force by an earlier attempt.
    Accepted,
    /// The configuration builds on a version that is not the current one.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The configuration is invalid.
    Invalid {
        /// All findings, one a line.
        findings: String,
    },
}

impl Command {
    /// Whether it changes the configuration.
    pub fn is_change(&self) -> bool {
        matches!(self, Self::Put { .. } | Self::Patch { .. })
    }

    /// The identity of a command, by which a retry is recognized.
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

/// FNV-1a with 128 bits: stable over versions of the program, since digests are kept on disk.
fn fnv1a(bytes: impl Iterator<Item = u8>) -> u128 {
    const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u128::from(byte)).wrapping_mul(PRIME)
    })
}
