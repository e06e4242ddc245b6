//! Probes: each member in turn, by way of others where it does not answer, and which way was cut.

use crate::card::{MemberMetadata, Name};
use crate::member::Member;
use crate::message::{Body, ProbeOrigin};
use crate::node::Node;
use crate::reach::PathState;
use rand::seq::SliceRandom;

/// How many ends of probes say whether this member is cut off.
pub(crate) const LATELY: usize = 8;
/// Relays that a member keeps for others at once.
const RELAYS: usize = 64;
/// Where the straight way is in doubt it is tried so often at once: a way that loses a third of all is not cut.
const IN_DOUBT: usize = 3;

/// One under way.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    target: MemberMetadata,
    number: u64,
    began: u64,
    ask_at: u64,
    ends_at: u64,
    asked: bool,
    helpers: usize,
    no_answers: usize,
    /// Nothing was said against the target when it began.
    sound: bool,
}

impl Probe {
    pub(crate) fn next(&self) -> u64 {
        if self.asked {
            self.ends_at
        } else {
            self.ask_at
        }
    }
}

/// One that is asked for another.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    origin: MemberMetadata,
    origin_number: u64,
    target: Name,
    number: u64,
    ends_at: u64,
}

impl Relay {
    pub(crate) fn next(&self) -> u64 {
        self.ends_at
    }
}

impl Node {
    fn patience(&self) -> u64 {
        self.settings.patience.as_nanos() as u64 * u64::from(self.health.times())
    }

    /// Probes the next in turn: all once, in an order that chance gives anew each time, so that each is probed within
    /// two rounds and nobody can tell when.
    pub(crate) fn probe_next(&mut self, now: u64) {
        self.end_probe(now);
        if !self.members.values().any(Member::counts) {
            // It knows nobody, or nobody any more.
            if self.was_told {
                self.ask_around(now);
            }
            return;
        }
        let target = loop {
            let Some(name) = self.round.pop() else {
                self.round = self
                    .members
                    .values()
                    .filter(|m| m.counts())
                    .map(|m| m.card.name.clone())
                    .collect();
                self.round.shuffle(&mut self.rng);
                continue;
            };
            if let Some(member) = self.members.get(&name).filter(|member| member.counts()) {
                break (
                    member.card.clone(),
                    member.is_alive(),
                    member.reach.is_doubtful(),
                );
            }
        };
        self.number += 1;
        let (patience, period) = (self.patience(), self.period());
        self.probe = Some(Probe {
            target: target.0.clone(),
            number: self.number,
            began: now,
            ask_at: now + patience,
            ends_at: now + period,
            asked: false,
            helpers: 0,
            no_answers: 0,
            sound: target.1,
        });
        for _ in 0..if target.2 && !self.settings.plain {
            IN_DOUBT
        } else {
            1
        } {
            self.send(
                now,
                &target.0,
                Body::Ping {
                    number: self.number,
                    origin: None,
                },
            );
        }
    }

    pub(crate) fn probe_goes_on(&mut self, now: u64) {
        let Some(probe) = &self.probe else { return };
        if now >= probe.ends_at {
            return self.end_probe(now);
        }
        if probe.asked || now < probe.ask_at {
            return;
        }
        let (number, target) = (probe.number, probe.target.clone());
        // Once more itself: of two losses in a row a fleet that loses a tenth has a fifth as many as of one, and each
        // suspicion goes out to all.
        if !self.settings.plain {
            self.send(
                now,
                &target,
                Body::Ping {
                    number,
                    origin: None,
                },
            );
        }
        let helpers = self.helpers(now, &target);
        for helper in &helpers {
            let body = Body::IndirectPing {
                number,
                target: target.clone(),
            };
            self.send_about(now, helper, body, Some(&target.name));
        }
        if let Some(probe) = &mut self.probe {
            (probe.asked, probe.helpers) = (true, helpers.len());
        }
    }

