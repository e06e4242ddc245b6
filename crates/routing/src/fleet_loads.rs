//! What balancers near each other tell of upstreams: each sees a small share of an upstream's requests, so that a batch that
//! reads long prompts, or an upstream that is dead, would else be found by every balancer for itself.
//!
//! What is told ages within a second and is never stronger than what this balancer has seen itself since.

use crate::router::Router;
use crate::upstream::{Prompt, Upstream};
use std::collections::{HashMap, VecDeque};
use woadstall_control::loads::{FleetLoad, FleetLoads, PrefixPlacement, UpstreamLoad};

/// How long what was told holds, in milliseconds: it is repeated every 300 ms.
const TOLD_HOLDS: u64 = 700;
/// Balancers of the zone that must tell that an upstream fails: one alone may have a trouble of its own.
const WITNESSES: u16 = 2;
/// Prompt tokens from which on others are told that an upstream has to read them: fewer are read within one step.
const WORTH_TELLING: u64 = 4_096;
/// Upstreams, and placements, that are told of at most, so that a report fits into a datagram.
const MOST_TOLD: usize = 64;
/// Placements whose numbers are remembered: those of all balancers of a region in the seconds in which they may come again.
const MOST_KNOWN: usize = 512;
/// How long a placement is told, in milliseconds: several reports and the period in which they are passed on.
const PLACEMENT_TOLD: u64 = 400;
/// How long what is told may pause, in milliseconds, before balancers beside this one may have placed what it does not know of.
const MOST_PAUSE: u64 = 3_000;
/// How long a balancer must have been told without a pause before it counts as knowing the placements, in milliseconds: in that
/// time most of what is asked for is asked for again.
const WELL_INFORMED_AFTER: u64 = 10_000;

/// What this balancer tells of placements and hears of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placements {
    /// Those that this balancer has made, with their times.
    made: VecDeque<(u64, PrefixPlacement)>,
    /// Numbers of those that are known, the oldest first.
    known: VecDeque<u32>,
    /// Since when others' are heard of without a pause, and when last.
    heard: Option<(u64, u64)>,
}

impl Placements {
    /// This balancer has sent a prompt with a long beginning.
    fn note_made(&mut self, now: u64, placement: PrefixPlacement) {
        self.made.push_back((now, placement));
        if self.made.len() > MOST_KNOWN {
            self.made.pop_front();
        }
        self.is_new(placement.number);
    }

    /// Whether a placement is heard of for the first time.
    fn is_new(&mut self, number: u32) -> bool {
        if self.known.contains(&number) {
            return false;
        }
        self.known.push_back(number);
        if self.known.len() > MOST_KNOWN {
            self.known.pop_front();
        }
        true
    }

    fn note_heard(&mut self, now: u64) {
        let since = self
            .heard
            .filter(|(_, last)| now <= last + MOST_PAUSE)
            .map_or(now, |(since, _)| since);
        self.heard = Some((since, now));
    }

    /// Whether a beginning that is not known to be kept has most likely not been placed.
    pub fn are_known(&self, now: u64) -> bool {
        self.heard.is_some_and(|(since, last)| {
            now <= last + MOST_PAUSE && now >= since + WELL_INFORMED_AFTER
        })
    }
}

impl Router {
    /// What others should know of upstreams.
    pub fn load(&self, now: u64) -> Vec<UpstreamLoad> {
        let load = |upstream: &Upstream| {
            let is_failing = self.is_silent(now, upstream) || upstream.breaker.is_open(now);
            let unread = if upstream.reading >= WORTH_TELLING {
                upstream.reading
            } else {
                0
            };
            let unread = u32::try_from(unread).unwrap_or(u32::MAX);
            UpstreamLoad {
                upstream: upstream.key,
                pending_prefill_tokens: unread,
                is_failing,
            }
        };
        let is_worth_telling =
            |load: &UpstreamLoad| load.pending_prefill_tokens > 0 || load.is_failing;
        self.upstreams
            .values()
            .map(load)
            .filter(is_worth_telling)
            .take(MOST_TOLD)
            .collect()
    }

    /// A prompt goes to an upstream: what that keeps from then on. Of short prompts a balancer knows its own alone; those of others
    /// are taken to be alike.
    pub(crate) fn note_sent_prompt(
        &mut self,
        now: u64,
        id: &str,
        prompt: &Prompt,
        capacity: Option<u64>,
    ) {
        let number = self.random.u32(..);
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if let Some(tokens) = capacity {
            upstream.kept.set_capacity(tokens);
        }
        let own_tokens = prompt.tokens.saturating_sub(prompt.shared_tokens);
        let Some(beginning) = prompt.shared else {
            let sharers = self.fleet.of(&upstream.region).max(1) as u64;
            upstream.kept.note_own(own_tokens * sharers);
            return;
        };
        upstream
            .kept
            .note_beginning(beginning, prompt.shared_tokens);
        upstream.kept.note_own(own_tokens);
        let told = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
        let (tokens, own_tokens) = (told(prompt.shared_tokens), told(own_tokens));
        let placement = PrefixPlacement {
            number,
            upstream: upstream.key,
            prefix: beginning,
            prefix_tokens: tokens,
            suffix_tokens: own_tokens,
        };
        self.placements.note_made(now, placement);
    }

    /// The placements that this balancer made a moment ago.
    pub fn placements(&mut self, now: u64) -> Vec<PrefixPlacement> {
        let made = &mut self.placements.made;
        while made
            .front()
            .is_some_and(|(at, _)| now > at + PLACEMENT_TOLD)
        {
            made.pop_front();
        }
        made.iter()
            .rev()
            .take(MOST_TOLD)
            .map(|(_, placement)| *placement)
            .collect()
    }

    /// The balancers near this one tell how upstreams stand with them, whole each time, and what they have placed.
    pub fn set_fleet_loads(&mut self, now: u64, loads: &FleetLoads) {
        self.placements.note_heard(now);
        let by_key: HashMap<u32, FleetLoad> = loads
            .upstreams
            .iter()
            .map(|load| (load.upstream, *load))
            .collect();
        let mut placed: HashMap<u32, Vec<&PrefixPlacement>> = HashMap::new();
        for placement in &loads.placements {
            if self.placements.is_new(placement.number) {
                placed
                    .entry(placement.upstream)
                    .or_default()
                    .push(placement);
            }
        }
        for upstream in self.upstreams.values_mut() {
            upstream.told = by_key.get(&upstream.key).map(|load| (now, *load));
            for placement in placed.get(&upstream.key).into_iter().flatten() {
                upstream
                    .kept
                    .note_beginning(placement.prefix, u64::from(placement.prefix_tokens));
                upstream.kept.note_own(u64::from(placement.suffix_tokens));
            }
        }
    }
}

impl Upstream {
    fn told(&self, now: u64) -> Option<(u64, FleetLoad)> {
        self.told.filter(|(at, _)| now <= at + TOLD_HOLDS)
    }

    /// Prompt tokens that it has to read, of this balancer's requests or of those of all near ones.
    pub(crate) fn fleet_reading(&self, now: u64) -> u64 {
        let told = self
            .told(now)
            .map_or(0, |(_, load)| u64::from(load.pending_prefill_tokens));
        self.reading.max(told)
    }

    /// Whether others tell that it fails, and nothing has come from it here within so many milliseconds before that.
    pub(crate) fn is_told_failing(&self, now: u64, patience: u64) -> bool {
        let Some((at, load)) = self.told(now) else {
            return false;
        };
        let is_contradicted = self.heard.is_some_and(|heard| heard + patience >= at);
        load.failing_balancers >= WITNESSES && !is_contradicted
    }
}
