//! What evidence is about, in seven bytes.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// The kind of a subject. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SubjectKind {
    /// One process of a server: the next process at its address is another subject.
    Server,
    /// A zone.
    Zone,
    /// One class of calls at a zone.
    Class,
    /// A region.
    Region,
}

/// A subject, by a hash of its names.
///
/// The hash has 48 bits: among a thousand subjects, two collide in one of some 500 million fleets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Its kind.
    pub kind: SubjectKind,
    id: [u8; 6],
}

impl Subject {
    /// A process of a server, by the server's name and when the process started, in Unix
    /// milliseconds.
    pub fn server(name: &str, boot_ms: u64) -> Self {
        Self::hashed(
            SubjectKind::Server,
            &[name.as_bytes(), &boot_ms.to_be_bytes()],
        )
    }

    /// A zone, as the balancers that send to one tier see it: each tier has its own servers there.
    pub fn zone(tier: &str, name: &str) -> Self {
        Self::hashed(SubjectKind::Zone, &[tier.as_bytes(), name.as_bytes()])
    }

    /// A class of calls at a zone.
    pub fn class(tier: &str, zone: &str, class: &str) -> Self {
        Self::hashed(
            SubjectKind::Class,
            &[tier.as_bytes(), zone.as_bytes(), class.as_bytes()],
        )
    }

    /// A region, as the balancers that send to one tier see it.
    pub fn region(tier: &str, name: &str) -> Self {
        Self::hashed(SubjectKind::Region, &[tier.as_bytes(), name.as_bytes()])
    }

    fn hashed(kind: SubjectKind, names: &[&[u8]]) -> Self {
        // Balancers must agree on the hash, so its key is fixed and public.
        let mut hasher = SipHasher24::new_with_keys(kind as u64, 0);
        for name in names {
            hasher.write_u64(name.len() as u64);
            hasher.write(name);
        }
        let [_, _, id @ ..] = hasher.finish().to_be_bytes();
        Self { kind, id }
    }
}
