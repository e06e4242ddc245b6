//! Small records that members publish to all others. The last version of an owner's record wins,
//! and no record outlives its owner for long.

use crate::gossip_queue::GossipQueue;
use crate::message::{RecordUpdate, encoded_size};
use crate::metadata::{Generation, MemberMetadata, Name};
use crate::settings::Settings;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use thiserror::Error;

/// Records of at least this priority are sent at once, the others along with probes.
pub(crate) const URGENT_PRIORITY: u8 = 128;

/// Seconds of the permitted rate that may be saved up: what a failure sets off comes at once, and
/// long after nothing. Two zones that die within a second, or one under 300 senders, set off some
/// ten records.
const BURST_SECONDS: f64 = 12.0;

/// Bytes of a record beside its value, its owner's name and its key.
const RECORD_OVERHEAD_BYTES: usize = 48;

/// A record as the local member knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The generation of its owner that published it.
    pub generation: Generation,
    /// Raised by the owner with each change.
    pub version: u64,
    /// Records of higher priority are sent first.
    pub priority: u8,
    /// When it was published, by the local clock.
    pub published_at: Timestamp,
    /// Its value; empty where the owner has withdrawn it.
    pub value: Vec<u8>,
}

/// Why a record is not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// Its value has more than [`Settings::max_record_bytes`].
    #[error("a fact of too many bytes")]
    TooLong,
    /// Its owner has [`Settings::max_records_per_owner`] already.
    #[error("too many facts of one owner")]
    TooMany,
}

/// Owner and key of a record.
type RecordId = (Name, Name);

/// A token bucket of bytes that may be sent.
#[derive(Clone, Copy, Debug, Default)]
struct SendAllowance {
    bytes: f64,
    at: Timestamp,
}

impl SendAllowance {
    /// Adds what has been permitted since the last time.
    fn refill(&mut self, now: Timestamp, bytes_per_second: u32) {
        let rate = f64::from(bytes_per_second);
        let seconds = now.saturating_sub(self.at) as f64 / 1e9;
        self.bytes = (self.bytes + rate * seconds).min(BURST_SECONDS * rate);
        self.at = now;
    }
}

/// All records, by owner and key, and what of them is still to be sent.
#[derive(Clone, Debug, Default)]
pub struct RecordStore {
    records: BTreeMap<RecordId, Record>,
    queue: GossipQueue<RecordId, RecordId>,
    last_version: u64,
    allowance: SendAllowance,
    dropped: u64,
}

impl RecordStore {
    /// Publishes a record of the local member, in place of the one under its key.
    ///
    /// # Errors
    ///
    /// [`PublishError`] where the value is too long or the member has too many records.
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
        let id = (local.name.clone(), key);
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

    /// The local member starts a new generation: its records are published anew.
    pub fn republish(&mut self, now: Timestamp, local: &MemberMetadata) {
        let own: Vec<RecordId> = self.ids_of(&local.name).cloned().collect();
        for id in own {
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
        self.records.keys().filter(move |(of, _)| of == owner)
    }

    fn insert(&mut self, id: RecordId, record: Record) {
        let (owner, key) = (id.0.as_str(), id.1.as_str());
        let bytes = record.value.len() + owner.len() + key.len() + RECORD_OVERHEAD_BYTES;
        self.queue
            .enqueue(id.clone(), id.clone(), bytes, record.priority);
        self.records.insert(id, record);
    }

    /// Takes in a record that another member passes on; `generation` is the owner's, as far as it is
    /// known. Returns whether the record was new.
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
        let id = (update.owner, update.key);
        let known = self.records.get(&id);
        let known = known.map(|record| (record.generation, record.version));
        if known.is_some_and(|known| known >= (update.generation, update.version)) {
            return false;
        }
        if known.is_none() && !self.has_capacity_for(&id.0, update.priority, settings) {
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

    /// Whether one more record of an owner can be taken in; evicts a less important one for it.
    fn has_capacity_for(&mut self, owner: &Name, priority: u8, settings: &Settings) -> bool {
        if self.records.len() >= settings.max_records && !self.evict(owner, priority) {
            return false;
        }
        self.ids_of(owner).count() < settings.max_records_per_owner
    }

    /// Evicts the least important and oldest record of the other owners, if its priority is lower.
    fn evict(&mut self, owner: &Name, priority: u8) -> bool {
        let others = self.records.iter();
        let others = others.filter(|((of, _), record)| of != owner && record.priority < priority);
        let least = others.min_by_key(|(_, record)| (record.priority, record.published_at));
        let Some(id) = least.map(|(id, _)| id.clone()) else {
            return false;
        };
        self.queue.remove(&id);
        self.dropped += 1;
        self.records.remove(&id).is_some()
    }

    /// Keeps the records for whose owner and generation `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&Name, Generation) -> bool) {
        let queue = &mut self.queue;
        self.records.retain(|id, record| {
            let keep = is_kept(&id.0, record.generation);
            if !keep {
                queue.remove(id);
            }
            keep
        });
    }

    /// The records to send along in at most `max_bytes`, within the permitted rate.
    pub fn take(
        &mut self,
        now: Timestamp,
        max_bytes: usize,
        max_transmissions: u32,
        settings: &Settings,
    ) -> Vec<RecordUpdate> {
        self.allowance.refill(now, settings.record_bytes_per_second);
        let max_bytes = max_bytes.min(self.allowance.bytes as usize);
        let ids = self.queue.take(max_bytes, max_transmissions);
        let updates: Vec<RecordUpdate> = ids.iter().filter_map(|id| self.update(now, id)).collect();
        let bytes = updates.iter().map(|update| encoded_size(update) as f64);
        self.allowance.bytes -= bytes.sum::<f64>();
        updates
    }

    fn update(&self, now: Timestamp, id: &RecordId) -> Option<RecordUpdate> {
        let record = self.records.get(id)?;
        let age_ms = now.saturating_sub(record.published_at) / 1_000_000;
        Some(RecordUpdate {
            owner: id.0.clone(),
            generation: record.generation,
            version: record.version,
            key: id.1.clone(),
            priority: record.priority,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            value: record.value.clone(),
        })
    }

    /// All records of some owners, for the anti-entropy.
    pub fn updates_of(
        &self,
        now: Timestamp,
        is_owner: impl Fn(&Name) -> bool,
    ) -> Vec<RecordUpdate> {
        let ids = self.records.keys().filter(|(owner, _)| is_owner(owner));
        ids.filter_map(|id| self.update(now, id)).collect()
    }

    /// Owner, key and record of all.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Name, &Record)> {
        let records = self.records.iter();
        records.map(|((owner, key), record)| (owner, key, record))
    }

    /// One record.
    pub fn get(&self, owner: &Name, key: &Name) -> Option<&Record> {
        self.records.get(&(owner.clone(), key.clone()))
    }

    /// Records that were not taken in, or were evicted for more important ones.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether a record waits that does not wait for the next probe.
    pub fn has_urgent(&self) -> bool {
        self.queue.has_urgent(URGENT_PRIORITY)
    }

    /// Whether any record waits to be sent.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }
}
