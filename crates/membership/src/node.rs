//! The state machine of one member. This module holds the state, the timers and the public queries;
//! each submodule implements one concern of the protocol.

mod anti_entropy;
mod gossip;
mod membership;
mod observations;
pub(crate) mod partitions;
mod pause;
mod probing;
mod receiving;
mod refutation;
mod relaying;
mod suspicions;

use crate::event::{Counters, Event, OutgoingMessage};
use crate::gossip_queue::GossipQueue;
use crate::local_health::LocalHealth;
use crate::member::Member;
use crate::message::MemberUpdate;
use crate::metadata::{MemberMetadata, Name};
use crate::probe::{Probe, RelayedProbe};
use crate::records::{PublishError, Record, RecordStore, URGENT_PRIORITY};
use crate::settings::{Settings, SettingsError};
use crate::time::{Timestamp, nanos};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Interval between two evaluations of the suspicions. A large failure causes many suspicions and
/// many messages, so suspicions are not evaluated on every message.
const EVALUATION_INTERVAL_NS: u64 = 100_000_000;
/// Factor by which a newly started member runs anti-entropy more often.
const BOOTSTRAP_SYNC_FACTOR: u64 = 5;
/// Number of anti-entropy intervals during which a member counts as newly started.
const BOOTSTRAP_SYNC_INTERVALS: u64 = 3;
/// Maximum number of events that wait for the caller. The oldest events are dropped first.
const MAX_EVENTS: usize = 4_096;

/// One member of the fleet as a state machine. The caller passes in times and messages and takes
/// out messages and events. The node never blocks, reads a clock or performs I/O.
///
/// After each call, the caller drains [`next_outgoing`](Self::next_outgoing) and
/// [`next_event`](Self::next_event), and calls [`tick`](Self::tick) no later than
/// [`next_deadline`](Self::next_deadline).
pub struct Node {
    settings: Settings,
    local: MemberMetadata,
    /// The local member's SWIM incarnation number.
    incarnation: u32,
    has_left: bool,
    /// The other members, in the order of their first update.
    members: IndexMap<Name, Member>,
    /// Names of the suspected members.
    suspected: BTreeSet<Name>,
    /// Members to probe in the current round, in reverse order: the last one is probed next.
    probe_queue: Vec<Name>,
    /// The sequence number of the most recent ping.
    last_sequence: u64,
    probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    /// The most recent relay that reached any probe target.
    last_successful_relay: Option<Name>,
    /// Results of the most recent probes, counting failures only of targets that were alive when
    /// the probe started.
    recent_probes: VecDeque<bool>,
    was_isolated: bool,
    /// Time of the most recent refused connection to any member.
    last_refusal_at: Option<Timestamp>,
    /// Time at which verdicts were last deferred because of a mass failure or doubts about the
    /// local member.
    verdicts_deferred_at: Timestamp,
    next_probe_at: Timestamp,
    next_gossip_at: Timestamp,
    next_sync_at: Timestamp,
    next_evaluation_at: Timestamp,
    bootstrap_until: Timestamp,
    last_tick_at: Timestamp,
    gossip: GossipQueue<Name, MemberUpdate>,
    records: RecordStore,
    local_health: LocalHealth,
    rng: ChaCha8Rng,
    seeds: Vec<SocketAddr>,
    /// Whether another member has sent its complete state.
    is_synced: bool,
    /// Ids of the received later generations of the local name, with the time at which each one was
    /// last superseded.
    rival_generations: BTreeMap<u64, Timestamp>,
    outgoing: VecDeque<OutgoingMessage>,
    events: VecDeque<Event>,
    counters: Counters,
}

