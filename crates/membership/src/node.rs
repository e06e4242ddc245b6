//! One member: what it is handed, and what it says and finds.

use crate::card::{MemberMetadata, Name};
use crate::claim::{MemberState, MemberStatus};
use crate::facts::{PublishError, Record, RecordStore};
use crate::health::LocalHealth;
use crate::member::Member;
use crate::message::{Body, MemberUpdate, Message, MessageError, size};
use crate::probe::{Probe, Relay};
use crate::reach::PathState;
use crate::settings::{Settings, SettingsError};
use crate::spread::GossipQueue;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// News that waits goes out this often, apart from what goes along with probes.
const TELL: u64 = 100_000_000;
/// Suspicions are judged this often at most: in a great failure there are many, and much comes.
const JUDGES: u64 = 100_000_000;
/// A young member compares all with others so many times as often.
const YOUNG: u64 = 5;
/// Where one was found to be gone, others that were not heard for so long are looked for, for so long.
const UNHEARD: u64 = 1_000_000_000;
const MORE_GONE: u64 = 5_000_000_000;
/// To so many members.
const TOLD: usize = 3;
/// Priorities from here on do not wait for the next turn.
pub(crate) const URGENT: u8 = 128;
/// Events that nobody has fetched; the oldest go.
const EVENTS: usize = 4_096;

/// A message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// To whom.
    pub to: SocketAddr,
    /// What.
    pub bytes: Vec<u8>,
    /// Whether it may be longer than a datagram, and is to arrive.
    pub reliable: bool,
}

/// Something that changed, for a log line or for what builds on this.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member that was not known, or a new life of one.
    Joined(MemberMetadata),
    /// One that was suspected or dead is there.
    Recovered(Name),
    /// One may be gone.
    Suspected {
        /// Which.
        name: Name,
        /// Who says so first hand.
        by: Option<Name>,
    },
    /// One is gone.
    Dead {
        /// Which.
        name: Name,
        /// Who says so first hand.
        by: Option<Name>,
    },
    /// One has left.
    Left(Name),
    /// This member did not run for so long.
    ProcessPaused(Duration),
    /// A name is used by two processes at once.
    NameConflict {
        /// The name.
        name: Name,
        /// Where they are.
        at: [SocketAddr; 2],
    },
    /// This member is cut off from most others, or no longer.
    IsolationChanged(bool),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages that came.
    pub came: u64,
    /// Of these, those that were none.
    pub not_understood: u64,
    /// Messages sent.
    pub sent: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Members that there was no place for.
    pub no_place: u64,
    /// Facts that were not taken.
    pub facts_dropped: u64,
    /// How often this member stood still.
    pub stalls: u64,
}

/// See the crate's documentation.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) me: MemberMetadata,
    pub(crate) incarnation: u32,
    pub(crate) has_left: bool,
    /// In the order in which they were heard of.
    pub(crate) members: IndexMap<Name, Member>,
    /// Those of them that are suspected.
    pub(crate) suspected: BTreeSet<Name>,
    /// Whom to probe, in turn.
    pub(crate) round: Vec<Name>,
    pub(crate) number: u64,
    pub(crate) probe: Option<Probe>,
    pub(crate) relays: Vec<Relay>,
    /// The last helper that got through to anybody.
    pub(crate) got_through: Option<Name>,
    /// How the last probes of members that nothing was said against ended.
    pub(crate) lately: VecDeque<bool>,
    pub(crate) was_cut_off: bool,
    /// When a host last said that a member's process is gone.
    refused_at: Option<u64>,
    /// When judgement was last held back.
    pub(crate) held_at: u64,
    pub(crate) next_probe: u64,
    next_tell: u64,
    next_compare: u64,
    next_judge: u64,
    young_until: u64,
    turn: u64,
    pub(crate) spread: GossipQueue<Name, MemberUpdate>,
    pub(crate) facts: RecordStore,
    pub(crate) health: LocalHealth,
    pub(crate) rng: ChaCha8Rng,
    seeds: Vec<SocketAddr>,
    /// Somebody has told it all that it knows.
    pub(crate) was_told: bool,
    /// Lives of this member's own name that it had to overtake, and when it last did.
    pub(crate) twins: BTreeMap<u64, u64>,
    out: VecDeque<OutgoingMessage>,
    events: VecDeque<Event>,
    pub(crate) tallies: Counters,
}

