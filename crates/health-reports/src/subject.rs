//! The subjects of health reports and orders. A subject is identified by seven bytes.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// The kind of a subject. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SubjectKind {
    /// One process of a server. After a restart, the server is another subject.
    Server,
    /// All servers of a zone together.
    Zone,
    /// One class of calls at a zone.
    Class,
    /// All zones of a region together.
    Region,
}

/// The identity of a server process, zone, class or region, as a hash of its names.
///
/// The hash has 48 bits. In a fleet with a thousand subjects, the probability that two of them
/// collide is about 1 in 500 million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The kind of the subject, which is also part of the hash.
    pub kind: SubjectKind,
    id: [u8; 6],
}

impl Subject {
    /// Returns the subject of a server process, identified by the server's name and the start time
    /// of the process, in Unix milliseconds.
    pub fn server(name: &str, boot_ms: u64) -> Self {
        Self::hashed(
            SubjectKind::Server,
            &[name.as_bytes(), &boot_ms.to_be_bytes()],
        )
    }

    /// Returns the subject of a zone for the balancers that send to `tier`. The zone is a different
    /// subject in each tier, because each tier has its own servers there.
    pub fn zone(tier: &str, name: &str) -> Self {
        Self::hashed(SubjectKind::Zone, &[tier.as_bytes(), name.as_bytes()])
    }

    /// Returns the subject of a class of calls at a zone, for the balancers that send to `tier`.
    pub fn class(tier: &str, zone: &str, class: &str) -> Self {
        Self::hashed(
            SubjectKind::Class,
            &[tier.as_bytes(), zone.as_bytes(), class.as_bytes()],
        )
    }

    /// Returns the subject of a region for the balancers that send to `tier`.
    pub fn region(tier: &str, name: &str) -> Self {
        Self::hashed(SubjectKind::Region, &[tier.as_bytes(), name.as_bytes()])
    }

    fn hashed(kind: SubjectKind, names: &[&[u8]]) -> Self {
        // All balancers must compute the same hash, so its key is fixed and public.
        let mut hasher = SipHasher24::new_with_keys(kind as u64, 0);
        for name in names {
            hasher.write_u64(name.len() as u64);
            hasher.write(name);
        }
        let [_, _, id @ ..] = hasher.finish().to_be_bytes();
        Self { kind, id }
    }
}