    /// Those that are asked to probe for this member: one of the target's zone, one of its own and one of another,
    /// before any more, so that what is cut between two zones is not asked about across the same cut alone. Where the
    /// target's straight way is in doubt, third zones go first: its own zone and this one share the cut if there is one.
    /// Before all of them whoever found it last, or any other: where one member alone sees two halves, chance would seldom
    /// ask that one.
    pub(crate) fn helpers(&mut self, now: u64, target: &MemberMetadata) -> Vec<MemberMetadata> {
        let (most, holds, plain) = (self.settings.helpers, self.holds(), self.settings.plain);
        let name = &target.name;
        let is_cut = |member: &Member| {
            let (to, from) = (member.reach.to(now, holds), member.reach.from(now, holds));
            !plain && (to == PathState::Partitioned || from == PathState::Partitioned)
        };
        let known = self.members.get(name);
        let doubtful =
            known.is_some_and(|member| is_cut(member) || member.reach.is_doubtful() && !plain);
        let found_by = known
            .and_then(|member| member.found_by.clone())
            .or_else(|| self.got_through.clone());
        let mut all = self.some(usize::MAX, |member| {
            member.is_alive() && member.card.name != *name && !is_cut(member)
        });
        if !plain {
            // Those that were heard themselves come first: the others may be beyond the same cut. Those that were asked in
            // vain lately come last, so that whoever finds others is come upon within a few.
            let since = now.saturating_sub(self.round());
            all.sort_by_key(|card| {
                let member = self.members.get(&card.name);
                member.map(|member| (!member.reach.spoke_since(since), member.in_vain_at))
            });
        }
        let mut chosen = Vec::new();
        let found_by = found_by.filter(|_| !plain && most > 0);
        if let Some(at) = found_by.and_then(|by| all.iter().position(|card| card.name == by)) {
            chosen.push(all.swap_remove(at));
        }
        let (own, theirs) = (self.me.zone.clone(), target.zone.clone());
        let wanted: [&dyn Fn(&MemberMetadata) -> bool; 3] = [
            &|card| card.zone == theirs,
            &|card| card.zone != own && card.zone != theirs,
            &|card| card.zone == own,
        ];
        let order = if doubtful { [1, 1, 1] } else { [0, 1, 2] };
        for wanted in order.map(|at: usize| wanted[at]) {
            if let Some(at) = all.iter().position(wanted).filter(|_| chosen.len() < most) {
                chosen.push(all.swap_remove(at));
            }
        }
        chosen.extend(all.into_iter().take(most.saturating_sub(chosen.len())));
        for helper in &chosen {
            if let Some(member) = self.members.get_mut(&helper.name) {
                member.in_vain_at = now;
            }
        }
        chosen
    }

