//! Small facts that members tell all others: the last of its owner wins, and none outlives its owner for long.

use crate::card::{Generation, MemberMetadata, Name};
use crate::message::{RecordUpdate, size};
use crate::node::URGENT;
use crate::settings::Settings;
use crate::spread::GossipQueue;
use std::collections::BTreeMap;
use std::fmt;

/// A fact as it is known here.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The life of its owner that said it.
    pub life: Generation,
    /// Raised with each change.
    pub counter: u64,
    /// Facts of higher ones go first.
    pub priority: u8,
    /// When it was said, by this member's clock.
    pub said_at: u64,
    /// What it says. Nothing, where its owner has taken it back.
    pub bytes: Vec<u8>,
}

/// Why a fact is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// Too long.
    Long,
    /// Too many of this owner.
    Many,
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Long => "a fact of too many bytes",
            Self::Many => "too many facts of one owner",
        })
    }
}

impl std::error::Error for PublishError {}

type Key = (Name, Name);

/// Seconds of the rate that may be saved up: what a failure sets off comes at once, and long after nothing. Two zones
/// that die within a second, or one under 300 senders, set off some ten.
const SAVED: f64 = 12.0;

/// All facts, by owner and key.
#[derive(Clone, Debug, Default)]
pub struct RecordStore {
    all: BTreeMap<Key, Record>,
    spread: GossipQueue<Key, Key>,
    counter: u64,
    /// Bytes that may go out now, and since when that holds.
    room: (f64, u64),
    dropped: u64,
}

impl RecordStore {
    /// This member says something, in place of what it said under the key.
    pub fn say(
        &mut self,
        now: u64,
        me: &MemberMetadata,
        key: Name,
        priority: u8,
        bytes: Vec<u8>,
        settings: &Settings,
    ) -> Result<(), PublishError> {
        if bytes.len() > settings.fact_bytes {
            return Err(PublishError::Long);
        }
        let at = (me.name.clone(), key);
        if !self.all.contains_key(&at) && self.of(&me.name).count() >= settings.facts_each {
            return Err(PublishError::Many);
        }
        self.counter += 1;
        let fact = Record {
            life: me.life,
            counter: self.counter,
            priority,
            said_at: now,
            bytes,
        };
        self.put(at, fact);
        Ok(())
    }

    /// Its owner begins a new life: what it said before is said anew.
    pub fn reborn(&mut self, now: u64, me: &MemberMetadata) {
        let own: Vec<Key> = self.of(&me.name).cloned().collect();
        for key in own {
            if let Some(mut fact) = self.all.remove(&key) {
                self.counter += 1;
                (fact.life, fact.counter, fact.said_at) = (me.life, self.counter, now);
                self.put(key, fact);
            }
        }
    }

    fn of<'a>(&'a self, owner: &'a Name) -> impl Iterator<Item = &'a Key> {
        self.all.keys().filter(move |(of, _)| of == owner)
    }

    fn put(&mut self, key: Key, fact: Record) {
        let bytes = fact.bytes.len() + key.0.as_str().len() + key.1.as_str().len() + 48;
        self.spread
            .tell(key.clone(), key.clone(), bytes, fact.priority);
        self.all.insert(key, fact);
    }

    /// Takes what another member passes on; `life` is the owner's, as far as it is known. Whether it was new.
    pub fn hear(
        &mut self,
        now: u64,
        news: RecordUpdate,
        life: Option<Generation>,
        settings: &Settings,
    ) -> bool {
        // Of one that nobody knows, or of a former life.
        if life != Some(news.life) || news.bytes.len() > settings.fact_bytes {
            self.dropped += u64::from(life.is_some());
            return false;
        }
        let key = (news.owner, news.key);
        let known = self.all.get(&key).map(|fact| (fact.life, fact.counter));
        if known.is_some_and(|known| known >= (news.life, news.counter)) {
            return false;
        }
        if known.is_none() {
            let full = self.all.len() >= settings.facts && !self.make_room(&key.0, news.priority);
            if full || self.of(&key.0).count() >= settings.facts_each {
                self.dropped += 1;
                return false;
            }
        }
        let said_at = now.saturating_sub(u64::from(news.age_ms) * 1_000_000);
        let (life, counter, priority) = (news.life, news.counter, news.priority);
        self.put(
            key,
            Record {
                life,
                counter,
                priority,
                said_at,
                bytes: news.bytes,
            },
        );
        true
    }

    /// Lets the least important one go, of whoever has most, if there is one that matters less.
    fn make_room(&mut self, not_of: &Name, priority: u8) -> bool {
        let least = self
            .all
            .iter()
            .filter(|((owner, _), fact)| owner != not_of && fact.priority < priority);
        let least = least
            .min_by_key(|(_, fact)| (fact.priority, fact.said_at))
            .map(|(key, _)| key.clone());
        let Some(key) = least else { return false };
        self.spread.forget(&key);
        self.dropped += 1;
        self.all.remove(&key).is_some()
    }

    /// Keeps the facts of those that `keeps` says, by owner and life.
    pub fn retain(&mut self, keeps: impl Fn(&Name, Generation) -> bool) {
        let spread = &mut self.spread;
        self.all.retain(|key, fact| {
            let kept = keeps(&key.0, fact.life);
            if !kept {
                spread.forget(key);
            }
            kept
        });
    }

    /// What goes along in so many bytes, within the rate.
    pub fn take(
        &mut self,
        now: u64,
        room: usize,
        times: u32,
        settings: &Settings,
    ) -> Vec<RecordUpdate> {
        let rate = f64::from(settings.fact_rate);
        let passed = now.saturating_sub(self.room.1) as f64 / 1e9;
        self.room = ((self.room.0 + rate * passed).min(SAVED * rate), now);
        let keys = self.spread.take(room.min(self.room.0 as usize), times);
        let news: Vec<RecordUpdate> = keys.iter().filter_map(|key| self.news(now, key)).collect();
        self.room.0 -= news.iter().map(|news| size(news) as f64).sum::<f64>();
        news
    }

    fn news(&self, now: u64, key: &Key) -> Option<RecordUpdate> {
        let fact = self.all.get(key)?;
        let age_ms =
            u32::try_from(now.saturating_sub(fact.said_at) / 1_000_000).unwrap_or(u32::MAX);
        Some(RecordUpdate {
            owner: key.0.clone(),
            life: fact.life,
            counter: fact.counter,
            key: key.1.clone(),
            priority: fact.priority,
            age_ms,
            bytes: fact.bytes.clone(),
        })
    }

    /// All of some owners, for a comparison of whole states.
    pub fn all_of(&self, now: u64, owns: impl Fn(&Name) -> bool) -> Vec<RecordUpdate> {
        self.all
            .keys()
            .filter(|(owner, _)| owns(owner))
            .filter_map(|key| self.news(now, key))
            .collect()
    }

    /// Owner, key and fact.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Name, &Record)> {
        self.all
            .iter()
            .map(|((owner, key), fact)| (owner, key, fact))
    }

    /// One.
    pub fn get(&self, owner: &Name, key: &Name) -> Option<&Record> {
        self.all.get(&(owner.clone(), key.clone()))
    }

    /// Facts that were not taken, or let go for more important ones.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether something that does not wait for the next probe has not been told often enough.
    pub fn is_urgent(&self) -> bool {
        self.spread.is_urgent(URGENT)
    }

    /// Whether something has not been told often enough.
    pub fn is_waiting(&self) -> bool {
        !self.spread.is_empty()
    }
}
