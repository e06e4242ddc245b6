//! Verdicts for the decision module: the share of its usual new work that each domain is to get.

use super::Coordinator;
use siphasher::sip::SipHasher24;
use std::hash::{Hash, Hasher};
use woadstall_decisions::api::{FailureDomain, HealthVerdict, Time, ZoneId};
use woadstall_health_reports::Subject;
use woadstall_membership::{Name, Node, Verdict as MemberState};

const SECOND_NS: Time = 1_000_000_000;
/// The validity of a verdict, in nanoseconds: where it is not renewed, the module goes by its own
/// observations again.
const VALIDITY_NS: Time = 4 * SECOND_NS;
/// The time after which a verdict is renewed, in nanoseconds.
const RENEWAL_NS: Time = SECOND_NS;
/// The largest share that a domain gets for trials while it is evacuated.
const MAX_TRIAL_SHARE: f64 = 0.25;
/// How many members of a zone send trials: a fraction of them, and at least a number.
const TRIAL_MEMBERS_FRACTION: f64 = 0.05;
const MIN_TRIAL_MEMBERS: usize = 5;
/// The trial calls a second of all those members together: few are lost at a domain that is still
/// unhealthy, and some seconds show that it is healthy again.
const TRIALS_PER_SECOND: f64 = 6.0;

/// A verdict that holds at the decision module.
#[derive(Clone, Copy, Debug)]
pub(super) struct GivenVerdict {
    share: f32,
    at: Time,
}

impl Coordinator {
    /// The verdicts that are new to the decision module or have to be renewed, sorted by domain.
    pub(super) fn new_verdicts(&mut self, now: Time, node: &Node) -> Vec<HealthVerdict> {
        let mut shares = self.zone_shares(now, node);
        shares.extend(self.server_shares(now, node));
        shares.sort_by_key(|(domain, _)| *domain);
        let mut verdicts = Vec::new();
        for (domain, share) in shares {
            let share = share as f32;
            let given = self.given.get(&domain).copied();
            let is_renewal_due = share < 1.0
                && given.is_some_and(|given| now >= given.at.saturating_add(RENEWAL_NS));
            if given.map_or(1.0, |given| given.share) == share && !is_renewal_due {
                continue;
            }
            verdicts.push(HealthVerdict {
                domain,
                share,
                until: now.saturating_add(VALIDITY_NS),
            });
            if share < 1.0 {
                self.given.insert(domain, GivenVerdict { share, at: now });
            } else {
                self.given.remove(&domain);
            }
        }
        verdicts
    }

    /// The shares of all zones and of all classes at them. Where no zone, or for a class no zone,
    /// would be in full use, all get their full share: there is nowhere to move work to.
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

    /// The shares of the servers in service that do not get their full share, or did not until now.
    fn server_shares(&self, now: Time, node: &Node) -> Vec<(FailureDomain, f64)> {
        let mut shares = Vec::new();
        for (id, server) in self
            .servers
            .iter()
            .filter(|(_, server)| server.is_in_service)
        {
            let domain = FailureDomain::Server(*id);
            let share = self.share(&server.subject);
            if share < 1.0 || self.given.contains_key(&domain) {
                shares.push((
                    domain,
                    self.share_with_trials(now, node, &server.subject, share),
                ));
            }
        }
        shares
    }

    /// The share of a domain with the trials that this member sends there.
    fn share_with_trials(&self, now: Time, node: &Node, subject: &Subject, share: f64) -> f64 {
        if share >= MAX_TRIAL_SHARE || self.order_for(subject).is_some() {
            return share;
        }
        let epoch = self.engine.state(subject).epoch;
        let Some(members) = trial_members(node, now, subject, epoch) else {
            return share;
        };
        let calls_per_second = self.calls.attempts_per_second(now).max(TRIALS_PER_SECOND);
        let trial_share = TRIALS_PER_SECOND / members as f64 / calls_per_second;
        share.max(trial_share.min(MAX_TRIAL_SHARE))
    }
}

/// How many members of this zone send trials to a domain, if this member is one of them: those
/// whose names come first in an order that each domain and epoch has of its own, so that no
/// agreement is needed.
fn trial_members(node: &Node, now: Time, subject: &Subject, epoch: u32) -> Option<usize> {
    let rank = |name: &Name| {
        let mut hasher = SipHasher24::new_with_keys(u64::from(epoch), 1);
        hasher.write(name.as_str().as_bytes());
        subject.hash(&mut hasher);
        hasher.finish()
    };
    let me = node.local();
    let own_rank = rank(&me.name);
    let (mut members, mut before) = (1, 0);
    for member in node.observations(now) {
        let is_heard = matches!(
            member.verdict,
            MemberState::Alive | MemberState::Partitioned { .. }
        );
        if member.metadata.zone == me.zone && is_heard {
            members += 1;
            before += usize::from(rank(&member.metadata.name) < own_rank);
        }
    }
    let wanted = MIN_TRIAL_MEMBERS.max((members as f64 * TRIAL_MEMBERS_FRACTION) as usize);
    let trial_members = wanted.min(members);
    (before < trial_members).then_some(trial_members)
}
