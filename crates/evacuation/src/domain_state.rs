//! The state machine of a domain. The state says whether the domain is in use and which share of
//! its usual new work it gets.

use serde::{Deserialize, Serialize};
use woadstall_decisions::api::Time;
use woadstall_health_reports::{Assessment, Symptom};

const SECOND_NS: Time = 1_000_000_000;
/// How long a domain must stay unhealthy, with a better alternative, before it is drained. When all
/// domains fail together, the reports about one of them arrive before the reports about the others.
const CONFIRMATION_NS: Time = 2 * SECOND_NS / 5;
/// The time between two steps of draining a domain that still completes part of its work.
const DRAIN_STEP_NS: Time = SECOND_NS / 2;
/// The shares that a domain passes through while it is drained step by step.
const DRAIN_SHARES: [f64; 4] = [0.6, 0.3, 0.1, 0.0];
/// A domain whose failure rate is at least this at its lower bound is evacuated in one step, because
/// at that rate nothing is lost by moving all of its work at once.
const EVACUATE_AT_ONCE_FAILURE_RATE: f64 = 0.4;
/// A domain whose rate of failed or slow calls is at least this at its lower bound is evacuated in
/// one step if the other domains have capacity for its work.
const EVACUATE_AT_ONCE_DEGRADED_RATE: f64 = 0.5;
/// The first share of a domain that is being restored.
const INITIAL_RESTORED_SHARE: f64 = 0.1;
/// The time between two doublings of the share of a domain that is being restored.
const RESTORE_STEP_NS: Time = SECOND_NS;
/// The minimum time that a domain stays evacuated. It doubles with each relapse, up to
/// [`MAX_EVACUATED_NS`].
const MIN_EVACUATED_NS: Time = 2 * SECOND_NS;
/// The upper limit of the minimum time that a domain stays evacuated after relapses.
const MAX_EVACUATED_NS: Time = 32 * SECOND_NS;
/// The relapses of a domain are reset to zero after it has been in use for this long.
const RELAPSES_RESET_NS: Time = 60 * SECOND_NS;
/// The minimum strength of the evidence against a domain for the domain to be suspected.
const MIN_SUSPICION_STRENGTH: f64 = 0.4;
/// The minimum strength of the evidence that an evacuated domain is healthy for the domain to be
/// restored. It can be low because the domain must also wait out its minimum evacuation time and is
/// restored in steps.
const MIN_RESTORE_HEALTH: f64 = 0.15;

/// The phases of a domain.
///
/// The order of the variants is the wire format. It also resolves conflicts between decisions with
/// the same epoch: the later variant, which is the more cautious one, wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Phase {
    /// The domain gets its full share, and there is no significant evidence against it.
    #[default]
    InUse,
    /// The domain gets its full share although there is evidence against it: the evidence is too
    /// weak, or no other domain is better.
    Suspected,
    /// The domain is being restored, and its share grows.
    Restoring,
    /// The domain is being drained, and its share shrinks.
    Draining,
    /// The domain gets no new work except trials, a few calls that show whether it is healthy
    /// again.
    Evacuated,
}

impl Phase {
    /// Returns the name that operators see on pages, in log lines and in the status.
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

/// The reason for a domain's phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cause {
    /// The domain has kept its initial phase.
    #[default]
    None,
    /// The phase follows from the assessment of all health reports. The symptom is the one with the
    /// strongest evidence; a region always has [`Symptom::Failing`].
    Evidence(Symptom),
    /// The phase was adopted from the published decisions of several other members.
    Fleet,
    /// An operator ordered that the domain be restored.
    Operator,
}

/// The state of a domain as decided by this balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DomainState {
    /// The current phase.
    pub phase: Phase,
    /// The version of the decision, raised when the domain starts to be drained or restored, when it
    /// is back in full use, and when it relapses. A higher epoch is newer.
    pub epoch: u32,
    /// The time at which the domain entered its phase, in nanoseconds; 0 for a domain that has kept
    /// its initial phase.
    pub phase_since: Time,
    /// The share of its usual new work that the domain gets, from 0 to 1, apart from trials.
    pub share: f64,
    /// How often the domain failed again while it was being restored. The count is reset after the
    /// domain has been in use for a minute.
    pub relapses: u32,
    /// The reason for the phase.
    pub cause: Cause,
    /// The time of the last step of draining or restoring, in nanoseconds.
    share_changed_at: Time,
    /// The time since which the domain, while in use, has been unhealthy with an alternative that
    /// allows it to be drained.
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

/// Summary of the other domains that could take over a domain's work.
#[derive(Clone, Copy, Debug)]
pub struct Alternatives {
    /// At least one of the other domains is better than this one.
    pub has_better: bool,
    /// The other domains have capacity for more work.
    pub has_capacity: bool,
    /// This domain must not be evacuated: all the others are evacuated already, or the limit on
    /// evacuated servers of a zone is reached.
    pub is_last: bool,
}

impl Alternatives {
    fn allow_draining(&self) -> bool {
        self.has_better && !self.is_last
    }
}

