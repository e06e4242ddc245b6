//! Where a place stands: in use or not, since when, and which share of new work it gets.

use serde::{Deserialize, Serialize};
use woadstall_decisions::api::Time;
use woadstall_health_reports::{Assessment, Symptom};

const SECOND: Time = 1_000_000_000;
/// For so long something must be ill, and others better, before it is left: where all fail together, word of one comes
/// before word of the others.
const CONFIRMED: Time = 2 * SECOND / 5;
/// Time between two steps of leaving a place that still does some of its work.
const STEP: Time = SECOND / 2;
/// The shares of those steps.
const STEPS: [f64; 4] = [0.6, 0.3, 0.1, 0.0];
/// Where surely so large a part of the calls fails, nothing is lost by leaving at once.
const HOPELESS: f64 = 0.4;
/// The same where they fail or come late.
const USELESS: f64 = 0.5;
/// First share of a place that is returned to, and how long each doubling of it takes.
const RETURN: (f64, Time) = (0.1, SECOND);
/// How long a place that was left is left at least, doubling with each relapse up to the second.
const HOLD: (Time, Time) = (2 * SECOND, 32 * SECOND);
/// A place that has been in use for so long has no relapses any more.
const FORGOTTEN: Time = 60 * SECOND;
/// Part of the evidence against a place at which it is doubted.
const DOUBT: f64 = 0.4;
/// Part of what is enough that has to speak for a place before it is returned to: whoever returns has hold and steps to
/// go by as well.
const WELL: f64 = 0.15;

/// The states of a place, in the order in which a tie of epochs is settled: the more cautious one holds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Phase {
    /// Nothing speaks against it.
    #[default]
    InUse,
    /// Something does, but not enough, or there is nowhere better to go.
    Suspected,
    /// Its share grows.
    Restoring,
    /// Its share shrinks.
    Draining,
    /// It gets nothing but trials.
    Evacuated,
}

impl Phase {
    /// Its word.
    pub fn word(self) -> &'static str {
        match self {
            Self::InUse => "in use",
            Self::Suspected => "doubted",
            Self::Restoring => "returning",
            Self::Draining => "leaving",
            Self::Evacuated => "left",
        }
    }
}

/// Why a place stands where it does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cause {
    /// Nothing was ever found.
    #[default]
    Nothing,
    /// What all told was weighed.
    Evidence(Symptom),
    /// Several others had found it before this balancer was there.
    Fleet,
    /// An operator's word.
    Operator,
}

/// See the module's documentation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceState {
    /// Its state.
    pub state: Phase,
    /// Raised with each change between in use, leaving and returning.
    pub epoch: u32,
    /// Since when it has the state.
    pub since: Time,
    /// Part of its new work that it gets, apart from trials.
    pub share: f64,
    /// How often it failed again while it was returned to, of late.
    pub relapses: u32,
    /// Why.
    pub cause: Cause,
    /// The last step.
    stepped: Time,
    /// Since when it would be left.
    condemned: Option<Time>,
}

impl Default for PlaceState {
    fn default() -> Self {
        let (state, cause) = (Phase::default(), Cause::default());
        Self {
            state,
            epoch: 0,
            since: 0,
            share: 1.0,
            relapses: 0,
            cause,
            stepped: 0,
            condemned: None,
        }
    }
}

/// What there is beside a place.
#[derive(Clone, Copy, Debug)]
pub struct Alternatives {
    /// Another place is there, and better.
    pub better: bool,
    /// Those that remain have room for more.
    pub room: bool,
    /// Nothing less than all of it was left elsewhere already: this may not be left as well.
    pub last: bool,
}

