//! Suspicions held by the local member and their end in a death. Deaths are declared late, and
//! never while the local member doubts its own health.

use super::Node;
use crate::event::Event;
use crate::member::Member;
use crate::message::MemberUpdate;
use crate::metadata::{MemberMetadata, Name};
use crate::status::{MemberState, MemberStatus};
use crate::time::{Timestamp, nanos};
use std::net::SocketAddr;

/// If more than one in this many members vanish together without refused connections from their
/// hosts, the network is assumed to have failed rather than the members.
const MASS_FAILURE_DIVISOR: usize = 3;
/// Time in nanoseconds between two notifications of a suspected member.
const NOTIFICATION_INTERVAL_NS: u64 = 2_000_000_000;
/// Time in nanoseconds after a refused connection during which the connections to other
/// unresponsive members are checked as well.
const REFUSAL_LIFETIME_NS: u64 = 5_000_000_000;
/// Time in nanoseconds without contact after which a member counts as unresponsive.
const UNRESPONSIVE_AFTER_NS: u64 = 1_000_000_000;

/// Conditions common to all suspicions in one evaluation.
struct Evaluation {
    now: Timestamp,
    /// Whether the local member is isolated or has just resumed from a pause.
    is_doubtful: bool,
    /// Whether verdicts are deferred because the local member or the network was recently impaired.
    is_deferred: bool,
    plain_swim: bool,
    /// Time in nanoseconds within which a suspected member can answer its final probe.
    final_probe_ns: u64,
}

impl Evaluation {
    /// Whether the suspicion of a member has expired and may end in a death.
    fn has_expired(&self, member: &Member) -> bool {
        let suspicion = member.suspicion.as_ref();
        let has_run_out = suspicion.is_some_and(|suspicion| self.now >= suspicion.expires_at());
        let is_unresponsive = !self.is_deferred && !member.received_since_suspected();
        has_run_out
            && !self.is_doubtful
            && (member.connection_refused || is_unresponsive || self.plain_swim)
    }

    /// Whether the final probe of a member with an expired suspicion is over or unnecessary, so
    /// that its death may be declared.
    fn may_declare_dead(&self, member: &Member) -> bool {
        let suspicion = member.suspicion.as_ref();
        let probed_at = suspicion.and_then(|suspicion| suspicion.final_probe_at);
        let is_over =
            probed_at.is_some_and(|at| self.now >= at.saturating_add(self.final_probe_ns));
        self.plain_swim || member.connection_refused || is_over
    }
}

impl Node {
    /// Suspects a member that the local member does not reach, unless the local member doubts its
    /// own health.
    pub(super) fn suspect(&mut self, now: Timestamp, name: &Name) {
        if !self.local_health.may_suspect(now) || self.is_isolated() {
            return;
        }
        let member = self.members.get(name);
        let Some(member) = member.filter(|member| member.is_present()) else {
            return;
        };
        let status = MemberStatus {
            state: MemberState::Suspect,
            ..member.status
        };
        let update = MemberUpdate {
            metadata: member.metadata.clone(),
            status,
            by: Some(self.local.name.clone()),
        };
        self.apply_update(now, update);
    }

