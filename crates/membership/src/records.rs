//! Small records that members publish to all other members. The latest version of a record wins.
//! Records are deleted soon after their owner leaves or dies.

use crate::gossip_queue::GossipQueue;
use crate::message::{RecordUpdate, encoded_size};
use crate::metadata::{Generation, MemberMetadata, Name};
use crate::settings::Settings;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use thiserror::Error;

/// Records of at least this priority are sent at once; records of lower priority are piggybacked on
/// probes.
pub(crate) const URGENT_PRIORITY: u8 = 128;

/// Capacity of the token bucket, in seconds of the permitted rate. A failure causes a burst of
/// records followed by a long quiet time: the death of two zones within a second, or of one zone in
/// a fleet of 300 senders, causes about ten records.
const BURST_CAPACITY_SECONDS: f64 = 12.0;

/// Estimated encoded length of a record in bytes, excluding value, owner and key.
const RECORD_OVERHEAD_BYTES: usize = 48;

/// A record as known to the local member.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Generation of the owner at the time of publication.
    pub generation: Generation,
    /// Version number, which the owner raises with each change.
    pub version: u64,
    /// Priority; records of higher priority are sent first.
    pub priority: u8,
    /// Time of publication by the local clock, derived from the transmitted age for records of
    /// other members.
    pub published_at: Timestamp,
    /// Value of the record; empty if the owner has withdrawn it.
    pub value: Vec<u8>,
}

/// The reason why a record cannot be published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// The value exceeds [`Settings::max_record_bytes`].
    #[error("record value exceeds the maximum length")]
    TooLong,
    /// The owner already has [`Settings::max_records_per_owner`] records.
    #[error("owner already has the maximum number of records")]
    TooMany,
}

/// Owner and key, which together identify a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RecordId {
    owner: Name,
    key: Name,
}

/// A token bucket that limits the bytes sent for records.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBucket {
    available_bytes: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Adds the bytes permitted since the last refill.
    fn refill(&mut self, now: Timestamp, bytes_per_second: u32) {
        let rate = f64::from(bytes_per_second);
        let seconds = now.saturating_sub(self.refilled_at) as f64 / 1e9;
        self.available_bytes =
            (self.available_bytes + rate * seconds).min(BURST_CAPACITY_SECONDS * rate);
        self.refilled_at = now;
    }
}

/// All known records by owner and key, with a queue of records to send.
#[derive(Clone, Debug, Default)]
pub struct RecordStore {
    records: BTreeMap<RecordId, Record>,
    queue: GossipQueue<RecordId, RecordId>,
    last_version: u64,
    allowance: TokenBucket,
    dropped: u64,
}

impl RecordStore {
    /// Publishes a record of the local member, replacing the one under the same key.
    ///
    /// # Errors
    ///
    /// [`PublishError`] if the value is too long or the local member has too many records.
    pub fn publish(
        &mut self,
        now: Timestamp,
        local: &MemberMetadata,
        key: Name,
        priority: u8,
        value: Vec<u8>,
        settings: &Settings,
    ) -> Result<(), PublishError> {
        if value.len() > settings.max_record_bytes {
            return Err(PublishError::TooLong);
        }
        let id = RecordId {
            owner: local.name.clone(),
            key,
        };
        let count = self.ids_of(&local.name).count();
        if !self.records.contains_key(&id) && count >= settings.max_records_per_owner {
            return Err(PublishError::TooMany);
        }
        self.last_version += 1;
        let record = Record {
            generation: local.generation,
            version: self.last_version,
            priority,
            published_at: now,
            value,
        };
        self.insert(id, record);
        Ok(())
    }

    /// Publishes all records of the local member anew after it has started a new generation.
    pub fn republish(&mut self, now: Timestamp, local: &MemberMetadata) {
        let own_ids: Vec<RecordId> = self.ids_of(&local.name).cloned().collect();
        for id in own_ids {
            if let Some(mut record) = self.records.remove(&id) {
                self.last_version += 1;
                record.generation = local.generation;
                record.version = self.last_version;
                record.published_at = now;
                self.insert(id, record);
            }
        }
    }

    fn ids_of<'a>(&'a self, owner: &'a Name) -> impl Iterator<Item = &'a RecordId> {
        self.records.keys().filter(move |id| id.owner == *owner)
    }

    fn insert(&mut self, id: RecordId, record: Record) {
        let (owner, key) = (id.owner.as_str(), id.key.as_str());
        let bytes = record.value.len() + owner.len() + key.len() + RECORD_OVERHEAD_BYTES;
        self.queue
            .enqueue(id.clone(), id.clone(), bytes, record.priority);
        self.records.insert(id, record);
    }

