//! Verdicts for the decision module. A verdict is the share of its usual new work that a domain is
//! to get.

use super::Coordinator;
use siphasher::sip::SipHasher24;
use std::hash::{Hash, Hasher};
use woadstall_decisions::api::{FailureDomain, HealthVerdict, Time, ZoneId};
use woadstall_health_reports::Subject;
use woadstall_membership::{Name, Node, Verdict as MemberVerdict};

const SECOND_NS: Time = 1_000_000_000;
/// The validity of a verdict, in nanoseconds. After a verdict expires without renewal, the decision
/// module relies on its own observations again.
const VALIDITY_NS: Time = 4 * SECOND_NS;
/// The time after which a verdict with a reduced share is renewed, in nanoseconds.
const RENEWAL_NS: Time = SECOND_NS;
/// The maximum share that a domain gets for trials. A domain whose share is at least this gets no
/// additional trials.
const MAX_TRIAL_SHARE: f64 = 0.25;
/// The fraction of a zone's members that send trials to a domain, see [`MIN_TRIAL_MEMBERS`].
const TRIAL_MEMBERS_FRACTION: f64 = 0.05;
/// The minimum number of a zone's members that send trials to a domain. A smaller zone sends trials
/// from all its members.
const MIN_TRIAL_MEMBERS: usize = 5;
/// The rate of trial calls of all trial members of a zone together. It is low enough that few calls
/// are lost at a domain that is still unhealthy, and high enough that a few seconds show that the
/// domain is healthy again.
const TRIALS_PER_SECOND: f64 = 6.0;

/// The newest verdict that was returned for a domain.
#[derive(Clone, Copy, Debug)]
pub(super) struct IssuedVerdict {
    share: f32,
    issued_at: Time,
}

impl Coordinator {
    /// Returns the verdicts whose share has changed or that are due for renewal, sorted by domain.
    pub(super) fn new_verdicts(&mut self, now: Time, node: &Node) -> Vec<HealthVerdict> {
        let mut shares = self.zone_shares(now, node);
        shares.extend(self.server_shares(now, node));
        shares.sort_by_key(|(domain, _)| *domain);
        let mut verdicts = Vec::new();
        for (domain, share) in shares {
            let share = share as f32;
            let issued = self.reduced_verdicts.get(&domain).copied();
            let is_renewal_due = share < 1.0
                && issued.is_some_and(|issued| now >= issued.issued_at.saturating_add(RENEWAL_NS));
            if issued.map_or(1.0, |issued| issued.share) == share && !is_renewal_due {
                continue;
            }
            verdicts.push(HealthVerdict {
                domain,
                share,
                until: now.saturating_add(VALIDITY_NS),
            });
            if share < 1.0 {
                self.reduced_verdicts.insert(
                    domain,
                    IssuedVerdict {
                        share,
                        issued_at: now,
                    },
                );
            } else {
                self.reduced_verdicts.remove(&domain);
            }
        }
        verdicts
    }

    /// Returns the shares of all zones and of all classes at each zone. If no zone is in full use,
    /// all zones get their full share, since there is no zone to move work to. If a class is not in
    /// full use at any zone, the class gets its full share at all zones.
    fn zone_shares(&self, now: Time, node: &Node) -> Vec<(FailureDomain, f64)> {
        let zones = &self.settings.topology.zones;
        let share_of_zone = |position: usize| {
            let region = zones[position].region_subject;
            self.share(&zones[position].subject)
                .min(region.map_or(1.0, |region| self.share(&region)))
        };
        let is_any_zone_in_use = (0..zones.len()).any(|position| share_of_zone(position) >= 1.0);
        let mut shares = Vec::new();
        for (position, zone) in zones.iter().enumerate() {
            let id = ZoneId(position as u8);
            let share = self.share_with_trials(now, node, &zone.subject, share_of_zone(position));
            shares.push((
                FailureDomain::Zone(id, None),
                if is_any_zone_in_use { share } else { 1.0 },
            ));
            for (class, subject) in zone.classes.iter().enumerate() {
                let is_any_in_use = zones
                    .iter()
                    .any(|zone| self.share(&zone.classes[class]) >= 1.0);
                let share = self.share_with_trials(now, node, subject, self.share(subject));
                shares.push((
                    FailureDomain::Zone(id, Some(class)),
                    if is_any_in_use { share } else { 1.0 },
                ));
            }
        }
        shares
    }

    /// Returns the shares of the servers in service that have a reduced share now or in the newest
    /// verdict.
    fn server_shares(&self, now: Time, node: &Node) -> Vec<(FailureDomain, f64)> {
        let mut shares = Vec::new();
        for (id, server) in self
            .servers
            .iter()
            .filter(|(_, server)| server.is_in_service)
        {
            let domain = FailureDomain::Server(*id);
            let share = self.share(&server.subject);
            if share < 1.0 || self.reduced_verdicts.contains_key(&domain) {
                shares.push((
                    domain,
                    self.share_with_trials(now, node, &server.subject, share),
                ));
            }
        }
        shares
    }

    /// Returns the share of a domain including the trials that this member sends to it. Domains with
    /// an order get no trials.
    fn share_with_trials(&self, now: Time, node: &Node, subject: &Subject, share: f64) -> f64 {
        if share >= MAX_TRIAL_SHARE || self.order_for(subject).is_some() {
            return share;
        }
        let epoch = self.engine.state(subject).epoch;
        let Some(trial_members) = trial_member_count(node, now, subject, epoch) else {
            return share;
        };
        let calls_per_second = self.calls.attempts_per_second(now).max(TRIALS_PER_SECOND);
        let trial_share = TRIALS_PER_SECOND / trial_members as f64 / calls_per_second;
        share.max(trial_share.min(MAX_TRIAL_SHARE))
    }
}

/// Returns the number of members of this balancer's zone that send trials to a domain, if this
/// balancer is one of them. The members are chosen by a hash of their name, the domain and its
/// epoch, so that they need no agreement.
fn trial_member_count(node: &Node, now: Time, subject: &Subject, epoch: u32) -> Option<usize> {
    let rank = |name: &Name| {
        let mut hasher = SipHasher24::new_with_keys(u64::from(epoch), 1);
        hasher.write(name.as_str().as_bytes());
        subject.hash(&mut hasher);
        hasher.finish()
    };
    let local = node.local();
    let own_rank = rank(&local.name);
    let (mut members, mut lower_ranked) = (1, 0);
    for member in node.observations(now) {
        let is_running = matches!(
            member.verdict,
            MemberVerdict::Alive | MemberVerdict::Partitioned { .. }
        );
        if member.metadata.zone == local.zone && is_running {
            members += 1;
            lower_ranked += usize::from(rank(&member.metadata.name) < own_rank);
        }
    }
    let needed = MIN_TRIAL_MEMBERS.max((members as f64 * TRIAL_MEMBERS_FRACTION) as usize);
    let trial_members = needed.min(members);
    (lower_ranked < trial_members).then_some(trial_members)
}
