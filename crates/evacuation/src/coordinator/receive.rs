//! Reception of the records that other members have published.

use super::{Coordinator, LogLine};
use crate::domain_decision::DomainDecision;
use crate::engine::MemberDecisions;
use crate::order::OrderTable;
use std::collections::{BTreeMap, BTreeSet};
use woadstall_decisions::api::Time;
use woadstall_membership::{Name, Node, Record, Verdict as MemberVerdict};

/// The kinds of records that coordinators publish, with their keys in the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RecordKey {
    HealthReport,
    DomainDecisions,
    Orders,
}

impl RecordKey {
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
        Name::new(self.as_str()).unwrap_or_else(|_| unreachable!("record keys are valid names"))
    }
}

/// The version of a received record. Any difference means that the record is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordVersion {
    /// The id of the generation of the owner's process.
    generation_id: u64,
    version: u64,
}

impl Coordinator {
    /// Receives the records that are new, and removes the data of members that are not present any
    /// more. Returns the number of members of each zone that can report to this balancer, including
    /// itself.
    pub(super) fn receive(
        &mut self,
        now: Time,
        now_ms: u64,
        node: &Node,
    ) -> BTreeMap<String, usize> {
        let mut members_per_zone: BTreeMap<String, usize> = BTreeMap::new();
        let mut zone_by_member: BTreeMap<&Name, &Name> = BTreeMap::new();
        *members_per_zone
            .entry(node.local().zone.as_str().to_owned())
            .or_default() += 1;
        for member in node.observations(now) {
            if matches!(member.verdict, MemberVerdict::Dead | MemberVerdict::Left) {
                continue;
            }
            zone_by_member.insert(&member.metadata.name, &member.metadata.zone);
            // Suspected members and members of unknown state do not count, since their reports may
            // not arrive.
            if matches!(
                member.verdict,
                MemberVerdict::Alive | MemberVerdict::Partitioned { .. }
            ) {
                *members_per_zone
                    .entry(member.metadata.zone.as_str().to_owned())
                    .or_default() += 1;
            }
        }
        for (owner, key_name, record) in node.records() {
            let Some(zone) = zone_by_member.get(owner) else {
                continue;
            };
            let Some(key) = RecordKey::from_name(key_name.as_str()) else {
                continue;
            };
            let version = RecordVersion {
                generation_id: record.generation.id,
                version: record.version,
            };
            let former = self.received_versions.insert((owner.clone(), key), version);
            if former != Some(version) {
                self.receive_record(now_ms, owner, zone, key, record);
            }
        }
        self.remove_absent_members(&zone_by_member);
        members_per_zone
    }

    /// Stores the content of a new record. A health report that cannot be decoded is counted and
    /// otherwise ignored, so that it is no evidence for or against any domain. Decisions that cannot
    /// be decoded replace the member's earlier decisions by an empty list. Orders that cannot be
    /// decoded are ignored.
    fn receive_record(
        &mut self,
        now_ms: u64,
        owner: &Name,
        zone: &Name,
        key: RecordKey,
        record: &Record,
    ) {
        match key {
            RecordKey::HealthReport => {
                let result = self.reports.insert(
                    owner.as_str(),
                    zone.as_str(),
                    record.published_at,
                    &record.value,
                );
                self.malformed_reports += u64::from(result.is_err());
            }
            RecordKey::DomainDecisions => {
                let decisions = DomainDecision::decode(&record.value).unwrap_or_default();
                let member = MemberDecisions {
                    zone: zone.as_str().to_owned(),
                    decisions,
                };
                self.member_decisions
                    .insert(owner.as_str().to_owned(), member);
            }
            RecordKey::Orders => {
                for order in OrderTable::decode(&record.value).unwrap_or_default() {
                    if self.submit_order(now_ms, order).is_ok() {
                        self.pending_lines
                            .push(LogLine(self.describe_order(&order, now_ms)));
                    }
                }
            }
        }
    }

    /// Removes the reports, decisions and contradictions of members that are not present any more.
    /// `zone_by_member` has the present members. Record versions are cleaned up only after they
    /// outnumber the members several times.
    fn remove_absent_members(&mut self, zone_by_member: &BTreeMap<&Name, &Name>) {
        if self.received_versions.len() > 4 * zone_by_member.len() + 16 {
            self.received_versions
                .retain(|(owner, _), _| zone_by_member.contains_key(owner));
        }
        let present: BTreeSet<&str> = zone_by_member.keys().map(|name| name.as_str()).collect();
        self.reports.retain(|owner| present.contains(owner));
        self.member_decisions
            .retain(|owner, _| present.contains(owner.as_str()));
        self.contradictions.retain(|owner| present.contains(owner));
    }
}
