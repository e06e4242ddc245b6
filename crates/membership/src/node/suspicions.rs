//! Suspicions of the local member, and when one ends in a death: late, and never while the local
//! member has reason to doubt itself.

use super::Node;
use crate::event::Event;
use crate::member::Member;
use crate::message::MemberUpdate;
use crate::metadata::{MemberMetadata, Name};
use crate::status::{MemberState, MemberStatus};
use crate::time::{Timestamp, nanos};
use std::net::SocketAddr;

/// Where more than one in this many members vanish together, and their hosts do not refuse
/// connections, the network has failed and not they.
const MASS_FAILURE_DIVISOR: usize = 3;
/// Nanoseconds between the notifications of a suspected member.
const NOTIFICATION_INTERVAL: u64 = 2_000_000_000;
/// For this many nanoseconds after a host has refused a connection, other silent members are worth
/// a connection, too.
const REFUSAL_LIFETIME: u64 = 5_000_000_000;
/// A member counts as unresponsive after this many nanoseconds.
const UNRESPONSIVE_AFTER: u64 = 1_000_000_000;

/// What holds for all suspicions at one evaluation.
struct Evaluation {
    now: Timestamp,
    /// The local member doubts itself.
    is_doubtful: bool,
    /// Verdicts are deferred, as the local member or the network had failed until a while ago.
    is_deferred: bool,
    plain_swim: bool,
    /// Nanoseconds that a final probe takes.
    probe_interval: u64,
}

impl Evaluation {
    /// Whether the suspicion of a member has run out and may end in a death.
    fn has_expired(&self, member: &Member) -> bool {
        let suspicion = member.suspicion.as_ref();
        let has_run_out = suspicion.is_some_and(|suspicion| self.now >= suspicion.expires_at());
        let is_unresponsive = !self.is_deferred && !member.received_since_suspected();
        has_run_out
            && !self.is_doubtful
            && (member.connection_refused || is_unresponsive || self.plain_swim)
    }

    /// Whether nothing but the verdict is left: the final probe is over, or not needed.
    fn is_final(&self, member: &Member) -> bool {
        let suspicion = member.suspicion.as_ref();
        let probed_at = suspicion.and_then(|suspicion| suspicion.final_probe_at);
        let is_over =
            probed_at.is_some_and(|at| self.now >= at.saturating_add(self.probe_interval));
        self.plain_swim || member.connection_refused || is_over
    }
}

impl Node {
    /// The local member does not reach another one, and suspects it unless it doubts itself.
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

    /// The host of `address` has refused a connection there: no process listens any more.
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

    /// Members that are suspected.
    pub fn suspects(&self) -> impl Iterator<Item = &MemberMetadata> {
        self.suspected_members().map(|member| &member.metadata)
    }

    /// Members to whose address a connection is worth trying, for
    /// [`report_connection_refused`](Self::report_connection_refused): the suspected and, for a
    /// while after a refusal, those that have been silent since. Where many die at once, to probe
    /// them one by one takes rounds.
    pub fn connection_check_targets(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = &MemberMetadata> {
        let last_refusal_at = self.last_refusal_at;
        let was_refused =
            last_refusal_at.is_some_and(|at| now < at.saturating_add(REFUSAL_LIFETIME));
        let since = now.saturating_sub(UNRESPONSIVE_AFTER);
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

    /// Ends suspicions that nobody has refuted in time as deaths, where that may be judged.
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
        let (dead, unconfirmed): (Vec<&Member>, Vec<&Member>) =
            expired.partition(|member| evaluation.is_final(member));
        let dead: Vec<MemberUpdate> = dead.iter().map(|member| self.death_of(member)).collect();
        let to_probe: Vec<MemberMetadata> = unconfirmed
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
        for update in dead {
            self.apply_update(now, update);
        }
    }

    /// Finds whether verdicts have to be deferred, and notes the time if so.
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
        // Once the reason is over, suspected members have all their time again.
        let deferral = nanos(self.settings.suspicion_timeout);
        Evaluation {
            now,
            is_doubtful,
            is_deferred: now < self.verdicts_deferred_at.saturating_add(deferral),
            plain_swim,
            probe_interval: self.scaled_probe_interval(),
        }
    }

    fn death_of(&self, member: &Member) -> MemberUpdate {
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

    /// Notifies suspected members again: one may have missed that it is suspected, or the local
    /// member its refutation, where a partition has just ended.
    fn notify_suspects(&mut self, now: Timestamp) {
        let mut targets = Vec::new();
        for name in &self.suspected {
            let Some(member) = self.members.get_mut(name) else {
                continue;
            };
            let suspicion = member.suspicion.as_mut();
            if suspicion.is_some_and(|it| it.take_notification(now, NOTIFICATION_INTERVAL)) {
                targets.push(member.metadata.clone());
            }
        }
        for target in targets {
            let sequence = self.next_sequence();
            self.send_ping(now, &target, sequence);
        }
    }

    /// Probes a suspected member once more, directly and through relays, before it is declared dead:
    /// one refutation in a thousand is lost on its way to some member.
    fn send_final_probe(&mut self, now: Timestamp, target: &MemberMetadata) {
        let member = self.members.get_mut(&target.name);
        if let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) {
            suspicion.final_probe_at = Some(now);
        }
        let sequence = self.next_sequence();
        self.send_ping(now, target, sequence);
        self.send_indirect_pings(now, target, sequence);
    }

    /// Whether the last probes of members that nothing was said against say more about the local
    /// member than about them.
    pub(super) fn is_isolated(&self) -> bool {
        if self.settings.plain_swim {
            return false;
        }
        let succeeded = self.recent_probes.iter().filter(|succeeded| **succeeded);
        let (succeeded, probes) = (succeeded.count(), self.recent_probes.len());
        let has_nobody_alive =
            !self.members.is_empty() && !self.members.values().any(|member| member.is_alive());
        let has_enough_probes = probes >= self.min_recent_probes();
        has_nobody_alive && succeeded == 0 || has_enough_probes && succeeded * 4 < probes
    }
}

/// Whether the final probe of a member was not sent yet.
fn needs_final_probe(member: &Member) -> bool {
    let suspicion = member.suspicion.as_ref();
    suspicion.is_some_and(|suspicion| suspicion.final_probe_at.is_none())
}