    /// A probe has had no answer by any way.
    fn end_probe(&mut self, now: u64) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        // Where no helper said anything at all, it is this member's own ways that fail. Where one did, those that were
        // silent may be gone as well: half a fleet that dies at once must not make the other half slow to find it.
        if probe.no_answers == 0 {
            (0..probe.helpers.max(1)).for_each(|_| self.health.shows(true));
        }
        if probe.sound {
            self.ended(false);
        }
        let (plain, holds) = (self.settings.plain, self.holds());
        let round = self.round();
        let member = self.members.get_mut(&probe.target.name);
        let Some(member) = member.filter(|member| member.claim.life == probe.target.life) else {
            return;
        };
        // One that speaks and is never found hears nothing from here. With two zones alone nobody else finds both sides
        // of such a cut, so that its own words have to name it. What it said before the last probe shows nothing.
        let speaks = !plain && member.reach.spoke_since(probe.began.saturating_sub(round));
        if speaks {
            member.reach.answered_roundabout(now, probe.number, 0, 0);
            if member.reach.to(now, holds) == PathState::Partitioned {
                return;
            }
        }
        self.accuse(now, &probe.target.name);
    }

    fn ended(&mut self, well: bool) {
        self.lately.push_back(well);
        if self.lately.len() > LATELY {
            self.lately.pop_front();
        }
    }

    /// Its target was found.
    fn found(&mut self, now: u64) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.health.shows(false);
        self.ended(true);
        if let Some(member) = self.members.get_mut(&probe.target.name) {
            member.found_at = Some(now);
        }
    }

    pub(crate) fn pinged(
        &mut self,
        now: u64,
        from: &MemberMetadata,
        number: u64,
        origin: Option<ProbeOrigin>,
    ) {
        let Some(origin) = origin else {
            if let Some(member) = self.members.get_mut(&from.name) {
                member.reach.heard_number = member.reach.heard_number.max(number);
            }
            return self.send(
                now,
                from,
                Body::Ack {
                    number,
                    heard: number,
                },
            );
        };
        let heard = self
            .members
            .get(&origin.card.name)
            .filter(|m| m.claim.life == origin.card.life);
        let heard = heard.map_or(0, |member| member.reach.heard_number);
        self.send(now, from, Body::Ack { number, heard });
        // Also by the straight way back: if that arrives, only the way here is cut.
        if origin.card.name != self.me.name && !self.settings.plain {
            self.send(
                now,
                &origin.card,
                Body::Ack {
                    number: origin.number,
                    heard,
                },
            );
        }
    }

    pub(crate) fn acked(&mut self, now: u64, from: &MemberMetadata, number: u64, heard: u64) {
        if let Some(at) = self
            .relays
            .iter()
            .position(|relay| relay.number == number && relay.target == from.name)
        {
            let relay = self.relays.swap_remove(at);
            let body = Body::RelayedAck {
                number: relay.origin_number,
                heard,
            };
            return self.send_about(now, &relay.origin, body, Some(&relay.target));
        }
        let Some(probe) = self.probe.as_ref().filter(|probe| probe.number == number) else {
            return;
        };
        if probe.target.name != from.name || probe.target.life != from.life {
            return;
        }
        // An answer to what a helper asked shows the way back alone.
        let asked_here = !probe.asked || heard >= number;
        if let Some(member) = self.members.get_mut(&from.name) {
            match asked_here {
                true => member.reach.answered(now),
                false => return self.roundabout(now, &from.name, number, heard),
            }
        }
        self.found(now);
    }

    pub(crate) fn relayed(&mut self, now: u64, by: &MemberMetadata, number: u64, heard: u64) {
        let Some(probe) = self.probe.as_ref().filter(|probe| probe.number == number) else {
            return;
        };
        let name = probe.target.name.clone();
        self.got_through = Some(by.name.clone());
        if let Some(helper) = self.members.get_mut(&by.name) {
            helper.in_vain_at = 0;
        }
        if let Some(member) = self.members.get_mut(&name) {
            member.found_by = Some(by.name.clone());
        }
        self.roundabout(now, &name, number, heard);
    }

    /// The target was found, but not by the straight way. It is probed again next: one such answer may be a loss, and a
    /// whole round until the second would leave a cut unnamed for long.
    fn roundabout(&mut self, now: u64, name: &Name, number: u64, heard: u64) {
        let period = self.settings.period.as_nanos() as u64;
        if let Some(member) = self.members.get_mut(name)
            && !member.reach.answered_roundabout(now, number, heard, period)
        {
            self.round.push(name.clone());
        }
        self.found(now);
    }

    pub(crate) fn no_answer(&mut self, number: u64) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
            probe.no_answers = (probe.no_answers + 1).min(probe.helpers);
        }
    }

    pub(crate) fn ping_for(
        &mut self,
        now: u64,
        origin: MemberMetadata,
        origin_number: u64,
        target: MemberMetadata,
    ) {
        if target.name == self.me.name || self.relays.len() >= RELAYS {
            return;
        }
        self.number += 1;
        let number = self.number;
        let ends_at = now + self.settings.patience.as_nanos() as u64;
        let asked_for = ProbeOrigin {
            card: origin.clone(),
            number: origin_number,
        };
        self.relays.push(Relay {
            origin,
            origin_number,
            target: target.name.clone(),
            number,
            ends_at,
        });
        self.send(
            now,
            &target,
            Body::Ping {
                number,
                origin: Some(asked_for),
            },
        );
    }

    pub(crate) fn relays_end(&mut self, now: u64) {
        let (over, going): (Vec<Relay>, Vec<Relay>) = std::mem::take(&mut self.relays)
            .into_iter()
            .partition(|relay| now >= relay.ends_at);
        self.relays = going;
        for relay in over {
            self.send(
                now,
                &relay.origin,
                Body::Nack {
                    number: relay.origin_number,
                },
            );
        }
    }
}
