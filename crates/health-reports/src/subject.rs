//! What evidence is about, in seven bytes.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Of what kind a subject is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SubjectKind {
    /// One process of a nodo: the next at its address is another subject.
    Server,
    /// A zone.
    Zone,
    /// One class of calls at a zone.
    Class,
    /// A region.
    Region,
}

/// A subject, by a hash of its names: 48 bits, so that of a thousand two are one in some 500 million fleets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Of what kind.
    pub kind: SubjectKind,
    id: [u8; 6],
}

impl Subject {
    /// A process of a nodo, by its name and when it started.
    pub fn server(name: &str, boot_ms: u64) -> Self {
        Self::of(
            SubjectKind::Server,
            &[name.as_bytes(), &boot_ms.to_be_bytes()],
        )
    }

    /// A zone, as those see it who send to one tier: each tier has nodos of its own there.
    pub fn zone(tier: &str, name: &str) -> Self {
        Self::of(SubjectKind::Zone, &[tier.as_bytes(), name.as_bytes()])
    }

    /// A class of calls at a zone.
    pub fn class(tier: &str, zone: &str, class: &str) -> Self {
        Self::of(
            SubjectKind::Class,
            &[tier.as_bytes(), zone.as_bytes(), class.as_bytes()],
        )
    }

    /// A region, likewise.
    pub fn region(tier: &str, name: &str) -> Self {
        Self::of(SubjectKind::Region, &[tier.as_bytes(), name.as_bytes()])
    }

    fn of(kind: SubjectKind, parts: &[&[u8]]) -> Self {
        // The same everywhere: not a secret, and not to be one.
        let mut hasher = SipHasher24::new_with_keys(kind as u64, 0);
        for part in parts {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        let [_, _, id @ ..] = hasher.finish().to_be_bytes();
        Self { kind, id }
    }
}