    /// Records that the host of `address` refused a connection to it, which shows that no process
    /// listens there any more.
    pub fn report_connection_refused(&mut self, now: Timestamp, address: SocketAddr) {
        let mut members = self.members.values();
        let member =
            members.find(|member| member.metadata.address == address && member.is_present());
        let Some(name) = member.map(|member| member.metadata.name.clone()) else {
            return;
        };
        if let Some(member) = self.members.get_mut(&name) {
            member.connection_refused = true;
        }
        self.last_refusal_at = Some(now);
        self.suspect(now, &name);
        let member = self.members.get_mut(&name);
        if let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) {
            suspicion.shorten(now, nanos(self.settings.refusal_timeout));
        }
    }

    /// Metadata of the suspected members, ordered by name.
    pub fn suspects(&self) -> impl Iterator<Item = &MemberMetadata> {
        self.suspected_members().map(|member| &member.metadata)
    }

    /// Members whose addresses are worth a connection attempt, with refusals reported through
    /// [`report_connection_refused`](Self::report_connection_refused). These are the suspected
    /// members and, for a while after a refusal, other members without recent contact. Probes alone
    /// take several rounds to detect many simultaneous deaths.
    pub fn connection_check_targets(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = &MemberMetadata> {
        let last_refusal_at = self.last_refusal_at;
        let was_refused =
            last_refusal_at.is_some_and(|at| now < at.saturating_add(REFUSAL_LIFETIME_NS));
        let since = now.saturating_sub(UNRESPONSIVE_AFTER_NS);
        let unresponsive = self.members.values().filter(move |member| {
            let is_unresponsive = member.last_reached_at.is_none_or(|at| at < since);
            was_refused && member.is_alive() && is_unresponsive
        });
        self.suspects()
            .chain(unresponsive.map(|member| &member.metadata))
    }

    fn suspected_members(&self) -> impl Iterator<Item = &Member> {
        let names = self.suspected.iter();
        names.filter_map(|name| self.members.get(name))
    }

    /// Declares members dead whose suspicions have expired without a refutation, if the local
    /// member is in a position to judge.
    pub(super) fn evaluate_suspicions(&mut self, now: Timestamp) {
        let is_isolated = self.is_isolated();
        if is_isolated != std::mem::replace(&mut self.was_isolated, is_isolated) {
            self.emit(Event::IsolationChanged { is_isolated });
        }
        if self.suspected.is_empty() {
            return;
        }
        let evaluation = self.start_evaluation(now, is_isolated);
        let expired = self.suspected_members();
        let expired = expired.filter(|member| evaluation.has_expired(member));
        let (dead, undecided): (Vec<&Member>, Vec<&Member>) =
            expired.partition(|member| evaluation.may_declare_dead(member));
        let deaths: Vec<MemberUpdate> = dead
            .iter()
            .map(|member| self.death_update(member))
            .collect();
        let to_probe: Vec<MemberMetadata> = undecided
            .into_iter()
            .filter(|member| needs_final_probe(member))
            .map(|member| member.metadata.clone())
            .collect();
        for target in to_probe {
            self.send_final_probe(now, &target);
        }
        if !evaluation.plain_swim {
            self.notify_suspects(now);
        }
        for update in deaths {
            self.apply_update(now, update);
        }
    }

    /// Determines whether verdicts are deferred, and records the time of a reason for deferral.
    fn start_evaluation(&mut self, now: Timestamp, is_isolated: bool) -> Evaluation {
        let plain_swim = self.settings.plain_swim;
        let others = self.present_count() - 1;
        let unresponsive = self.suspected_members();
        let unresponsive = unresponsive
            .filter(|member| !member.connection_refused)
            .count();
        let is_mass_failure = unresponsive > (others / MASS_FAILURE_DIVISOR).max(1);
        let is_doubtful = is_isolated || !self.local_health.may_suspect(now);
        if !plain_swim && (is_doubtful || is_mass_failure) {
            self.verdicts_deferred_at = now;
        }
        // After the reason for deferral has ended, suspected members regain the full suspicion
        // time.
        let deferral = nanos(self.settings.suspicion_timeout);
        Evaluation {
            now,
            is_doubtful,
            is_deferred: now < self.verdicts_deferred_at.saturating_add(deferral),
            plain_swim,
            final_probe_ns: self.scaled_probe_interval_ns(),
        }
    }

    fn death_update(&self, member: &Member) -> MemberUpdate {
        let status = MemberStatus {
            state: MemberState::Dead,
            ..member.status
        };
        MemberUpdate {
            metadata: member.metadata.clone(),
            status,
            by: Some(self.local.name.clone()),
        }
    }

    /// Notifies suspected members again by a ping. A suspected member may have missed the message
    /// that it is suspected, or the local member may have missed the refutation, for example during
    /// a partition that has just ended.
    fn notify_suspects(&mut self, now: Timestamp) {
        let mut targets = Vec::new();
        for name in &self.suspected {
            let Some(member) = self.members.get_mut(name) else {
                continue;
            };
            let suspicion = member.suspicion.as_mut();
            if suspicion
                .is_some_and(|suspicion| suspicion.take_notification(now, NOTIFICATION_INTERVAL_NS))
            {
                targets.push(member.metadata.clone());
            }
        }
        for target in targets {
            let sequence = self.next_sequence();
            self.send_ping(now, &target, sequence);
        }
    }

    /// Probes a suspected member once more, directly and through relays, before its death is
    /// declared: one refutation in a thousand is lost on its way to some member.
    fn send_final_probe(&mut self, now: Timestamp, target: &MemberMetadata) {
        let member = self.members.get_mut(&target.name);
        if let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) {
            suspicion.final_probe_at = Some(now);
        }
        let sequence = self.next_sequence();
        self.send_ping(now, target, sequence);
        self.send_indirect_pings(now, target, sequence);
    }

    /// Whether the local member is isolated: most recent probes of alive members failed, which says
    /// more about the local member than about their targets.
    pub(super) fn is_isolated(&self) -> bool {
        if self.settings.plain_swim {
            return false;
        }
        let succeeded = self.recent_probes.iter().filter(|succeeded| **succeeded);
        let (succeeded, probes) = (succeeded.count(), self.recent_probes.len());
        let has_no_alive_member =
            !self.members.is_empty() && !self.members.values().any(|member| member.is_alive());
        let has_enough_probes = probes >= self.min_recent_probes();
        has_no_alive_member && succeeded == 0 || has_enough_probes && succeeded * 4 < probes
    }
}

/// Whether the final probe of a member has not been sent yet.
fn needs_final_probe(member: &Member) -> bool {
    let suspicion = member.suspicion.as_ref();
    suspicion.is_some_and(|suspicion| suspicion.final_probe_at.is_none())
}
