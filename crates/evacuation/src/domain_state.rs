//! The state machine of a domain: whether it is in use, and which share of its usual new work it
//! gets.

use serde::{Deserialize, Serialize};
use woadstall_decisions::api::Time;
use woadstall_health_reports::{Assessment, Symptom};

const SECOND_NS: Time = 1_000_000_000;
/// How long a domain must be unhealthy, and others better, before it is drained: where all domains
/// fail together, the reports of one come before the reports of the others.
const CONFIRMATION_NS: Time = 2 * SECOND_NS / 5;
/// The time between two steps of draining a domain that still does some of its work.
const DRAIN_STEP_NS: Time = SECOND_NS / 2;
/// The shares of those steps.
const DRAIN_SHARES: [f64; 4] = [0.6, 0.3, 0.1, 0.0];
/// The lower bound of the failure rate from which on nothing is lost by evacuating at once.
const EVACUATE_AT_ONCE_FAILURE_RATE: f64 = 0.4;
/// The same for the lower bound of calls that fail or are slow.
const EVACUATE_AT_ONCE_DEGRADED_RATE: f64 = 0.5;
/// The first share of a domain that is being restored, and how long each doubling of it takes.
const INITIAL_RESTORED_SHARE: f64 = 0.1;
const RESTORE_STEP_NS: Time = SECOND_NS;
/// How long a domain stays evacuated at least: doubled with each relapse, up to a maximum.
const MIN_EVACUATED_NS: Time = 2 * SECOND_NS;
const MAX_EVACUATED_NS: Time = 32 * SECOND_NS;
/// A domain that has been in use for this long has no relapses any more.
const RELAPSES_FORGOTTEN_NS: Time = 60 * SECOND_NS;
/// The strength of the evidence from which on a domain is suspected.
const SUSPICION_STRENGTH: f64 = 0.4;
/// The strength of the evidence that a domain is healthy from which on it is restored: the time
/// evacuated and the steps of restoring have to be gone through as well.
const RESTORE_HEALTH: f64 = 0.15;

/// The phases of a domain. Their order settles ties of epochs (the more cautious phase wins) and is
/// the wire format.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Phase {
    /// There is no evidence against it.
    #[default]
    InUse,
    /// There is evidence against it, but not enough, or there is no better domain.
    Suspected,
    /// Its share grows.
    Restoring,
    /// Its share shrinks.
    Draining,
    /// It gets no new work but trials.
    Evacuated,
}

impl Phase {
    /// Its name in operators' pages and in the status.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InUse => "in use",
            Self::Suspected => "doubted",
            Self::Restoring => "returning",
            Self::Draining => "leaving",
            Self::Evacuated => "left",
        }
    }
}

/// Why a domain is in its phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cause {
    /// There never was any evidence.
    #[default]
    None,
    /// The assessment of all health reports.
    Evidence(Symptom),
    /// Several other members had decided so before.
    Fleet,
    /// An operator's order.
    Operator,
}

/// The state of a domain, as this balancer has decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DomainState {
    /// Its phase.
    pub phase: Phase,
    /// Raised with each change between in use, draining and restoring.
    pub epoch: u32,
    /// Since when it is in its phase, in nanoseconds.
    pub phase_since: Time,
    /// The share of its usual new work that it gets, from 0 to 1, apart from trials.
    pub share: f64,
    /// How often it failed again while it was being restored, of late.
    pub relapses: u32,
    /// Why it is in its phase.
    pub cause: Cause,
    /// When its share changed last.
    share_changed_at: Time,
    /// Since when it is unhealthy and could be drained, while it is in use.
    unhealthy_since: Option<Time>,
}

impl Default for DomainState {
    fn default() -> Self {
        Self {
            phase: Phase::default(),
            epoch: 0,
            phase_since: 0,
            share: 1.0,
            relapses: 0,
            cause: Cause::default(),
            share_changed_at: 0,
            unhealthy_since: None,
        }
    }
}

/// The domains that could take over the work of one.
#[derive(Clone, Copy, Debug)]
pub struct Alternatives {
    /// At least one of them is better.
    pub has_better: bool,
    /// They have capacity for more work.
    pub has_capacity: bool,
    /// There are none, since all others are evacuated: this domain may not be evacuated as well.
    pub is_last: bool,
}

impl Alternatives {
    fn allow_draining(&self) -> bool {
        self.has_better && !self.is_last
    }
}

impl DomainState {
    /// Advances by one assessment.
    pub fn advance(&mut self, now: Time, assessment: &Assessment, alternatives: &Alternatives) {
        match self.phase {
            Phase::InUse | Phase::Suspected => self.advance_in_use(now, assessment, alternatives),
            Phase::Draining => self.advance_draining(now, assessment, alternatives),
            Phase::Evacuated => self.advance_evacuated(now, assessment, alternatives),
            Phase::Restoring => self.advance_restoring(now, assessment, alternatives),
        }
    }

    fn advance_in_use(&mut self, now: Time, assessment: &Assessment, alternatives: &Alternatives) {
        if assessment.is_unhealthy && alternatives.allow_draining() {
            self.unhealthy_since.get_or_insert(now);
        } else {
            self.unhealthy_since = None;
        }
        if self
            .unhealthy_since
            .is_some_and(|since| now >= since.saturating_add(CONFIRMATION_NS))
        {
            self.unhealthy_since = None;
            self.enter(
                now,
                Phase::Draining,
                self.epoch + 1,
                Cause::Evidence(assessment.symptom),
            );
            self.drain(now, assessment, alternatives);
            return;
        }
        let is_suspected = assessment.strength >= SUSPICION_STRENGTH;
        let phase = if is_suspected {
            Phase::Suspected
        } else {
            Phase::InUse
        };
        if phase != self.phase {
            self.enter(now, phase, self.epoch, Cause::Evidence(assessment.symptom));
        }
        if self.phase == Phase::InUse
            && now >= self.phase_since.saturating_add(RELAPSES_FORGOTTEN_NS)
        {
            self.relapses = 0;
        }
    }