impl Node {
    /// Creates a member that knows only the addresses of its seeds. All random draws derive from
    /// `rng_seed`. All later times passed to the node use the clock of `now`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn new(
        local: MemberMetadata,
        seeds: Vec<SocketAddr>,
        settings: Settings,
        rng_seed: u64,
        now: Timestamp,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut rng = ChaCha8Rng::seed_from_u64(rng_seed);
        // A random offset keeps members that start together from probing in step.
        let next_probe_at = now + rng.random_range(0..nanos(settings.probe_interval));
        let sync_interval = nanos(settings.sync_interval);
        let first_sync = (sync_interval / BOOTSTRAP_SYNC_FACTOR).max(1);
        let next_sync_at = now + rng.random_range(0..first_sync);
        let bootstrap = BOOTSTRAP_SYNC_INTERVALS * sync_interval;
        Ok(Self {
            local_health: LocalHealth::new(settings.plain_swim),
            settings,
            local,
            incarnation: 0,
            has_left: false,
            members: IndexMap::new(),
            suspected: BTreeSet::new(),
            probe_queue: Vec::new(),
            last_sequence: 0,
            probe: None,
            relayed_probes: Vec::new(),
            last_successful_relay: None,
            recent_probes: VecDeque::new(),
            was_isolated: false,
            last_refusal_at: None,
            verdicts_deferred_at: now,
            next_probe_at,
            next_gossip_at: now,
            next_sync_at,
            next_evaluation_at: now,
            bootstrap_until: now.saturating_add(bootstrap),
            last_tick_at: now,
            gossip: GossipQueue::default(),
            records: RecordStore::default(),
            rng,
            seeds,
            is_synced: false,
            rival_generations: BTreeMap::new(),
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
            counters: Counters::default(),
        })
    }

    /// Metadata of the local member.
    pub fn local(&self) -> &MemberMetadata {
        &self.local
    }

    /// Replaces the seed addresses, which receive state requests while no other member is known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// The factor that Lifeguard's local health applies to the local member's time-outs: 1 when
    /// healthy, 9 at most.
    pub fn health_multiplier(&self) -> u32 {
        self.local_health.multiplier()
    }

    /// The latest time for the next call of [`tick`](Self::tick).
    pub fn next_deadline(&self) -> Timestamp {
        // Ticks are scheduled at half the pause threshold, so that a late tick reveals a pause of
        // the process.
        let half_threshold = nanos(self.settings.pause_threshold) / 2;
        let mut deadline = self.next_probe_at.min(self.last_tick_at + half_threshold);
        deadline = deadline.min(self.next_sync_at);
        if let Some(probe) = &self.probe {
            deadline = deadline.min(probe.deadline());
        }
        for relayed in &self.relayed_probes {
            deadline = deadline.min(relayed.ends_at);
        }
        if self.has_queued_updates() {
            deadline = deadline.min(self.next_gossip_at);
        }
        match self.suspected.is_empty() {
            true => deadline,
            false => deadline.min(self.next_evaluation_at),
        }
    }

    /// Runs all timers that are due.
    pub fn tick(&mut self, now: Timestamp) {
        if self.has_left {
            return;
        }
        let gap = now.saturating_sub(std::mem::replace(&mut self.last_tick_at, now));
        if gap > nanos(self.settings.pause_threshold) {
            self.resume_after_pause(now, gap);
        }
        self.end_relayed_probes(now);
        self.continue_probe(now);
        if now >= self.next_probe_at {
            self.start_probe_interval(now);
        }
        if now >= self.next_evaluation_at {
            self.next_evaluation_at = now + EVALUATION_INTERVAL_NS;
            self.evaluate_suspicions(now);
        }
        if now >= self.next_sync_at {
            self.schedule_sync(now);
            self.send_digests(now);
        }
        if now >= self.next_gossip_at && self.has_queued_updates() {
            self.send_gossip(now);
        }
    }

    fn start_probe_interval(&mut self, now: Timestamp) {
        self.next_probe_at = now + self.scaled_probe_interval_ns();
        self.expire_members(now);
        self.publish_partitions(now);
        // An unsynchronized member may already know a few members that contacted it. Without a
        // state request it would discover the remaining members one by one.
        if !self.is_synced {
            self.request_state(now);
        }
        self.start_probe(now);
    }

    fn schedule_sync(&mut self, now: Timestamp) {
        // In a fleet that starts together, the first anti-entropy peers know few members
        // themselves, so a new member synchronizes more often.
        let factor = match now < self.bootstrap_until {
            true => BOOTSTRAP_SYNC_FACTOR,
            false => 1,
        };
        let interval = nanos(self.settings.sync_interval) / factor;
        let jitter = self.rng.random_range(0..interval.max(1));
        self.next_sync_at = now + interval / 2 + jitter;
    }

    /// Publishes a record to all members, replacing the local member's record under the same key.
    /// The record stays until it is replaced or the local member leaves or dies. An empty value
    /// withdraws the record.
    ///
    /// # Errors
    ///
    /// [`PublishError`] if the value is too long or the local member has too many records.
    pub fn publish(
        &mut self,
        now: Timestamp,
        key: Name,
        priority: u8,
        value: Vec<u8>,
    ) -> Result<(), PublishError> {
        let (local, settings) = (&self.local, &self.settings);
        self.records
            .publish(now, local, key, priority, value, settings)?;
        if priority >= URGENT_PRIORITY {
            self.next_gossip_at = self.next_gossip_at.min(now);
        }
        Ok(())
    }

    /// The maximum length of a record's value in bytes.
    pub fn max_record_bytes(&self) -> usize {
        self.settings.max_record_bytes
    }

    /// All known records with their owners and keys. Record contents are unverified claims of their
    /// owners and must not be treated as commands.
    pub fn records(&self) -> impl Iterator<Item = (&Name, &Name, &Record)> {
        self.records.iter()
    }

    /// The record of `owner` under `key`, if known.
    pub fn record(&self, owner: &Name, key: &Name) -> Option<&Record> {
        self.records.get(owner, key)
    }

    /// Takes the next outgoing message.
    pub fn next_outgoing(&mut self) -> Option<OutgoingMessage> {
        self.outgoing.pop_front()
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Counters since the node was created.
    pub fn counters(&self) -> Counters {
        Counters {
            records_dropped: self.records.dropped(),
            process_pauses: self.local_health.pauses(),
            ..self.counters
        }
    }

    fn emit(&mut self, event: Event) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The probe interval in nanoseconds, scaled by the local health multiplier.
    fn scaled_probe_interval_ns(&self) -> u64 {
        let multiplier = u64::from(self.local_health.multiplier());
        nanos(self.settings.probe_interval) * multiplier
    }

    /// Duration of a probe round in nanoseconds. In one round, every member of a healthy fleet
    /// sends one probe per interval and is probed once.
    fn probe_round_ns(&self) -> u64 {
        let members = self.members.len() as u64 + 2;
        nanos(self.settings.probe_interval) * members
    }

    /// Nanoseconds for which an observation of a member stays valid: three probe rounds.
    fn observation_lifetime_ns(&self) -> u64 {
        3 * self.probe_round_ns()
    }

    /// Up to `max` members that satisfy `is_eligible`, in random order.
    fn random_members(
        &mut self,
        max: usize,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> Vec<MemberMetadata> {
        let mut chosen = self.sample_members(max, &is_eligible);
        if chosen.len() < max {
            chosen = (0..self.members.len())
                .filter(|index| is_eligible(&self.members[*index]))
                .collect();
            let (drawn, _) =
                rand::seq::SliceRandom::partial_shuffle(&mut chosen[..], &mut self.rng, max);
            chosen = drawn.to_vec();
        }
        let members = chosen.into_iter().map(|index| &self.members[index]);
        members.map(|member| member.metadata.clone()).collect()
    }

    /// Indices of up to `max` eligible members, found by a few random draws. In a large fleet with
    /// mostly eligible members, the draws suffice and cost less than a scan of all members.
    fn sample_members(&mut self, max: usize, is_eligible: &impl Fn(&Member) -> bool) -> Vec<usize> {
        let size = self.members.len();
        let draws = if max < size / 4 { 4 * max } else { 0 };
        let mut chosen = Vec::new();
        for _ in 0..draws {
            let index = self.rng.random_range(0..size);
            let member = self.members.get_index(index);
            if member.is_some_and(|(_, member)| is_eligible(member)) && !chosen.contains(&index) {
                chosen.push(index);
            }
            if chosen.len() == max {
                break;
            }
        }
        chosen
    }
}