impl Node {
    /// One that knows nobody but where to ask. `now` is of the clock that all later times are of.
    pub fn new(
        me: MemberMetadata,
        seeds: Vec<SocketAddr>,
        settings: Settings,
        seed: u64,
        now: u64,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let plain = settings.plain;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Those that start together do not probe together.
        let first = now + rng.random_range(0..settings.period.as_nanos() as u64);
        let often = settings.compare.as_nanos() as u64;
        let compare = now + rng.random_range(0..(often / YOUNG).max(1));
        Ok(Self {
            settings,
            me,
            incarnation: 0,
            has_left: false,
            members: IndexMap::new(),
            suspected: BTreeSet::new(),
            round: Vec::new(),
            number: 0,
            probe: None,
            relays: Vec::new(),
            got_through: None,
            lately: VecDeque::new(),
            was_cut_off: false,
            refused_at: None,
            held_at: now,
            next_probe: first,
            next_tell: now,
            next_compare: compare,
            next_judge: now,
            young_until: now.saturating_add(3 * often),
            turn: now,
            spread: GossipQueue::default(),
            facts: RecordStore::default(),
            health: LocalHealth::new(plain),
            rng,
            seeds,
            was_told: false,
            twins: BTreeMap::new(),
            out: VecDeque::new(),
            events: VecDeque::new(),
            tallies: Counters::default(),
        })
    }

    /// Itself.
    pub fn me(&self) -> &MemberMetadata {
        &self.me
    }