    fn advance_draining(
        &mut self,
        now: Time,
        assessment: &Assessment,
        alternatives: &Alternatives,
    ) {
        if assessment.is_unhealthy && !alternatives.allow_draining() {
            // Where all domains are alike, to drain one for another only moves the load.
            self.share = 1.0;
            self.enter(
                now,
                Phase::Suspected,
                self.epoch + 1,
                Cause::Evidence(assessment.symptom),
            );
        } else if assessment.is_unhealthy {
            self.drain(now, assessment, alternatives);
        } else if now >= self.phase_since.saturating_add(MIN_EVACUATED_NS) {
            // What remains of its share works, or nothing more is reported of it.
            let phase = if self.share >= 1.0 {
                Phase::InUse
            } else {
                Phase::Evacuated
            };
            self.enter(now, phase, self.epoch, self.cause);
        }
    }

    fn advance_evacuated(
        &mut self,
        now: Time,
        assessment: &Assessment,
        alternatives: &Alternatives,
    ) {
        let is_over = self.is_min_evacuation_over(now);
        let is_healthy = assessment.health >= RESTORE_HEALTH && !assessment.is_unhealthy;
        if is_over && is_healthy || alternatives.is_last {
            self.begin_restoring(now, Cause::Evidence(assessment.symptom));
        }
    }

    fn advance_restoring(
        &mut self,
        now: Time,
        assessment: &Assessment,
        alternatives: &Alternatives,
    ) {
        if assessment.is_unhealthy && alternatives.allow_draining() {
            self.relapses += 1;
            self.enter(
                now,
                Phase::Evacuated,
                self.epoch + 1,
                Cause::Evidence(assessment.symptom),
            );
            self.share = 0.0;
        } else if now >= self.share_changed_at.saturating_add(RESTORE_STEP_NS)
            && assessment.strength < SUSPICION_STRENGTH
        {
            self.share = (self.share * 2.0).min(1.0);
            self.share_changed_at = now;
            if self.share >= 1.0 {
                self.enter(now, Phase::InUse, self.epoch + 1, self.cause);
            }
        }
    }

    fn begin_restoring(&mut self, now: Time, cause: Cause) {
        self.enter(now, Phase::Restoring, self.epoch + 1, cause);
        self.share = self.share.max(INITIAL_RESTORED_SHARE);
        self.share_changed_at = now;
    }

    /// Takes a step of draining: to nothing at once where most calls fail, otherwise as fast as the
    /// others have capacity, since slow answers are still answers.
    fn drain(&mut self, now: Time, assessment: &Assessment, alternatives: &Alternatives) {
        let failure_rate = assessment.counts.failure_rate().low;
        let degraded_rate = assessment.counts.degraded_rate().low;
        if failure_rate >= EVACUATE_AT_ONCE_FAILURE_RATE
            || degraded_rate >= EVACUATE_AT_ONCE_DEGRADED_RATE && alternatives.has_capacity
        {
            self.share = 0.0;
        } else if now >= self.share_changed_at.saturating_add(DRAIN_STEP_NS)
            && alternatives.has_capacity
        {
            self.share = DRAIN_SHARES
                .into_iter()
                .find(|share| *share < self.share)
                .unwrap_or(0.0);
            self.share_changed_at = now;
        }
        if self.share == 0.0 {
            self.enter(now, Phase::Evacuated, self.epoch, self.cause);
        }
    }

    /// Adopts what other members have decided, if that is newer. Returns whether it was.
    pub fn adopt(&mut self, now: Time, phase: Phase, epoch: u32, share: f64) -> bool {
        if (epoch, phase) <= (self.epoch, self.phase) {
            return false;
        }
        self.share = share.clamp(0.0, 1.0);
        self.share_changed_at = now;
        self.enter(now, phase, epoch, Cause::Fleet);
        true
    }

    /// Whether it has stayed evacuated for as long as its relapses demand.
    fn is_min_evacuation_over(&self, now: Time) -> bool {
        let min_evacuated = (MIN_EVACUATED_NS << self.relapses.min(8)).min(MAX_EVACUATED_NS);
        now >= self.phase_since.saturating_add(min_evacuated)
    }

    /// Begins to restore the domain by an operator's order that is new here, if it has not its full
    /// share.
    pub fn restore_by_order(&mut self, now: Time) {
        if self.share < 1.0 {
            self.begin_restoring(now, Cause::Operator);
            self.relapses = 0;
        }
    }

    /// Begins to restore the domain again, which was evacuated again while the order holds: without
    /// trials that show it healthy, but only after the time that its relapses demand, so that a
    /// domain that goes on failing does not flap.
    pub fn restore_again_by_order(&mut self, now: Time) {
        if self.share < 1.0 && self.is_min_evacuation_over(now) {
            self.begin_restoring(now, Cause::Operator);
        }
    }

    /// Evacuates the domain, or takes it back into use, in one step.
    pub(crate) fn set_evacuated(&mut self, now: Time, is_evacuated: bool) {
        let phase = if is_evacuated {
            Phase::Evacuated
        } else {
            Phase::InUse
        };
        self.enter(
            now,
            phase,
            self.epoch + 1,
            Cause::Evidence(Symptom::Failing),
        );
        self.share = f64::from(u8::from(!is_evacuated));
    }

    fn enter(&mut self, now: Time, phase: Phase, epoch: u32, cause: Cause) {
        self.phase = phase;
        self.epoch = epoch;
        self.phase_since = now;
        self.cause = cause;
    }
}
