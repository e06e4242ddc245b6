//! Receiving the facts that other members have published.

use super::{Coordinator, LogLine};
use crate::domain_decision::DomainDecision;
use crate::engine::MemberDecisions;
use crate::order::OrderTable;
use std::collections::{BTreeMap, BTreeSet};
use woadstall_decisions::api::Time;
use woadstall_membership::{Name, Node, Record, Verdict as MemberState};

/// The keys of the facts that coordinators publish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FactKey {
    HealthReport,
    DomainDecisions,
    Orders,
}

impl FactKey {
    fn from_name(name: &str) -> Option<Self> {
        [Self::HealthReport, Self::DomainDecisions, Self::Orders]
            .into_iter()
            .find(|key| key.as_str() == name)
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::HealthReport => "evidence",
            Self::DomainDecisions => "places",
            Self::Orders => "orders",
        }
    }

    pub fn name(self) -> Name {
        Name::new(self.as_str()).unwrap_or_else(|_| unreachable!("fact keys are valid names"))
    }
}

/// Which version of a fact was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FactStamp {
    /// The owner's incarnation.
    incarnation: u64,
    counter: u64,
}

impl Coordinator {
    /// Receives the facts that are new. Returns the number of members of each zone that can report
    /// here.
    pub(super) fn receive(
        &mut self,
        now: Time,
        now_ms: u64,
        node: &Node,
    ) -> BTreeMap<String, usize> {
        let mut members: BTreeMap<String, usize> = BTreeMap::new();
        let mut zones: BTreeMap<&Name, &Name> = BTreeMap::new();
        *members
            .entry(node.local().zone.as_str().to_owned())
            .or_default() += 1;
        for member in node.observations(now) {
            if matches!(member.verdict, MemberState::Dead | MemberState::Left) {
                continue;
            }
            zones.insert(&member.metadata.name, &member.metadata.zone);
            // A member that cannot be heard cannot report here.
            if matches!(
                member.verdict,
                MemberState::Alive | MemberState::Partitioned { .. }
            ) {
                *members
                    .entry(member.metadata.zone.as_str().to_owned())
                    .or_default() += 1;
            }
        }
        for (owner, name, record) in node.records() {
            let Some(zone) = zones.get(owner) else {
                continue;
            };
            let Some(key) = FactKey::from_name(name.as_str()) else {
                continue;
            };
            let stamp = FactStamp {
                incarnation: record.generation.id,
                counter: record.version,
            };
            if self.received.insert((owner.clone(), key), stamp) != Some(stamp) {
                self.receive_fact(now_ms, owner, zone, key, record);
            }
        }
        self.remove_absent_members(&zones);
        members
    }

    /// Facts that cannot be decoded are ignored: they are nobody's evidence.
    fn receive_fact(
        &mut self,
        now_ms: u64,
        owner: &Name,
        zone: &Name,
        key: FactKey,
        record: &Record,
    ) {
        match key {
            FactKey::HealthReport => {
                let result = self.reports.insert(
                    owner.as_str(),
                    zone.as_str(),
                    record.published_at,
                    &record.value,
                );
                self.malformed_reports += u64::from(result.is_err());
            }
            FactKey::DomainDecisions => {
                let decisions = DomainDecision::decode(&record.value).unwrap_or_default();
                let member = MemberDecisions {
                    zone: zone.as_str().to_owned(),
                    decisions,
                };
                self.member_decisions
                    .insert(owner.as_str().to_owned(), member);
            }
            FactKey::Orders => {
                for order in OrderTable::decode(&record.value).unwrap_or_default() {
                    if self.submit_order(now_ms, order).is_ok() {
                        self.pending_lines
                            .push(LogLine(self.describe_order(&order, now_ms)));
                    }
                }
            }
        }
    }

    fn remove_absent_members(&mut self, zones: &BTreeMap<&Name, &Name>) {
        if self.received.len() > 4 * zones.len() + 16 {
            self.received
                .retain(|(owner, _), _| zones.contains_key(owner));
        }
        let present: BTreeSet<&str> = zones.keys().map(|name| name.as_str()).collect();
        self.reports.retain(|owner| present.contains(owner));
        self.member_decisions
            .retain(|owner, _| present.contains(owner.as_str()));
        self.contradictions.retain(|owner| present.contains(owner));
    }
}
