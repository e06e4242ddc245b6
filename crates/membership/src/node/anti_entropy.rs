//! Anti-entropy repairs gaps in gossip. Two members compare digests of the shards of their state
//! and exchange the shards that differ. A shard holds the members whose names hash to its number,
//! together with their records.

use super::Node;
use crate::member::Member;
use crate::message::{
    Body, MAX_MESSAGE_BYTES, MemberUpdate, Message, RecordUpdate, SHARDS, encoded_size,
};
use crate::metadata::{MemberMetadata, Name};
use crate::status::MemberState;
use crate::time::Timestamp;
use rand::RngExt;
use rand::seq::SliceRandom;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Maximum length in bytes of the shards in one message, well below the message length limit.
const PAGE_BYTES: usize = MAX_MESSAGE_BYTES / 2;
/// Maximum number of shards sent after one comparison. If many shards differ, gossip is already
/// spreading most of the changes.
const MAX_SHARDS_SENT: usize = 8;
/// One exchange in this many goes to a member that is not alive, so that two halves of a fleet that
/// declared each other dead rediscover each other after a partition.
const DEPARTED_EXCHANGE_DIVISOR: u32 = 4;

fn digest(value: impl Hash) -> u64 {
    // The hash keys are constant, since all members must compute the same digests.
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn shard_of(name: &Name) -> u8 {
    (digest(name.as_str()) % SHARDS as u64) as u8
}

/// The local member's state of one shard.
struct Shard {
    number: u8,
    updates: Vec<MemberUpdate>,
    records: Vec<RecordUpdate>,
}

impl Shard {
    fn bytes(&self) -> usize {
        let updates: usize = self.updates.iter().map(encoded_size).sum();
        let records: usize = self.records.iter().map(encoded_size).sum();
        updates + records
    }
}

/// A message to which shards are added up to the size limit.
struct Page {
    message: Message,
    bytes_left: usize,
}

impl Page {
    /// Adds a shard. The part of a shard that exceeds a page is left to gossip.
    fn add(&mut self, shard: Shard) {
        if let Body::ShardState { shards, .. } = &mut self.message.body {
            shards.push(shard.number);
        }
        for update in shard.updates {
            if self.reserve(encoded_size(&update)) {
                self.message.updates.push(update);
            }
        }
        for record in shard.records {
            if self.reserve(encoded_size(&record)) {
                self.message.records.push(record);
            }
        }
    }

    /// Reserves `bytes` of the page. Returns whether enough bytes were left.
    fn reserve(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.bytes_left;
        if fits {
            self.bytes_left -= bytes;
        }
        fits
    }
}

impl Node {
    /// Digests of the statuses and records of each shard, independent of their order of arrival.
    fn shard_digests(&self) -> Vec<u64> {
        let mut digests = vec![0_u64; SHARDS];
        let mut add = |name: &Name, value: u64| {
            let digest_sum = &mut digests[usize::from(shard_of(name))];
            *digest_sum = digest_sum.wrapping_add(value);
        };
        let local = &self.local.name;
        add(local, digest((local.as_str(), self.own_update().status)));
        for (name, member) in &self.members {
            add(name, digest((name.as_str(), member.status)));
        }
        for (owner, key, record) in self.records.iter() {
            let (owner_text, key) = (owner.as_str(), key.as_str());
            add(
                owner,
                digest((owner_text, key, record.generation, record.version)),
            );
        }
        digests
    }

    /// Starts an anti-entropy exchange with one other member.
    pub(super) fn send_digests(&mut self, now: Timestamp) {
        let with_departed_member = self.rng.random_range(0..DEPARTED_EXCHANGE_DIVISOR) == 0;
        let mut to = match with_departed_member {
            true => self.random_members(1, |member| !member.is_alive()),
            false => self.random_reachable_members(now, 1),
        };
        if to.is_empty() {
            to = self.random_members(1, |member| member.status.state != MemberState::Left);
        }
        let Some(to) = to.pop() else {
            return;
        };
        let body = Body::ShardDigests(self.shard_digests());
        let message = self.message(Some(&to), body);
        self.enqueue(to.address, &message, true);
    }

    /// Answers another member's digests with the local state of some of the differing shards.
    pub(super) fn handle_digests(
        &mut self,
        now: Timestamp,
        from: &MemberMetadata,
        remote_digests: &[u64],
    ) {
        let local_digests = self.shard_digests();
        let differs = |shard: &u8| {
            local_digests.get(usize::from(*shard)) != remote_digests.get(usize::from(*shard))
        };
        let mut shards: Vec<u8> = (0..SHARDS as u8).filter(differs).collect();
        let (drawn, _) = shards.partial_shuffle(&mut self.rng, MAX_SHARDS_SENT);
        if !drawn.is_empty() {
            let drawn = drawn.to_vec();
            self.send_shards(now, from, |shard| drawn.contains(&shard), true);
        }
    }

    /// Handles a shard message whose `updates` and `records` are already merged.
    pub(super) fn handle_shards(
        &mut self,
        now: Timestamp,
        from: &MemberMetadata,
        shards: &[u8],
        wants_reply: bool,
    ) {
        if wants_reply {
            self.send_shards(now, from, |shard| shards.contains(&shard), false);
        } else {
            self.is_synced = true;
        }
    }

    /// Sends the complete local state of the shards that satisfy `is_wanted`, in as many messages
    /// as necessary.
    pub(super) fn send_shards(
        &mut self,
        now: Timestamp,
        to: &MemberMetadata,
        is_wanted: impl Fn(u8) -> bool,
        wants_reply: bool,
    ) {
        let shards = Vec::new();
        let empty_message = self.message(
            Some(to),
            Body::ShardState {
                shards,
                wants_reply,
            },
        );
        let capacity = PAGE_BYTES.saturating_sub(encoded_size(&empty_message) + SHARDS);
        let new_page = || Page {
            message: empty_message.clone(),
            bytes_left: capacity,
        };
        let (mut pages, mut page) = (Vec::new(), new_page());
        for shard in self.shards(now, is_wanted) {
            if shard.bytes() > page.bytes_left && page.bytes_left < capacity {
                pages.push(std::mem::replace(&mut page, new_page()));
            }
            page.add(shard);
        }
        pages.push(page);
        for page in pages {
            self.enqueue(to.address, &page.message, true);
        }
    }

    /// The local state of the shards that satisfy `is_wanted`, ordered by shard number.
    fn shards(&self, now: Timestamp, is_wanted: impl Fn(u8) -> bool) -> Vec<Shard> {
        let numbers = (0..SHARDS as u8).filter(|shard| is_wanted(*shard));
        let mut updates: BTreeMap<u8, Vec<MemberUpdate>> =
            numbers.map(|shard| (shard, Vec::new())).collect();
        let members = self.members.values().map(Member::status_update);
        for update in std::iter::once(self.own_update()).chain(members) {
            if let Some(shard) = updates.get_mut(&shard_of(&update.metadata.name)) {
                shard.push(update);
            }
        }
        let shards = updates.into_iter().map(|(number, updates)| {
            let records = self
                .records
                .updates_of(now, |owner| shard_of(owner) == number);
            Shard {
                number,
                updates,
                records,
            }
        });
        shards.collect()
    }
}
