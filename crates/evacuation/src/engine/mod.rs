//! The decision engine: from all members' reports to the state of each domain.
//!
//! [`EvacuationEngine::step`] runs all rules once, in a fixed order: what other members have
//! decided, zones, classes, servers, regions, operators' orders. Each rule has its module.

mod adoption;
mod alternatives;
mod classes;
mod regions;
mod servers;
mod zones;

use crate::domain_decision::DomainDecision;
use crate::domain_state::{Alternatives, DomainState, Phase};
use crate::order::{Order, OrderAction, OrderTable};
use crate::topology::Topology;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use woadstall_decisions::api::{ServerId, Time};
use woadstall_health_reports::{
    Assessment, AssessmentQuery, Baseline, CallCounts, CallStats, ReportTable, Reporters, Subject,
    SubjectKind,
};

/// The state of a server in use is removed after this long without evidence against it, in
/// nanoseconds.
const SERVER_STATE_TIMEOUT_NS: Time = 120_000_000_000;

/// The decisions that another member has published.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberDecisions {
    /// The member's zone.
    pub zone: String,
    /// Its decisions.
    pub decisions: Vec<DomainDecision>,
}

/// All that a step of the engine takes into account.
#[derive(Clone, Copy)]
pub struct EngineInput<'a> {
    /// Zones, regions and classes.
    pub topology: &'a Topology,
    /// The position of this balancer's zone.
    pub own_zone: usize,
    /// The outcomes of this balancer's own calls.
    pub stats: &'a CallStats,
    /// The other members' health reports.
    pub reports: &'a ReportTable,
    /// The sum of the sizes of the servers in service, by zone.
    pub zone_sizes: &'a [f64],
    /// The size of each server in service.
    pub server_sizes: &'a BTreeMap<ServerId, f64>,
    /// The number of members of each zone, this balancer included.
    pub members: &'a BTreeMap<String, usize>,
    /// What the other members have decided, by member.
    pub member_decisions: &'a BTreeMap<String, MemberDecisions>,
    /// Operators' orders.
    pub orders: &'a OrderTable,
    /// This balancer is partitioned from the fleet or has just been suspended: it decides nothing
    /// and adopts nothing.
    pub is_passive: bool,
}

impl EngineInput<'_> {
    fn zone_count(&self) -> usize {
        self.topology.zones.len()
    }

    /// The other zones that have servers in service.
    fn other_zones_in_service(&self, zone: usize) -> Vec<usize> {
        let in_service = |other: &usize| *other != zone && self.zone_sizes[*other] > 0.0;
        (0..self.zone_count()).filter(in_service).collect()
    }

    /// Assesses a subject that is, or lies in, a zone.
    fn assess(
        &self,
        now: Time,
        subject: Subject,
        zone: usize,
        own: &CallCounts,
        baseline: Baseline,
        needed_log_odds: f64,
    ) -> Assessment {
        let query = AssessmentQuery {
            subject,
            home_zone: self.topology.zone_name(zone),
            observer_zone: self.topology.zone_name(self.own_zone),
            own,
            baseline,
            needed_log_odds,
            members: self.members,
        };
        self.reports.assess(now, &query)
    }
}

/// The phase or the epoch of a domain has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateChange {
    /// The domain.
    pub subject: Subject,
    /// Its new state.
    pub state: DomainState,
    /// The reporters that the change rests on.
    pub reporters: Reporters,
}

/// The states of all domains, as this balancer has decided.
#[derive(Clone, Debug, Default)]
pub struct EvacuationEngine {
    states: BTreeMap<Subject, DomainState>,
    assessments: BTreeMap<Subject, Assessment>,
    changes: Vec<StateChange>,
    /// The orders to restore a domain that were applied and hold still, by domain.
    applied_orders: BTreeMap<Subject, Order>,
}

impl EvacuationEngine {
    /// The state of a domain.
    pub fn state(&self, subject: &Subject) -> DomainState {
        self.states.get(subject).copied().unwrap_or_default()
    }

