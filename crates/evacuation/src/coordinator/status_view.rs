//! The log lines and the status of all domains that operators see.

use super::{Coordinator, LogLine};
use crate::domain_state::{DomainState, Phase};
use crate::engine::{MemberDecisions, StateChange};
use crate::order::Order;
use crate::status::{DomainStatus, Status};
use std::collections::BTreeSet;
use woadstall_decisions::api::Time;
use woadstall_health_reports::{Subject, SubjectKind, Symptom};

const NS_PER_SECOND: f64 = 1e9;
const MS_PER_SECOND: f64 = 1e3;

impl Coordinator {
    /// Returns the log lines for the state changes since the last step, followed by the pending log
    /// lines.
    pub(super) fn take_lines(&mut self) -> Vec<LogLine> {
        let pending_lines = std::mem::take(&mut self.pending_lines);
        let changes = self.engine.take_changes();
        let logged = changes.iter().filter(|change| is_logged(change));
        logged
            .map(|change| self.describe_change(change))
            .chain(pending_lines)
            .collect()
    }

    fn describe_change(&self, change: &StateChange) -> LogLine {
        let DomainState {
            phase,
            epoch,
            share,
            ..
        } = change.state;
        LogLine(format!(
            "{} {}, epoch {epoch}, share {:.0}%: {}; {} against it, {} for it",
            self.name_of(&change.subject),
            phase.as_str(),
            100.0 * share,
            self.reason(&change.subject),
            change.reporters.against,
            change.reporters.in_favor,
        ))
    }

    pub(super) fn describe_order(&self, order: &Order, now_ms: u64) -> String {
        let subject = self.settings.topology.ordered_domain(&order.subject);
        let remaining_s = order.until_ms.saturating_sub(now_ms) / 1_000;
        let (name, action) = (self.name_of(&subject), order.action.as_str());
        format!("{name}: an operator's word, {action}, for {remaining_s} s")
    }

    fn name_of(&self, subject: &Subject) -> String {
        let server = || {
            let server = self
                .servers
                .values()
                .find(|server| server.subject == *subject)?;
            Some(format!("nodo {}", server.name))
        };
        let name = self.settings.topology.name_of(subject).or_else(server);
        name.unwrap_or_else(|| "a place not listed here".to_owned())
    }

    /// Describes the basis of the decision about a domain: the order in effect and the observed
    /// calls.
    fn reason(&self, subject: &Subject) -> String {
        let order = self.order_for(subject).map(|order| order.action.as_str());
        let order = order.map(|action| format!("an operator's word, {action}"));
        let Some(assessment) = self.engine.assessment(subject) else {
            return order.unwrap_or_else(|| "as several others found".to_owned());
        };
        let counts = &assessment.counts;
        let (rate, symptom) = match assessment.symptom {
            Symptom::Failing => (counts.failure_rate().mean, "fail"),
            Symptom::Slow => (counts.degraded_rate().mean, "fail or come late"),
        };
        let observed = format!(
            "{:.0}% of {:.0} calls {symptom}",
            100.0 * rate,
            counts.attempts
        );
        match order {
            Some(order) => format!("{order}; {observed}"),
            None => observed,
        }
    }

    /// Returns the status of all zones and regions, and of the servers and classes that are not in
    /// use. `now` is on the node's clock, in nanoseconds; `now_ms` is Unix time in milliseconds.
    pub fn status(&self, now: Time, now_ms: u64) -> Status {
        let zones = &self.settings.topology.zones;
        let regions: BTreeSet<Subject> = zones
            .iter()
            .filter_map(|zone| zone.region_subject)
            .collect();
        let not_in_use = self.engine.states().filter(|(subject, state)| {
            matches!(subject.kind, SubjectKind::Server | SubjectKind::Class)
                && state.phase != Phase::InUse
        });
        let zone_statuses = zones
            .iter()
            .enumerate()
            .map(|(position, zone)| DomainStatus {
                servers: self.servers_in_service(position),
                ..self.domain_status(now, now_ms, &zone.subject)
            });
        let others = regions.iter().chain(not_in_use.map(|(subject, _)| subject));
        let other_statuses = others.map(|subject| self.domain_status(now, now_ms, subject));
        Status {
            domains: zone_statuses.chain(other_statuses).collect(),
            contradicting_members: self.contradictions.persistent(),
            malformed_reports: self.malformed_reports,
        }
    }

    fn servers_in_service(&self, zone: usize) -> usize {
        let in_service = self.servers.values().filter(|server| server.is_in_service);
        in_service.filter(|server| server.zone == zone).count()
    }

    fn domain_status(&self, now: Time, now_ms: u64, subject: &Subject) -> DomainStatus {
        let state = self.engine.state(subject);
        let reporters = self
            .engine
            .assessment(subject)
            .map(|assessment| assessment.reporters)
            .unwrap_or_default();
        let order = self.order_for(subject);
        let remaining_s =
            |order: &Order| order.until_ms.saturating_sub(now_ms) as f64 / MS_PER_SECOND;
        let phase_duration_ns = if state.phase_since > 0 {
            now.saturating_sub(state.phase_since)
        } else {
            0
        };
        DomainStatus {
            name: self.name_of(subject),
            phase: state.phase.as_str().to_owned(),
            epoch: state.epoch,
            phase_duration_s: phase_duration_ns as f64 / NS_PER_SECOND,
            share: self.share(subject),
            reason: self.reason(subject),
            reporters_against: reporters.against,
            reporters_in_favor: reporters.in_favor,
            relapses: state.relapses,
            servers: 0,
            order: order.map(|order| order.action.as_str().to_owned()),
            order_remaining_s: order.map(remaining_s),
            members_behind: self.members_behind(subject, &state),
        }
    }

    /// Returns the names of the other members of this balancer's zone that have published decisions,
    /// but none with the same epoch about this domain.
    fn members_behind(&self, subject: &Subject, state: &DomainState) -> Vec<String> {
        if state.epoch == 0 {
            return Vec::new();
        }
        let own_zone = self.settings.topology.zone_name(self.settings.zone);
        let has_same_epoch = |member: &MemberDecisions| {
            let mut decisions = member.decisions.iter();
            decisions.any(|decision| decision.subject == *subject && decision.epoch == state.epoch)
        };
        let members = self
            .member_decisions
            .iter()
            .filter(|(_, member)| member.zone == own_zone);
        members
            .filter(|(_, member)| !has_same_epoch(member))
            .map(|(name, _)| name.clone())
            .collect()
    }
}

/// Returns whether a state change is logged. Servers that become suspected or return to use appear
/// only in the status. A domain that returns from suspected to in use without ever having been
/// drained is not logged either.
fn is_logged(change: &StateChange) -> bool {
    let DomainState { phase, epoch, .. } = change.state;
    let is_server_in_use = change.subject.kind == SubjectKind::Server
        && matches!(phase, Phase::Suspected | Phase::InUse);
    !is_server_in_use && (epoch > 0 || phase == Phase::Suspected)
}
