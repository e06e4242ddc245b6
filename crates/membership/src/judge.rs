//! What is believed of others, and when one is called dead: late, and never by a member that has reason to doubt
//! itself.

use crate::card::{Generation, MemberMetadata, Name};
use crate::claim::{MemberState, MemberStatus};
use crate::member::Member;
use crate::message::{Body, MemberUpdate};
use crate::node::{Event, Node};
use crate::probe::LATELY;
use crate::reach::PathState;
use crate::suspicion::Suspicion;
use crate::view::{Confidence, FleetSize, Observation, Verdict};
use std::time::Duration;

/// A member that has just woken accuses nobody for so many periods: others have to be heard first.
const QUIET: u32 = 4;
/// Where more than one in so many vanish together without their hosts saying that they are gone, it is the network
/// that failed, and not they.
const TOGETHER: usize = 3;
/// A suspected member is told so by each that still holds it for that, this often.
const TELL_AGAIN: u64 = 2_000_000_000;
/// A life of the own name is overtaken once in this time: two of one name must not race.
const TWIN_PAUSE: u64 = 10_000_000_000;

impl Node {
    /// Takes a claim. The last in the order of claims holds; equal ones confirm each other.
    pub(crate) fn learn(&mut self, now: u64, news: MemberUpdate) {
        if news.card.life != news.claim.life {
            return; // about nobody
        }
        if news.card.name == self.me.name {
            return self.about_me(now, &news);
        }
        let Some(member) = self.members.get_mut(&news.card.name) else {
            return self.learn_new(now, news);
        };
        let was = member.claim;
        if news.claim <= was {
            let same = news.claim == was && was.said == MemberState::Suspect;
            if let (true, Some(by), Some(suspicion)) =
                (same, news.by.clone(), member.suspicion.as_mut())
                && suspicion.confirm(by)
            {
                self.tell(news);
            }
            return;
        }
        let is_new_life = news.claim.life != was.life;
        if is_new_life {
            *member = Member::new(news.card.clone(), news.claim, now);
        }
        (member.claim, member.since) = (news.claim, now);
        let (name, by) = (news.card.name.clone(), news.by.clone());
        let suspicion = (news.claim.said == MemberState::Suspect).then(|| {
            Suspicion::new(
                now,
                &self.settings,
                self.fleet(),
                self.health.times(),
                by.clone(),
            )
        });
        match suspicion.is_some() {
            true => self.suspected.insert(name.clone()),
            false => self.suspected.remove(&name),
        };
        if let Some(member) = self.members.get_mut(&name) {
            member.suspicion = suspicion;
        }
        let event = match news.claim.said {
            MemberState::Alive if is_new_life => Some(Event::Joined(news.card.clone())),
            MemberState::Alive if was.said != MemberState::Alive => Some(Event::Recovered(name)),
            MemberState::Alive => None,
            MemberState::Suspect => Some(Event::Suspected { name, by }),
            MemberState::Dead => Some(Event::Dead { name, by }),
            MemberState::Left => Some(Event::Left(name)),
        };
        event.into_iter().for_each(|event| self.event(event));
        self.tell(news);
    }

    fn learn_new(&mut self, now: u64, news: MemberUpdate) {
        if self.members.len() >= self.settings.members {
            self.tallies.no_place += 1;
            return;
        }
        let mut member = Member::new(news.card.clone(), news.claim, now);
        if news.claim.said == MemberState::Suspect {
            let (size, times) = (self.fleet(), self.health.times());
            member.suspicion = Some(Suspicion::new(
                now,
                &self.settings,
                size,
                times,
                news.by.clone(),
            ));
            self.suspected.insert(news.card.name.clone());
        }
        if member.counts() {
            self.event(Event::Joined(news.card.clone()));
            // Somewhere among those that are still to be probed.
            let at = rand::RngExt::random_range(&mut self.rng, 0..=self.round.len());
            self.round.insert(at, news.card.name.clone());
        }
        self.members.insert(news.card.name.clone(), member);
        self.tell(news);
    }

    /// What is said of this member itself. It alone may contradict.
    fn about_me(&mut self, now: u64, news: &MemberUpdate) {
        let claim = news.claim;
        if claim.life == self.me.life {
            if claim.said == MemberState::Alive && claim.incarnation <= self.incarnation {
                return;
            }
            if claim.incarnation < self.incarnation || self.has_left {
                return;
            }
            match claim.contradiction() {
                Some(next) => self.incarnation = next,
                None => self.overtake(now, news), // somebody says that it left
            }
            if claim.said != MemberState::Alive {
                self.health.shows(true);
            }
            return self.tell_own();
        }
        // A former life is over, whatever is said of it.
        if claim.life > self.me.life && claim.said != MemberState::Left {
            let known = self.twins.get(&claim.life.id).copied();
            if known.is_some() && claim.said == MemberState::Alive {
                let (name, at) = (self.me.name.clone(), [self.me.at, news.card.at]);
                self.event(Event::NameConflict { name, at });
            }
            if known.is_none_or(|at| now >= at.saturating_add(TWIN_PAUSE)) && self.twins.len() < 64
            {
                self.twins.insert(claim.life.id, now);
                self.overtake(now, news);
                self.tell_own();
            }
        }
    }