impl DomainState {
    /// Updates the state with the domain's newest assessment.
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
            self.enter_phase(
                now,
                Phase::Draining,
                self.epoch + 1,
                Cause::Evidence(assessment.symptom),
            );
            self.drain(now, assessment, alternatives);
            return;
        }
        let is_suspected = assessment.strength >= MIN_SUSPICION_STRENGTH;
        let phase = if is_suspected {
            Phase::Suspected
        } else {
            Phase::InUse
        };
        if phase != self.phase {
            self.enter_phase(now, phase, self.epoch, Cause::Evidence(assessment.symptom));
        }
        if self.phase == Phase::InUse && now >= self.phase_since.saturating_add(RELAPSES_RESET_NS) {
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
            // If all domains are equally unhealthy, draining one of them only moves the load.
            self.share = 1.0;
            self.enter_phase(
                now,
                Phase::Suspected,
                self.epoch + 1,
                Cause::Evidence(assessment.symptom),
            );
        } else if assessment.is_unhealthy {
            self.drain(now, assessment, alternatives);
        } else if now >= self.phase_since.saturating_add(MIN_EVACUATED_NS) {
            // The domain is not unhealthy any more: its reduced share of calls succeeds, or members
            // have stopped reporting on it.
            let phase = if self.share >= 1.0 {
                Phase::InUse
            } else {
                Phase::Evacuated
            };
            self.enter_phase(now, phase, self.epoch, self.cause);
        }
    }

    fn advance_evacuated(
        &mut self,
        now: Time,
        assessment: &Assessment,
        alternatives: &Alternatives,
    ) {
        let is_min_over = self.is_min_evacuation_over(now);
        let is_healthy = assessment.health >= MIN_RESTORE_HEALTH && !assessment.is_unhealthy;
        if is_min_over && is_healthy || alternatives.is_last {
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
            self.enter_phase(
                now,
                Phase::Evacuated,
                self.epoch + 1,
                Cause::Evidence(assessment.symptom),
            );
            self.share = 0.0;
        } else if now >= self.share_changed_at.saturating_add(RESTORE_STEP_NS)
            && assessment.strength < MIN_SUSPICION_STRENGTH
        {
            self.share = (self.share * 2.0).min(1.0);
            self.share_changed_at = now;
            if self.share >= 1.0 {
                self.enter_phase(now, Phase::InUse, self.epoch + 1, self.cause);
            }
        }
    }

    fn begin_restoring(&mut self, now: Time, cause: Cause) {
        self.enter_phase(now, Phase::Restoring, self.epoch + 1, cause);
        self.share = self.share.max(INITIAL_RESTORED_SHARE);
        self.share_changed_at = now;
    }

    /// Performs a step of draining. If many calls fail, the share drops to 0 at once. Otherwise it
    /// shrinks only while the other domains have capacity, since slow responses are better than
    /// none.
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
            self.enter_phase(now, Phase::Evacuated, self.epoch, self.cause);
        }
    }

    /// Adopts a decision of other members if it is newer than this state, and returns whether it
    /// was.
    pub fn adopt(&mut self, now: Time, phase: Phase, epoch: u32, share: f64) -> bool {
        if (epoch, phase) <= (self.epoch, self.phase) {
            return false;
        }
        self.share = share.clamp(0.0, 1.0);
        self.share_changed_at = now;
        self.enter_phase(now, phase, epoch, Cause::Fleet);
        true
    }

    /// Returns whether the domain has been evacuated for the minimum time that its number of
    /// relapses requires.
    fn is_min_evacuation_over(&self, now: Time) -> bool {
        let min_evacuated = (MIN_EVACUATED_NS << self.relapses.min(8)).min(MAX_EVACUATED_NS);
        now >= self.phase_since.saturating_add(min_evacuated)
    }

    /// Begins to restore the domain when an operator's order to do so arrives, unless the domain
    /// already gets its full share.
    pub fn restore_by_order(&mut self, now: Time) {
        if self.share < 1.0 {
            self.begin_restoring(now, Cause::Operator);
            self.relapses = 0;
        }
    }

    /// Begins to restore a domain that was evacuated again while the order to restore it is still
    /// valid. No successful trials are needed, but the domain must first wait out the minimum time
    /// that its relapses require, so that a domain that keeps failing does not flap.
    pub fn restore_again_by_order(&mut self, now: Time) {
        if self.share < 1.0 && self.is_min_evacuation_over(now) {
            self.begin_restoring(now, Cause::Operator);
        }
    }

    /// Evacuates the domain or puts it back into full use, in one step.
    pub(crate) fn set_evacuated(&mut self, now: Time, is_evacuated: bool) {
        let phase = if is_evacuated {
            Phase::Evacuated
        } else {
            Phase::InUse
        };
        self.enter_phase(
            now,
            phase,
            self.epoch + 1,
            Cause::Evidence(Symptom::Failing),
        );
        self.share = f64::from(u8::from(!is_evacuated));
    }

    fn enter_phase(&mut self, now: Time, phase: Phase, epoch: u32, cause: Cause) {
        self.phase = phase;
        self.epoch = epoch;
        self.phase_since = now;
        self.cause = cause;
    }
}