impl PlaceState {
    /// Goes on by one look at the evidence.
    pub fn go_on(&mut self, now: Time, opinion: &Assessment, beside: &Alternatives) {
        let may_leave = beside.better && !beside.last;
        match self.state {
            Phase::InUse | Phase::Suspected => {
                let since = match opinion.is_ill && may_leave {
                    true => *self.condemned.get_or_insert(now),
                    false => {
                        self.condemned = None;
                        Time::MAX
                    }
                };
                if now >= since.saturating_add(CONFIRMED) {
                    self.condemned = None;
                    self.enter(
                        now,
                        Phase::Draining,
                        self.epoch + 1,
                        Cause::Evidence(opinion.ill),
                    );
                    self.step(now, opinion, beside);
                } else {
                    let doubted = opinion.strength >= DOUBT;
                    let state = if doubted {
                        Phase::Suspected
                    } else {
                        Phase::InUse
                    };
                    if state != self.state {
                        self.enter(now, state, self.epoch, Cause::Evidence(opinion.ill));
                    }
                    if self.state == Phase::InUse && now >= self.since.saturating_add(FORGOTTEN) {
                        self.relapses = 0;
                    }
                }
            }
            Phase::Draining => {
                if !may_leave && opinion.is_ill {
                    // Where all are alike, to leave one for another only moves the crowd.
                    self.stays_after_all(now, opinion);
                } else if opinion.is_ill {
                    self.step(now, opinion, beside);
                } else if now >= self.since.saturating_add(HOLD.0) {
                    // What remains of its share serves, or nothing more is heard of it.
                    let state = if self.share >= 1.0 {
                        Phase::InUse
                    } else {
                        Phase::Evacuated
                    };
                    self.enter(now, state, self.epoch, self.cause);
                }
            }
            Phase::Evacuated => {
                let hold = (HOLD.0 << self.relapses.min(8)).min(HOLD.1);
                let held = now < self.since.saturating_add(hold);
                if !held && opinion.wellness >= WELL && !opinion.is_ill || beside.last {
                    self.enter(
                        now,
                        Phase::Restoring,
                        self.epoch + 1,
                        Cause::Evidence(opinion.ill),
                    );
                    (self.share, self.stepped) = (self.share.max(RETURN.0), now);
                }
            }
            Phase::Restoring => {
                if opinion.is_ill && may_leave {
                    self.relapses += 1;
                    self.enter(
                        now,
                        Phase::Evacuated,
                        self.epoch + 1,
                        Cause::Evidence(opinion.ill),
                    );
                    self.share = 0.0;
                } else if now >= self.stepped.saturating_add(RETURN.1) && opinion.strength < DOUBT {
                    (self.share, self.stepped) = ((self.share * 2.0).min(1.0), now);
                    if self.share >= 1.0 {
                        self.enter(now, Phase::InUse, self.epoch + 1, self.cause);
                    }
                }
            }
        }
    }

    fn step(&mut self, now: Time, opinion: &Assessment, beside: &Alternatives) {
        // Late answers still serve, and go only as fast as the others have room for them.
        let (surely, spoilt) = (opinion.counts.failing().0, opinion.counts.spoilt().0);
        if surely >= HOPELESS || spoilt >= USELESS && beside.room {
            self.share = 0.0;
        } else if now >= self.stepped.saturating_add(STEP) && beside.room {
            self.share = STEPS
                .into_iter()
                .find(|step| *step < self.share)
                .unwrap_or(0.0);
            self.stepped = now;
        }
        if self.share == 0.0 {
            self.enter(now, Phase::Evacuated, self.epoch, self.cause);
        }
    }

    fn stays_after_all(&mut self, now: Time, opinion: &Assessment) {
        self.share = 1.0;
        self.enter(
            now,
            Phase::Suspected,
            self.epoch + 1,
            Cause::Evidence(opinion.ill),
        );
    }

    /// Takes what others have found, if that is later. Whether it was.
    pub fn follow(&mut self, now: Time, state: Phase, epoch: u32, share: f64) -> bool {
        let later = epoch > self.epoch || epoch == self.epoch && state > self.state;
        if !later {
            return false;
        }
        self.share = share.clamp(0.0, 1.0);
        self.stepped = now;
        self.enter(now, state, epoch, Cause::Fleet);
        true
    }

    /// An operator has it returned to.
    pub fn return_by_word(&mut self, now: Time) {
        if self.share < 1.0 {
            self.enter(now, Phase::Restoring, self.epoch + 1, Cause::Operator);
            (self.share, self.stepped, self.relapses) = (self.share.max(RETURN.0), now, 0);
        }
    }

    fn enter(&mut self, now: Time, state: Phase, epoch: u32, cause: Cause) {
        (self.state, self.epoch, self.since, self.cause) = (state, epoch, now, cause);
    }
}
