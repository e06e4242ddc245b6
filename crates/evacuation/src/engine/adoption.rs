//! Adoption of decisions that other members have published.

use super::{EngineInput, EvacuationEngine};
use crate::domain_decision::DomainDecision;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;
use woadstall_health_reports::{Reporters, Subject, SubjectKind, max_faulty};

/// Decisions grouped by domain and by the zone of the members that have published them.
type DecisionsByDomain<'a> = BTreeMap<(Subject, &'a str), Vec<&'a DomainDecision>>;

impl EvacuationEngine {
    /// Adopts decisions that are newer than this balancer's state, if at least one member more than
    /// may be faulty has made them. Only two groups of members count: the members of this balancer's
    /// zone, which observe from the same position, and the members of the domain's zone, which have
    /// the best view of it.
    pub(super) fn adopt_decisions(&mut self, now: Time, input: &EngineInput<'_>) {
        for ((subject, zone), mut decisions) in relevant_decisions(now, input) {
            let group_size = input.members_per_zone.get(zone).copied().unwrap_or(1);
            let needed = max_faulty(group_size) + 1;
            // Picks the newest decision that enough members have reached. A member with a later
            // decision has passed through the earlier ones as well.
            decisions.sort_by_key(|decision| Reverse((decision.epoch, decision.phase)));
            let Some(decision) = decisions.get(needed - 1) else {
                continue;
            };
            let mut state = self.state(&subject);
            if state.adopt(now, decision.phase, decision.epoch, decision.share()) {
                self.set_state(
                    subject,
                    state,
                    Reporters {
                        against: decisions.len(),
                        in_favor: 0,
                    },
                );
            }
        }
    }
}

/// Collects the decisions published by members of this balancer's zone or of the domain's zone.
fn relevant_decisions<'a>(now: Time, input: &EngineInput<'a>) -> DecisionsByDomain<'a> {
    let server_zones: BTreeMap<Subject, usize> = input
        .stats
        .servers(now)
        .map(|server| (server.subject, server.zone))
        .collect();
    let own_zone = input.topology.zone_name(input.own_zone);
    let mut by_domain = DecisionsByDomain::new();
    for member in input.member_decisions.values() {
        for decision in &member.decisions {
            let home = match decision.subject.kind {
                SubjectKind::Server => server_zones.get(&decision.subject).copied(),
                _ => input.topology.home_zone(&decision.subject),
            };
            let is_relevant = home.is_some_and(|home| {
                member.zone == own_zone || member.zone == input.topology.zone_name(home)
            });
            if is_relevant {
                by_domain
                    .entry((decision.subject, member.zone.as_str()))
                    .or_default()
                    .push(decision);
            }
        }
    }
    by_domain
}