    /// Begins a later life than one that its name is said to have had: after a clock that stepped back.
    fn overtake(&mut self, now: u64, news: &MemberUpdate) {
        self.me.life.started = news
            .claim
            .life
            .started
            .saturating_add(1)
            .max(self.me.life.started);
        self.incarnation = 0;
        let me = self.me.clone();
        self.facts.reborn(now, &me);
    }

    fn tell_own(&mut self) {
        self.tell(self.own_news());
    }

    /// This member did not run for a while: what it held against others may be its own doing.
    pub(crate) fn woke(&mut self, now: u64, gap: u64) {
        self.event(Event::ProcessPaused(Duration::from_nanos(gap)));
        if self.settings.plain {
            return;
        }
        self.health.stood_still(now, self.settings.period * QUIET);
        self.probe = None;
        self.relays.clear();
        self.lately.clear();
        for name in &self.suspected {
            let member = self.members.get_mut(name);
            member
                .and_then(|member| member.suspicion.as_mut())
                .iter_mut()
                .for_each(|it| it.hold(gap));
        }
        // It contradicts before anybody asks, and asks before it accuses.
        if self.incarnation < u32::MAX - 1 {
            self.incarnation += 1;
        }
        self.tell_own();
        self.ask_around(now);
    }

    /// This member finds that another may be gone.
    pub(crate) fn accuse(&mut self, now: u64, name: &Name) {
        if !self.health.may_accuse(now) || self.is_cut_off() {
            return;
        }
        let Some(member) = self.members.get(name).filter(|member| member.counts()) else {
            return;
        };
        let claim = MemberStatus {
            said: MemberState::Suspect,
            ..member.claim
        };
        let news = MemberUpdate {
            card: member.card.clone(),
            claim,
            by: Some(self.me.name.clone()),
        };
        self.learn(now, news);
    }

    /// Suspicions that nobody has contradicted end as deaths, where that may be judged.
    pub(crate) fn judge(&mut self, now: u64) {
        let cut_off = self.is_cut_off();
        if cut_off != std::mem::replace(&mut self.was_cut_off, cut_off) {
            self.event(Event::IsolationChanged(cut_off));
        }
        if self.suspected.is_empty() {
            return;
        }
        let others = self
            .members
            .values()
            .filter(|member| member.counts())
            .count();
        let silent = |member: &&Member| !member.refused;
        let together = self.suspected().filter(silent).count();
        let doubtful = cut_off || !self.health.may_accuse(now);
        let plain = self.settings.plain;
        if !plain && (doubtful || together > (others / TOGETHER).max(1)) {
            self.held_at = now;
        }
        // When what held the judgement back is over, those that are suspected have all their time once more.
        let held = now
            < self
                .held_at
                .saturating_add(self.settings.suspicion.as_nanos() as u64);
        let due = |member: &&Member| {
            let over = member
                .suspicion
                .as_ref()
                .is_some_and(|suspicion| now >= suspicion.until());
            over && !doubtful
                && (member.refused || !held && !member.spoke_since_suspected() || plain)
        };
        let asked = |member: &&Member| {
            let at = member
                .suspicion
                .as_ref()
                .and_then(|suspicion| suspicion.asked_at);
            plain || member.refused || at.is_some_and(|at| now >= at.saturating_add(self.period()))
        };
        let (over, open): (Vec<&Member>, Vec<&Member>) =
            self.suspected().filter(due).partition(asked);
        let over: Vec<(MemberMetadata, MemberStatus)> = over
            .iter()
            .map(|member| (member.card.clone(), member.claim))
            .collect();
        let first = |member: &&&Member| {
            member
                .suspicion
                .as_ref()
                .is_some_and(|it| it.asked_at.is_none())
        };
        let open: Vec<MemberMetadata> = open
            .iter()
            .filter(first)
            .map(|member| member.card.clone())
            .collect();
        open.into_iter().for_each(|card| self.ask_last(now, &card));
        if !plain {
            self.tell_suspects(now);
        }
        for (card, claim) in over {
            let claim = MemberStatus {
                said: MemberState::Dead,
                ..claim
            };
            self.learn(
                now,
                MemberUpdate {
                    card,
                    claim,
                    by: Some(self.me.name.clone()),
                },
            );
        }
    }

    /// Who has not heard a contradiction for a while tells the suspected one itself: it may have missed that it was said,
    /// or the other what it is to contradict, where a cut has just ended.
    fn tell_suspects(&mut self, now: u64) {
        let mut cards = Vec::new();
        for name in &self.suspected {
            let Some(member) = self.members.get_mut(name) else {
                continue;
            };
            if member
                .suspicion
                .as_mut()
                .is_some_and(|suspicion| suspicion.is_to_be_told(now, TELL_AGAIN))
            {
                cards.push(member.card.clone());
            }
        }
        for card in cards {
            self.number += 1;
            self.send(
                now,
                &card,
                Body::Ping {
                    number: self.number,
                    origin: None,
                },
            );
        }
    }