    /// The newest assessment of a domain, if there is one.
    pub fn assessment(&self, subject: &Subject) -> Option<&Assessment> {
        self.assessments.get(subject)
    }

    /// The states of all domains that there ever was evidence on.
    pub fn states(&self) -> impl Iterator<Item = (&Subject, &DomainState)> {
        self.states.iter()
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Runs all rules once.
    pub fn step(&mut self, now: Time, input: &EngineInput<'_>) {
        if input.is_passive {
            return;
        }
        self.adopt_decisions(now, input);
        self.step_zones(now, input);
        self.step_classes(now, input);
        self.step_servers(now, input);
        self.step_regions(now, input);
        self.apply_restore_orders(now, input);
        self.remove_old_states(now, input);
    }

    /// The decisions to publish: of all domains that have ever changed, those not in full use
    /// first, then the newest.
    pub fn domain_decisions(&self) -> Vec<DomainDecision> {
        let mut changed: Vec<(&Subject, &DomainState)> = self
            .states
            .iter()
            .filter(|(_, state)| state.epoch > 0)
            .collect();
        changed.sort_by_key(|(subject, state)| {
            (state.share >= 1.0, Reverse(state.phase_since), **subject)
        });
        changed
            .into_iter()
            .map(|(subject, state)| DomainDecision::new(*subject, state))
            .collect()
    }

    /// Whether a domain gets its full share of new work.
    fn is_in_full_use(&self, subject: &Subject) -> bool {
        self.state(subject).share >= 1.0
    }

    fn set_state(&mut self, subject: Subject, state: DomainState, reporters: Reporters) {
        let former = self.states.insert(subject, state).unwrap_or_default();
        if (former.phase, former.epoch) != (state.phase, state.epoch) {
            self.changes.push(StateChange {
                subject,
                state,
                reporters,
            });
        }
    }

    /// Advances the state of a domain by an assessment.
    fn advance(
        &mut self,
        now: Time,
        subject: Subject,
        assessment: &Assessment,
        alternatives: &Alternatives,
    ) {
        self.assessments.insert(subject, *assessment);
        let mut state = self.state(&subject);
        state.advance(now, assessment, alternatives);
        self.set_state(subject, state, assessment.reporters);
    }

    /// Begins to restore the domains that operators have ordered to: at once when the order is new,
    /// and after ever longer times where a domain is evacuated again while the order holds.
    fn apply_restore_orders(&mut self, now: Time, input: &EngineInput<'_>) {
        let order_for = |subject: &Subject| {
            let order = input.orders.get(&input.topology.order_subject(subject));
            order.filter(|order| order.action == OrderAction::Restore)
        };
        self.applied_orders
            .retain(|subject, applied| order_for(subject) == Some(applied));
        let not_in_use =
            |state: &DomainState| matches!(state.phase, Phase::Evacuated | Phase::Draining);
        let to_restore: Vec<(Subject, DomainState, Order)> = self
            .states
            .iter()
            .filter(|(_, state)| not_in_use(state))
            .filter_map(|(subject, state)| Some((*subject, *state, *order_for(subject)?)))
            .collect();
        for (subject, mut state, order) in to_restore {
            if self.applied_orders.insert(subject, order).is_none() {
                state.restore_by_order(now);
            } else {
                state.restore_again_by_order(now);
            }
            self.set_state(subject, state, Reporters::default());
        }
    }

    /// Removes the states of servers that are as if there had never been any evidence.
    fn remove_old_states(&mut self, now: Time, input: &EngineInput<'_>) {
        self.states.retain(|subject, state| {
            let is_old = now >= state.phase_since.saturating_add(SERVER_STATE_TIMEOUT_NS);
            subject.kind != SubjectKind::Server
                || state.share < 1.0
                || !is_old
                || input.reports.has_evidence_against(subject, now)
        });
    }
}