    /// Merges a record received from another member. `generation` is the owner's known generation,
    /// if any. Returns whether the record was new.
    pub fn receive(
        &mut self,
        now: Timestamp,
        update: RecordUpdate,
        generation: Option<Generation>,
        settings: &Settings,
    ) -> bool {
        let is_current = generation == Some(update.generation);
        if !is_current || update.value.len() > settings.max_record_bytes {
            self.dropped += u64::from(generation.is_some());
            return false;
        }
        let id = RecordId {
            owner: update.owner,
            key: update.key,
        };
        let known = self.records.get(&id);
        let known = known.map(|record| (record.generation, record.version));
        if known.is_some_and(|known| known >= (update.generation, update.version)) {
            return false;
        }
        if known.is_none() && !self.make_room(&id.owner, update.priority, settings) {
            self.dropped += 1;
            return false;
        }
        let age = u64::from(update.age_ms) * 1_000_000;
        let record = Record {
            generation: update.generation,
            version: update.version,
            priority: update.priority,
            published_at: now.saturating_sub(age),
            value: update.value,
        };
        self.insert(id, record);
        true
    }

    /// Makes room for another record of `owner`, if necessary by evicting a record of a priority
    /// lower than `priority`. Returns whether the record fits within the limits.
    fn make_room(&mut self, owner: &Name, priority: u8, settings: &Settings) -> bool {
        if self.records.len() >= settings.max_records && !self.evict(owner, priority) {
            return false;
        }
        self.ids_of(owner).count() < settings.max_records_per_owner
    }

    /// Evicts the oldest record of the lowest priority among other owners, provided that its
    /// priority is lower than `priority`. Returns whether a record was evicted.
    fn evict(&mut self, owner: &Name, priority: u8) -> bool {
        let records = self.records.iter();
        let evictable =
            records.filter(|(id, record)| id.owner != *owner && record.priority < priority);
        let victim = evictable.min_by_key(|(_, record)| (record.priority, record.published_at));
        let Some(id) = victim.map(|(id, _)| id.clone()) else {
            return false;
        };
        self.queue.remove(&id);
        self.dropped += 1;
        self.records.remove(&id).is_some()
    }

    /// Keeps only the records for which `is_kept` returns true, given owner and generation.
    pub fn retain(&mut self, is_kept: impl Fn(&Name, Generation) -> bool) {
        let queue = &mut self.queue;
        self.records.retain(|id, record| {
            let keep = is_kept(&id.owner, record.generation);
            if !keep {
                queue.remove(id);
            }
            keep
        });
    }

    /// Takes queued records to piggyback on a message, at most `max_bytes` together and within the
    /// permitted rate.
    pub fn take(
        &mut self,
        now: Timestamp,
        max_bytes: usize,
        max_transmissions: u32,
        settings: &Settings,
    ) -> Vec<RecordUpdate> {
        self.allowance.refill(now, settings.record_bytes_per_second);
        let max_bytes = max_bytes.min(self.allowance.available_bytes as usize);
        let ids = self.queue.take(max_bytes, max_transmissions);
        let updates: Vec<RecordUpdate> = ids
            .iter()
            .filter_map(|id| self.record_update(now, id))
            .collect();
        let bytes = updates.iter().map(|update| encoded_size(update) as f64);
        self.allowance.available_bytes -= bytes.sum::<f64>();
        updates
    }

    fn record_update(&self, now: Timestamp, id: &RecordId) -> Option<RecordUpdate> {
        let record = self.records.get(id)?;
        let age_ms = now.saturating_sub(record.published_at) / 1_000_000;
        Some(RecordUpdate {
            owner: id.owner.clone(),
            generation: record.generation,
            version: record.version,
            key: id.key.clone(),
            priority: record.priority,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            value: record.value.clone(),
        })
    }

    /// All records of the owners that satisfy `is_owner`, for anti-entropy.
    pub fn updates_of(
        &self,
        now: Timestamp,
        is_owner: impl Fn(&Name) -> bool,
    ) -> Vec<RecordUpdate> {
        let ids = self.records.keys().filter(|id| is_owner(&id.owner));
        ids.filter_map(|id| self.record_update(now, id)).collect()
    }

    /// All records with their owners and keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Name, &Record)> {
        let records = self.records.iter();
        records.map(|(id, record)| (&id.owner, &id.key, record))
    }

    /// The record of `owner` under `key`, if known.
    pub fn get(&self, owner: &Name, key: &Name) -> Option<&Record> {
        let id = RecordId {
            owner: owner.clone(),
            key: key.clone(),
        };
        self.records.get(&id)
    }

    /// Number of records that were ignored, or evicted in favour of records of higher priority.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether a queued record is urgent enough to be sent before the next probe.
    pub fn has_urgent(&self) -> bool {
        self.queue.has_urgent(URGENT_PRIORITY)
    }

    /// Whether any record is queued.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }
}