    /// One in a thousand misses the news that a suspicion was contradicted: so the suspected one is asked once more, by
    /// this member and by helpers, and hears what it has to contradict.
    fn ask_last(&mut self, now: u64, card: &MemberMetadata) {
        if let Some(suspicion) = self
            .members
            .get_mut(&card.name)
            .and_then(|member| member.suspicion.as_mut())
        {
            suspicion.asked_at = Some(now);
        }
        self.number += 1;
        let number = self.number;
        self.send(
            now,
            card,
            Body::Ping {
                number,
                origin: None,
            },
        );
        for helper in self.helpers(now, card) {
            self.send_about(
                now,
                &helper,
                Body::IndirectPing {
                    number,
                    target: card.clone(),
                },
                Some(&card.name),
            );
        }
    }

    /// Forgets those that are long gone, and facts of theirs.
    pub(crate) fn forget(&mut self, now: u64) {
        let remembered = self.settings.remembered.as_nanos() as u64;
        self.members
            .retain(|_, member| member.counts() || now < member.since.saturating_add(remembered));
        let mut facts = std::mem::take(&mut self.facts);
        facts.retain(|owner, life| {
            self.keeps_facts_of(owner, now) == Some(life)
                || (owner, life) == (&self.me.name, self.me.life)
        });
        self.facts = facts;
    }

    /// The life of a member whose facts are kept: while it counts, and for a while after.
    pub(crate) fn keeps_facts_of(&self, owner: &Name, now: u64) -> Option<Generation> {
        let member = self.members.get(owner)?;
        let outlives = self.settings.fact_outlives.as_nanos() as u64;
        let kept = member.counts() || now < member.since.saturating_add(outlives);
        kept.then_some(member.claim.life)
    }

    /// Whether the last probes of members that nothing was said against say more about this member than about them.
    pub(crate) fn is_cut_off(&self) -> bool {
        if self.settings.plain {
            return false;
        }
        let well = self.lately.iter().filter(|well| **well).count();
        let enough = self.lately.len() >= LATELY.min(self.members.len().max(2));
        let alone =
            !self.members.is_empty() && !self.members.values().any(|member| member.is_alive());
        alone && well == 0 || enough && well * 4 < self.lately.len()
    }

    /// How many there are, this member included.
    fn fleet(&self) -> usize {
        1 + self
            .members
            .values()
            .filter(|member| member.counts())
            .count()
    }

    /// All that are known, the dead and those that left for a while as well, in no order.
    pub fn members(&self, now: u64) -> impl Iterator<Item = Observation<'_>> {
        self.members
            .values()
            .map(move |member| self.seen(member, now))
    }

    fn seen<'a>(&self, member: &'a Member, now: u64) -> Observation<'a> {
        let holds = self.holds();
        let (to, from) = (member.reach.to(now, holds), member.reach.from(now, holds));
        let state = match (member.claim.said, &member.suspicion) {
            (MemberState::Left, _) => Verdict::Left,
            (MemberState::Dead, _) => Verdict::Dead,
            // It says itself that it is there, but hears too little from here to contradict.
            (MemberState::Suspect, _)
                if to == PathState::Partitioned && member.spoke_since_suspected() =>
            {
                Verdict::Partitioned { to, from }
            }
            (MemberState::Suspect, Some(suspicion)) if now >= suspicion.until() => {
                Verdict::UnknownSince(member.since)
            }
            (MemberState::Suspect, _) => Verdict::Suspect,
            (MemberState::Alive, _)
                if to == PathState::Partitioned || from == PathState::Partitioned =>
            {
                Verdict::Partitioned { to, from }
            }
            (MemberState::Alive, _) => Verdict::Alive,
        };
        let suspected_by = member
            .suspicion
            .iter()
            .flat_map(|suspicion| suspicion.by())
            .collect();
        let (since, found_at) = (member.since, member.found_at);
        Observation {
            card: &member.card,
            state,
            since,
            found_at,
            suspected_by,
        }
    }

    /// What is known of one.
    pub fn state(&self, name: &Name, now: u64) -> Option<Verdict> {
        self.members
            .get(name)
            .map(|member| self.seen(member, now).state)
    }

    /// How much of the fleet is heard at this moment.
    pub fn sure(&self, now: u64) -> Confidence {
        let holds = self.holds();
        let part = |own: bool| {
            let of = self
                .members
                .values()
                .filter(|m| m.counts() && (m.card.zone == self.me.zone) == own);
            let (mut all, mut found) = (0, 0);
            for member in of {
                all += 1;
                found += usize::from(
                    member
                        .found_at
                        .is_some_and(|at| now < at.saturating_add(holds)),
                );
            }
            if all == 0 {
                1.0
            } else {
                f64::from(found as u32) / f64::from(all)
            }
        };
        let cut_off = self.is_cut_off() || !self.health.may_accuse(now);
        Confidence {
            own_zone: part(true),
            others: part(false),
            cut_off,
        }
    }

    /// How large the fleet is.
    pub fn size(&self) -> FleetSize {
        let least = 1 + self
            .members
            .values()
            .filter(|member| member.is_alive())
            .count();
        FleetSize {
            least,
            most: self.fleet(),
        }
    }
}
