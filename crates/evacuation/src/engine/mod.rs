//! The decision engine. It derives the state of each domain from the reports of all members.
//!
//! [`EvacuationEngine::step`] runs all rules once, in a fixed order: it adopts other members'
//! decisions, advances the states of zones, classes, servers and regions, and applies operators'
//! orders to restore a domain. The rule for orders is in this module; each other rule has a module
//! of its own.

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

/// The state of a server in full use is removed if its phase has not changed for this long, in
/// nanoseconds, and there is no evidence against the server.
const SERVER_STATE_TIMEOUT_NS: Time = 120_000_000_000;

/// The decisions that another member has published.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberDecisions {
    /// The name of the member's zone.
    pub zone: String,
    /// The decisions in the member's newest record.
    pub decisions: Vec<DomainDecision>,
}

/// The input of one step of the engine.
#[derive(Clone, Copy)]
pub struct EngineInput<'a> {
    /// The zones, regions and classes of the deployment.
    pub topology: &'a Topology,
    /// The position of this balancer's zone in the topology.
    pub own_zone: usize,
    /// The outcomes of this balancer's own calls.
    pub stats: &'a CallStats,
    /// The other members' health reports.
    pub reports: &'a ReportTable,
    /// The sum of the sizes of the servers in service, by position of the zone.
    pub zone_sizes: &'a [f64],
    /// The size of each server in service. Other servers are not assessed.
    pub server_sizes: &'a BTreeMap<ServerId, f64>,
    /// The number of members of each zone that can report to this balancer, including itself.
    pub members_per_zone: &'a BTreeMap<String, usize>,
    /// The decisions that the other members have published, by the name of the member.
    pub member_decisions: &'a BTreeMap<String, MemberDecisions>,
    /// The operators' orders in effect.
    pub orders: &'a OrderTable,
    /// Whether the step is skipped because this balancer is partitioned from the fleet or has just
    /// been suspended. It then neither decides nor adopts decisions.
    pub is_passive: bool,
}

impl EngineInput<'_> {
    fn zone_count(&self) -> usize {
        self.topology.zones.len()
    }

    /// Returns the positions of the other zones that have servers in service.
    fn other_zones_in_service(&self, zone: usize) -> Vec<usize> {
        let in_service = |other: &usize| *other != zone && self.zone_sizes[*other] > 0.0;
        (0..self.zone_count()).filter(in_service).collect()
    }

    /// Assesses a subject at the position `zone`: the zone itself, or a class or server in it.
    fn assess(
        &self,
        now: Time,
        subject: Subject,
        zone: usize,
        own_counts: &CallCounts,
        baseline: Baseline,
        needed_log_odds: f64,
    ) -> Assessment {
        let query = AssessmentQuery {
            subject,
            home_zone: self.topology.zone_name(zone),
            observer_zone: self.topology.zone_name(self.own_zone),
            own_counts,
            baseline,
            needed_log_odds,
            members_per_zone: self.members_per_zone,
        };
        self.reports.assess(now, &query)
    }
}

/// A change of a domain's phase or epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateChange {
    /// The domain whose state has changed.
    pub subject: Subject,
    /// The new state of the domain.
    pub state: DomainState,
    /// The number of reporters behind the change; for an adopted decision, the members that have
    /// published one.
    pub reporters: Reporters,
}

/// The states of all domains as decided by this balancer.
#[derive(Clone, Debug, Default)]
pub struct EvacuationEngine {
    states: BTreeMap<Subject, DomainState>,
    assessments: BTreeMap<Subject, Assessment>,
    changes: Vec<StateChange>,
    /// The orders to restore a domain that are in effect and were already applied, by domain.
    applied_orders: BTreeMap<Subject, Order>,
}

impl EvacuationEngine {
    /// Returns the state of a domain; the default state (in full use) for a domain without one.
    pub fn state(&self, subject: &Subject) -> DomainState {
        self.states.get(subject).copied().unwrap_or_default()
    }

    /// Returns the newest assessment of a domain, if it has been assessed.
    pub fn assessment(&self, subject: &Subject) -> Option<&Assessment> {
        self.assessments.get(subject)
    }

    /// Iterates over the stored states, by domain. All other domains are in the default state.
    pub fn states(&self) -> impl Iterator<Item = (&Subject, &DomainState)> {
        self.states.iter()
    }

    /// Returns the state changes since the last call and forgets them.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Runs all rules once. Does nothing if the input says that the balancer is passive.
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

    /// Returns the decisions to publish, one for each domain whose epoch has been raised. Domains
    /// that are not in full use come first, then the newest changes.
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

    /// Returns whether a domain gets its full share of new work.
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

    /// Stores a domain's newest assessment and advances the domain's state with it.
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

    /// Begins to restore the domains that operators have ordered to be restored. A new order takes
    /// effect at once. A domain that is evacuated again while the order is in effect is restored
    /// again after a time that grows with its relapses.
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

    /// Removes old states of servers in full use that have no evidence against them.
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
