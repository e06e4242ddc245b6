//! How much of its new work one sender may send to a place that returns.

use crate::lease::{Lease, Leases};
use crate::proof::{Proof, Rates};
use crate::report::Report;
use crate::settings::{Settings, SettingsError};
use woadstall_decisions::api::Time;

/// Beyond its own need a sender keeps so much, as its calls do not come evenly.
const SPARE: f64 = 0.2;
/// Leases that are given at once.
const AT_ONCE: usize = 4;
/// Calls that may come together after a pause.
const BURST: f64 = 2.0;

/// What a call is, as far as trying goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// It may be sent again, and is no longer than most.
    Light,
    /// It must not run twice, or is long: nothing to try with.
    Heavy,
}

/// How far a sender has come with a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing is proven: light work alone tries it.
    Trying,
    /// Its pace grows.
    Growing,
    /// Its pace shrinks, as answers come late.
    Shrinking,
    /// It may send all that it is asked for.
    Full,
}

/// See the module's documentation.
#[derive(Clone, Debug)]
pub struct Pace {
    settings: Settings,
    proof: Proof,
    leases: Leases,
    /// Calls a second that it may send by itself.
    own: f64,
    /// Its part of the trying.
    floor: f64,
    tokens: f64,
    at: Time,
}

impl Pace {
    /// Of a place that has proven nothing, to which so many send, as far as this sender knows.
    pub fn new(now: Time, senders: usize, settings: Settings) -> Result<Self, SettingsError> {
        settings.check()?;
        let proof = Proof::new(now, settings.window);
        let mut pace = Self {
            settings,
            proof,
            leases: Leases::default(),
            own: 0.0,
            floor: 0.0,
            tokens: 0.0,
            at: now,
        };
        pace.senders(senders);
        pace.own = pace.floor;
        Ok(pace)
    }

    /// So many send there. Where that is too few by half, the trying is twice what was wanted, which is within what is
    /// cold bears; what was proven does not go by it.
    pub fn senders(&mut self, count: usize) {
        self.floor = self.settings.trying / count.max(1) as f64;
    }

    /// Time has passed.
    pub fn goes_on(&mut self, now: Time) {
        if self.proof.goes_on(now) {
            let rates = self.proof.last();
            let times = if rates.spoilt_part > self.settings.late {
                self.settings.back
            } else {
                self.settings.growth
            };
            self.own = (times * rates.in_time).max(self.floor);
            self.leases.forget(now);
        }
        let passed = now.saturating_sub(self.at) as f64 / 1e9;
        self.at = self.at.max(now);
        // Of a long pause nothing is saved up.
        self.tokens = (self.tokens + self.allowance(now) * passed).min(BURST);
    }

    /// Calls a second that it may send now: its own, without what it gave, and what it was given.
    pub fn allowance(&self, now: Time) -> f64 {
        (self.own - self.leases.given(now)).max(0.0) + self.leases.taken(now)
    }

    /// A call wants to go there. Whether it may; it counts as sent then.
    pub fn may_send(&mut self, now: Time, work: Work) -> bool {
        self.goes_on(now);
        self.proof.asked();
        let tries = work == Work::Light || self.phase(now) != Phase::Trying;
        if !tries || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// A call that was sent there has ended: answered in time, or late, turned away or lost.
    pub fn ended(&mut self, now: Time, in_time: bool) {
        self.goes_on(now);
        self.proof.ended(in_time);
    }

    /// How far it has come.
    pub fn phase(&self, now: Time) -> Phase {
        let rates = self.proof.last();
        if rates.in_time <= 0.0 {
            Phase::Trying
        } else if rates.spoilt_part > self.settings.late {
            Phase::Shrinking
        } else if self.allowance(now) >= rates.asked * (1.0 + SPARE) {
            Phase::Full
        } else {
            Phase::Growing
        }
    }

    /// What the last whole window showed.
    pub fn rates(&self) -> Rates {
        self.proof.last()
    }

    /// Calls a second that it is asked for beyond what it may send.
    pub fn unmet(&self, now: Time) -> f64 {
        (self.proof.last().asked - self.allowance(now)).max(0.0)
    }

    /// Gives what it needs less to those that lack most, by what each of them has told that it lacks. What it was given
    /// itself is not passed on: it would come back later than it has to.
    pub fn lend(&mut self, now: Time, lacking: &[(u64, f64)]) -> Vec<Lease> {
        self.goes_on(now);
        let needs = self.proof.last().asked * (1.0 + SPARE);
        let mine = (self.own - self.leases.given(now)).max(0.0);
        let spare = mine - (needs - self.leases.taken(now)).max(0.0);
        if spare < self.settings.least || self.phase(now) == Phase::Shrinking {
            return Vec::new();
        }
        let sound = |(_, lacks): &&(u64, f64)| lacks.is_finite() && *lacks >= self.settings.least;
        let mut lacking: Vec<(u64, f64)> = lacking.iter().filter(sound).copied().collect();
        lacking.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        lacking.truncate(AT_ONCE);
        let all: f64 = lacking.iter().map(|(_, lacks)| lacks).sum();
        let settings = self.settings;
        let parts = lacking
            .iter()
            .map(|(to, lacks)| (*to, (spare * lacks / all).min(*lacks)));
        let parts: Vec<(u64, f64)> = parts.filter(|(_, part)| *part >= settings.least).collect();
        parts
            .into_iter()
            .map(|(to, part)| self.leases.give(now, to, part, &settings))
            .collect()
    }

    /// Another has told something so long ago; `me` is how leases name this sender. Whether anything was given to it.
    pub fn hear(&mut self, now: Time, from: u64, me: u64, report: &Report, age: Time) -> bool {
        self.goes_on(now);
        let settings = self.settings;
        let mine = report
            .leases
            .iter()
            .filter(|lease| lease.to == me && from != me);
        let taken = mine.filter(|lease| self.leases.take(now, from, lease, age, &settings));
        taken.count() > 0
    }

    /// What it tells all others.
    pub fn report(&self, now: Time) -> Report {
        Report::new(&self.proof.last(), self.unmet(now), self.leases.told(now))
    }

    /// Seconds until it may send so many calls a second, if all goes well; for operators.
    pub fn full_after(&self, now: Time, wanted: f64) -> f64 {
        let allowed = self.allowance(now).max(self.floor).max(f64::MIN_POSITIVE);
        if wanted <= allowed {
            return 0.0;
        }
        if self.settings.growth <= 1.0 {
            return f64::INFINITY;
        }
        let windows = ((wanted / allowed).ln() / self.settings.growth.ln()).ceil();
        windows * self.settings.window as f64 / 1e9
    }
}