    /// Other addresses at which to ask while it knows nobody.
    pub fn ask_at(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// How well it does itself: 1 where all is well, up to 9 times as slow in its judgements.
    pub fn times(&self) -> u32 {
        self.health.times()
    }

    /// The last that is claimed of a member.
    pub fn claim(&self, name: &Name) -> Option<MemberStatus> {
        self.members.get(name).map(|member| member.claim)
    }

    /// Those that may be gone.
    pub fn suspects(&self) -> impl Iterator<Item = &MemberMetadata> {
        self.suspected().map(|member| &member.card)
    }

    /// Those whose hosts are worth asking whether a process is there: who may be gone and, for a while after a host has
    /// said so of one, who was not heard since. Where many die at once, to probe them one by one takes rounds.
    pub fn to_look_for(&self, now: u64) -> impl Iterator<Item = &MemberMetadata> {
        let lately = self
            .refused_at
            .is_some_and(|at| now < at.saturating_add(MORE_GONE));
        let since = now.saturating_sub(UNHEARD);
        let unheard = move |member: &&Member| {
            lately && member.is_alive() && member.found_at.is_none_or(|found_at| found_at < since)
        };
        self.suspects().chain(
            self.members
                .values()
                .filter(unheard)
                .map(|member| &member.card),
        )
    }

    pub(crate) fn suspected(&self) -> impl Iterator<Item = &Member> {
        self.suspected
            .iter()
            .filter_map(|name| self.members.get(name))
    }

    /// When it has to be called again, at the latest.
    pub fn wake_at(&self) -> u64 {
        // Often enough that a late turn shows.
        let mut wake = self
            .next_probe
            .min(self.turn + self.settings.stall.as_nanos() as u64 / 2);
        wake = wake.min(self.next_compare);
        if let Some(probe) = &self.probe {
            wake = wake.min(probe.next());
        }
        wake = self
            .relays
            .iter()
            .map(|relay| relay.next())
            .fold(wake, u64::min);
        if !self.spread.is_empty() || self.facts.is_waiting() {
            wake = wake.min(self.next_tell);
        }
        if self.suspected.is_empty() {
            wake
        } else {
            wake.min(self.next_judge)
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: u64) {
        if self.has_left {
            return;
        }
        let gap = now.saturating_sub(std::mem::replace(&mut self.turn, now));
        if gap > self.settings.stall.as_nanos() as u64 {
            self.woke(now, gap);
        }
        self.relays_end(now);
        self.probe_goes_on(now);
        if now >= self.next_probe {
            self.next_probe = now + self.period();
            self.forget(now);
            self.tell_cuts(now);
            // One that is spoken to before it has asked knows a few, and would find the others one by one.
            if !self.was_told {
                self.ask_around(now);
            }
            self.probe_next(now);
        }
        if now >= self.next_judge {
            self.next_judge = now + JUDGES;
            self.judge(now);
        }
        if now >= self.next_compare {
            // Those that start together are told by some that know little themselves.
            let part = if now < self.young_until { YOUNG } else { 1 };
            let compare = self.settings.compare.as_nanos() as u64 / part;
            self.next_compare = now + compare / 2 + self.rng.random_range(0..compare.max(1));
            self.compare_with_one(now);
        }
        if now >= self.next_tell && (!self.spread.is_empty() || self.facts.is_waiting()) {
            let urgent = !self.spread.is_empty() || self.facts.is_urgent();
            // What is not urgent goes along with probes, and now and then by itself.
            let (wait, told) = if urgent { (TELL, TOLD) } else { (5 * TELL, 1) };
            self.next_tell = now + wait;
            for to in self.some_that_hear(now, told) {
                self.send(now, &to, Body::Gossip);
            }
        }
    }

    /// Some of those that count, without those to whom the way is known to be cut: what goes along it is told to nobody.
    pub(crate) fn some_that_hear(&mut self, now: u64, most: usize) -> Vec<MemberMetadata> {
        let (holds, plain) = (self.holds(), self.settings.plain);
        self.some(most, |member| {
            member.counts() && (plain || member.reach.to(now, holds) != PathState::Partitioned)
        })
    }

    /// A message has come. `from` is where it came from; what it says of itself counts.
    pub fn heard(&mut self, now: u64, bytes: &[u8]) -> Result<(), MessageError> {
        self.tallies.came += 1;
        let message = Message::read(bytes, self.settings.fact_bytes);
        let message = message.inspect_err(|_| self.tallies.not_understood += 1)?;
        // What waited while this member stood still is old: it has to know that first.
        self.tick(now);
        if !self.has_left {
            self.take(now, message);
        }
        Ok(())
    }

    /// A host has said that no process listens at an address of its own.
    pub fn refused(&mut self, now: u64, at: SocketAddr) {
        let name = self
            .members
            .values()
            .find(|member| member.card.at == at && member.counts());
        let Some(name) = name.map(|member| member.card.name.clone()) else {
            return;
        };
        if let Some(member) = self.members.get_mut(&name) {
            member.refused = true;
        }
        self.refused_at = Some(now);
        self.accuse(now, &name);
        let refused = self.settings.refused.as_nanos() as u64;
        if let Some(suspicion) = self
            .members
            .get_mut(&name)
            .and_then(|member| member.suspicion.as_mut())
        {
            suspicion.hasten(now, refused);
        }
    }

    /// Tells all that it leaves. Nothing more comes from it after what is fetched then.
    pub fn leave(&mut self, now: u64) {
        if std::mem::replace(&mut self.has_left, true) {
            return;
        }
        let claim = MemberStatus::left(self.me.life);
        self.tell(MemberUpdate {
            card: self.me.clone(),
            claim,
            by: None,
        });
        for to in self.some(3 * TOLD, |member| member.counts()) {
            self.send(now, &to, Body::Gossip);
        }
    }

    /// Says something to all, in place of what it said under the key; nothing takes it back.
    pub fn say(
        &mut self,
        now: u64,
        key: Name,
        priority: u8,
        bytes: Vec<u8>,
    ) -> Result<(), PublishError> {
        let me = self.me.clone();
        self.facts
            .say(now, &me, key, priority, bytes, &self.settings)?;
        if priority >= URGENT {
            self.next_tell = self.next_tell.min(now);
        }
        Ok(())
    }

    /// Bytes of a fact at most.
    pub fn fact_room(&self) -> usize {
        self.settings.fact_bytes
    }

    /// What is known: owner, key, fact. It is evidence, never a command.
    pub fn facts(&self) -> impl Iterator<Item = (&Name, &Name, &Record)> {
        self.facts.iter()
    }

    /// One fact.
    pub fn fact(&self, owner: &Name, key: &Name) -> Option<&Record> {
        self.facts.get(owner, key)
    }

    /// The next message to be sent.
    pub fn next_out(&mut self) -> Option<OutgoingMessage> {
        self.out.pop_front()
    }

    /// The next thing that changed.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Counts.
    pub fn tallies(&self) -> Counters {
        Counters {
            facts_dropped: self.facts.dropped(),
            stalls: self.health.stalls(),
            ..self.tallies
        }
    }

    pub(crate) fn period(&self) -> u64 {
        self.settings.period.as_nanos() as u64 * u64::from(self.health.times())
    }

    pub(crate) fn event(&mut self, event: Event) {
        if self.events.len() == EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// How often a piece of news goes out.
    fn goes_out(&self) -> u32 {
        let size = (self.members.len() + 2) as f64;
        (self.settings.spread * size.log10()).ceil().max(1.0) as u32
    }

    pub(crate) fn tell(&mut self, news: MemberUpdate) {
        let bytes = size(&news);
        self.spread.tell(news.card.name.clone(), news, bytes, 0);
    }

    /// Some members, chosen by chance, in no order.
    pub(crate) fn some(
        &mut self,
        most: usize,
        is_one: impl Fn(&Member) -> bool,
    ) -> Vec<MemberMetadata> {
        let size = self.members.len();
        let mut chosen: Vec<usize> = Vec::new();
        // Where most of many will do, a few looks find them; else all are looked at.
        let looks = if most < size / 4 { 4 * most } else { 0 };
        for _ in 0..looks {
            let at = self.rng.random_range(0..size);
            let fits = self
                .members
                .get_index(at)
                .is_some_and(|(_, member)| is_one(member));
            if fits && !chosen.contains(&at) {
                chosen.push(at);
            }
            if chosen.len() == most {
                break;
            }
        }
        if chosen.len() < most {
            chosen = (0..size).filter(|at| is_one(&self.members[*at])).collect();
            let (some, _) =
                rand::seq::SliceRandom::partial_shuffle(&mut chosen[..], &mut self.rng, most);
            chosen = some.to_vec();
        }
        chosen
            .into_iter()
            .map(|at| self.members[at].card.clone())
            .collect()
    }

    /// What this member says of itself.
    pub(crate) fn own_news(&self) -> MemberUpdate {
        let claim = MemberStatus {
            life: self.me.life,
            incarnation: self.incarnation,
            said: MemberState::Alive,
        };
        MemberUpdate {
            card: self.me.clone(),
            claim,
            by: None,
        }
    }

    /// A message that nothing goes along with.
    pub(crate) fn message(&self, to: Option<&MemberMetadata>, body: Body) -> Message {
        let (from, incarnation) = (self.me.clone(), self.incarnation);
        let to = to.map(|to| (to.name.clone(), to.life));
        Message {
            from,
            incarnation,
            to,
            body,
            news: Vec::new(),
            facts: Vec::new(),
        }
    }

    /// A message with as much of what is to be told as a datagram holds.
    pub(crate) fn send(&mut self, now: u64, to: &MemberMetadata, body: Body) {
        self.send_about(now, to, body, None);
    }

    /// The same, with what is claimed of another: who asks for a member tells what is held against it, and who found it
    /// what it said, so that one word more or less under way does not leave it suspected.
    pub(crate) fn send_about(
        &mut self,
        now: u64,
        to: &MemberMetadata,
        body: Body,
        about: Option<&Name>,
    ) {
        let mut message = self.message(Some(to), body);
        let times = self.goes_out();
        // The counts of news and facts, and the version.
        let mut room = self.settings.datagram.saturating_sub(size(&message) + 8);
        // One that is suspected hears of it with whatever comes, so that it can contradict.
        let tells = |member: &&Member| !member.is_alive() && !self.settings.plain;
        let of_it = self.members.get(&to.name).filter(tells);
        let of_another = about
            .and_then(|name| self.members.get(name))
            .filter(|_| !self.settings.plain);
        for member in of_it.into_iter().chain(of_another) {
            let news = member.news();
            room = room.saturating_sub(size(&news));
            message.news.push(news);
        }
        let news = self.spread.take(room, times);
        room -= news.iter().map(size).sum::<usize>().min(room);
        message.news.extend(news);
        message.facts = self.facts.take(now, room, times, &self.settings);
        if message.body == Body::Gossip && message.news.is_empty() && message.facts.is_empty() {
            return;
        }
        self.push(to.at, &message, false);
    }

    pub(crate) fn push(&mut self, to: SocketAddr, message: &Message, reliable: bool) {
        let bytes = message.write();
        (self.tallies.sent, self.tallies.bytes) = (
            self.tallies.sent + 1,
            self.tallies.bytes + bytes.len() as u64,
        );
        self.out.push_back(OutgoingMessage {
            to,
            bytes,
            reliable,
        });
    }

    /// Asks whoever may know: the members that it had, and else the seeds.
    pub(crate) fn ask_around(&mut self, now: u64) {
        let some = self.some(TOLD, |member| member.claim.said != MemberState::Left);
        for to in &some {
            self.send(now, to, Body::StateRequest);
        }
        if some.is_empty() || !self.was_told {
            let message = self.message(None, Body::StateRequest);
            let seeds: Vec<SocketAddr> = self
                .seeds
                .iter()
                .copied()
                .filter(|at| *at != self.me.at)
                .collect();
            seeds
                .into_iter()
                .for_each(|at| self.push(at, &message, false));
        }
    }

    fn take(&mut self, now: u64, message: Message) {
        let Message {
            from,
            incarnation,
            to,
            body,
            news,
            facts,
        } = message;
        if from.name == self.me.name {
            if from.life != self.me.life {
                let claim = MemberStatus {
                    life: from.life,
                    incarnation,
                    said: MemberState::Alive,
                };
                self.learn(
                    now,
                    MemberUpdate {
                        card: from,
                        claim,
                        by: None,
                    },
                );
            }
            return;
        }
        let claim = MemberStatus {
            life: from.life,
            incarnation,
            said: MemberState::Alive,
        };
        self.learn(
            now,
            MemberUpdate {
                card: from.clone(),
                claim,
                by: None,
            },
        );
        let current = self
            .members
            .get_mut(&from.name)
            .filter(|member| member.claim.life == from.life);
        if let Some(member) = current {
            member.reach.heard(now);
            member.found_at = Some(now);
            member.refused = false;
        }
        news.into_iter().for_each(|news| self.learn(now, news));
        for fact in facts {
            let life = match fact.owner == self.me.name {
                true => None, // nobody tells this member what it said
                // Nor is what is over here taken again from one where it is not.
                false => self.keeps_facts_of(&fact.owner, now),
            };
            if self.facts.hear(now, fact, life, &self.settings) {
                self.next_tell = self.next_tell.min(now + TELL / 4);
            }
        }
        // What is meant for a former life of this name must not be answered by this one.
        let mine =
            to.is_none_or(|(name, life)| (name, life) == (self.me.name.clone(), self.me.life));
        if !mine {
            self.tell(self.own_news());
            return self.send(now, &from, Body::Gossip);
        }
        self.answer(now, from, body);
    }

    fn answer(&mut self, now: u64, from: MemberMetadata, body: Body) {
        match body {
            Body::Ping { number, origin } => self.pinged(now, &from, number, origin),
            Body::Ack { number, heard } => self.acked(now, &from, number, heard),
            Body::IndirectPing { number, target } => self.ping_for(now, from, number, target),
            Body::RelayedAck { number, heard } => self.relayed(now, &from, number, heard),
            Body::Nack { number } => self.no_answer(number),
            Body::StateRequest => self.send_parts(now, &from, |_| true, false),
            Body::ShardDigests(sums) => self.compared(now, &from, &sums),
            Body::ShardState { again: false, .. } if !self.was_told => self.was_told = true,
            Body::ShardState { parts, again: true } => {
                self.send_parts(now, &from, |part| parts.contains(&part), false);
            }
            Body::ShardState { .. } | Body::Gossip => {}
        }
    }

    /// The ways between this member and another one, as far as that is known: there and back.
    pub fn ways(&self, name: &Name, now: u64) -> (PathState, PathState) {
        let holds = self.holds();
        self.members
            .get(name)
            .map_or((PathState::Unknown, PathState::Unknown), |member| {
                (member.reach.to(now, holds), member.reach.from(now, holds))
            })
    }

    /// How long what was found of a member holds: three rounds of probes.
    pub(crate) fn holds(&self) -> u64 {
        3 * self.round()
    }

    /// In this time each member is probed once, and probes once, where all are well.
    pub(crate) fn round(&self) -> u64 {
        self.settings.period.as_nanos() as u64 * (self.members.len() as u64 + 2)
    }
}
