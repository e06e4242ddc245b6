//! Publication of this balancer's health report, decisions and orders to the other members.

use super::Coordinator;
use super::receive::RecordKey;
use crate::domain_decision::DomainDecision;
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;
use woadstall_health_reports::{HealthReport, ReportEntry, Subject, SubjectKind, max_faulty};
use woadstall_membership::Node;

/// The priority of the record with operators' orders. Records of a higher priority are spread first.
const ORDERS_PRIORITY: u8 = 250;
/// The priority of decisions that too few other members have published for members that were absent
/// to adopt them.
const AWAITED_DECISIONS_PRIORITY: u8 = 220;
/// The priority of health reports.
const HEALTH_REPORT_PRIORITY: u8 = 200;
/// The priority of decisions that enough other members have published already, and of decisions
/// about servers.
const OTHER_DECISIONS_PRIORITY: u8 = 40;

/// The records that this member has published last.
#[derive(Clone, Debug, Default)]
pub(super) struct PublishedRecords {
    /// The log odds of each subject in the newest health report.
    pub log_odds: BTreeMap<Subject, f64>,
    /// The time at which the newest health report was published, in nanoseconds.
    pub reported_at: Time,
    /// The encoded decisions.
    decisions: Vec<u8>,
    /// Whether the orders have changed since they were published.
    pub is_order_update_pending: bool,
}

impl Coordinator {
    /// Publishes the records that have changed enough. `members_per_zone` has the number of members
    /// of each zone that can report to this balancer.
    pub(super) fn publish(
        &mut self,
        now: Time,
        node: &mut Node,
        members_per_zone: &BTreeMap<String, usize>,
    ) {
        let own_zone = node.local().zone.as_str().to_owned();
        let own_zone_members = members_per_zone.get(&own_zone).copied().unwrap_or(1);
        self.publish_health_report(now, node, own_zone_members);
        self.publish_decisions(now, node, &own_zone, own_zone_members);
        self.publish_orders(now, node);
    }

    fn publish_health_report(&mut self, now: Time, node: &mut Node, own_zone_members: usize) {
        let Some(candidates) = self.select_report(now, own_zone_members) else {
            return;
        };
        let entries = candidates
            .iter()
            .map(|candidate| ReportEntry::new(candidate.subject, &candidate.counts));
        let bytes = HealthReport {
            entries: entries.collect(),
        }
        .encode(node.max_record_bytes());
        if node
            .publish(
                now,
                RecordKey::HealthReport.name(),
                HEALTH_REPORT_PRIORITY,
                bytes,
            )
            .is_ok()
        {
            let log_odds = candidates
                .iter()
                .map(|candidate| (candidate.subject, candidate.log_odds));
            self.published.log_odds = log_odds.collect();
            self.published.reported_at = now;
        }
    }

    fn publish_decisions(
        &mut self,
        now: Time,
        node: &mut Node,
        own_zone: &str,
        own_zone_members: usize,
    ) {
        let decisions = self.engine.domain_decisions();
        let bytes = DomainDecision::encode(&decisions, node.max_record_bytes());
        let is_first_and_empty = bytes.len() <= 1 && self.published.decisions.is_empty();
        if bytes == self.published.decisions || is_first_and_empty {
            return;
        }
        // A member that was absent adopts a decision about a zone, class or region once enough
        // others have published it. Copies from further members, and decisions about servers, are
        // only for operators.
        let needed = max_faulty(own_zone_members) + 2;
        let is_awaited = decisions.iter().any(|decision| {
            decision.subject.kind != SubjectKind::Server
                && self.publishers_of(decision, own_zone) < needed
        });
        let priority = if is_awaited {
            AWAITED_DECISIONS_PRIORITY
        } else {
            OTHER_DECISIONS_PRIORITY
        };
        if node
            .publish(
                now,
                RecordKey::DomainDecisions.name(),
                priority,
                bytes.clone(),
            )
            .is_ok()
        {
            self.published.decisions = bytes;
        }
    }

    /// Returns the number of other members of a zone that have published this decision or a later
    /// one about the same domain.
    fn publishers_of(&self, decision: &DomainDecision, zone: &str) -> usize {
        let is_equal_or_later = |other: &DomainDecision| {
            other.subject == decision.subject && other.epoch >= decision.epoch
        };
        let members = self
            .member_decisions
            .values()
            .filter(|member| member.zone == zone);
        members
            .filter(|member| member.decisions.iter().any(is_equal_or_later))
            .count()
    }

    fn publish_orders(&mut self, now: Time, node: &mut Node) {
        if !self.published.is_order_update_pending {
            return;
        }
        let bytes = self.orders.encode(node.max_record_bytes());
        self.published.is_order_update_pending = node
            .publish(now, RecordKey::Orders.name(), ORDERS_PRIORITY, bytes)
            .is_err();
    }
}
