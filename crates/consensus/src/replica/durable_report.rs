//! Durable reports: a leader reports the voters that hold its log durably, and a follower commits
//! the reported entries. A follower with a report can commit one network delay after its own write,
//! instead of three network delays.
//!
//! # Safety
//!
//! In Raft, an entry of the current term is committed once a quorum holds the entry durably in that
//! term (Raft, section 5.4.2). The rule does not depend on the replica that counts the quorum. A
//! follower counts the holders that its leader names, and itself. The follower commits an entry
//! only if the entry is of the current term. The leader of the current term has then created the
//! entry, so by the Log Matching Property the follower's whole log, up to the last entry, is a
//! prefix of the leader's log.
//!
//! The follower counts by the membership at the end of this prefix. The leader may already have a
//! newer membership, but the follower's membership is sufficient. A newer membership replaces the
//! follower's membership only after a joint membership of the two is committed by a quorum of each.
//! That quorum holds all entries before the joint membership. Until the joint membership is
//! committed, the election of a leader also takes a quorum of the follower's membership, and that
//! quorum shares a voter with the counted quorum. Membership changes of earlier terms were
//! committed before the first entry of the current term was appended, so the follower knows them.

use super::Replica;
use crate::config::Milliseconds;
use crate::durable_report::DurableReport;
use crate::log_position::LogIndex;
use crate::membership::{Member, ReplicaId};
use crate::role::Role;

impl Replica {
    /// Takes the durable report that is due on a leader. A report is due if one voter fewer than a
    /// quorum holds the log durably up to an uncommitted index of this term, and if that index has
    /// risen since the last report. The driver sends the report to the voters that are not holders.
    /// The report may be lost, delayed or duplicated. No report is due in a joint membership.
    pub fn take_durable_report(&mut self) -> Option<DurableReport> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let reported_index = leader.reported_index.max(self.commit_index);
        if reported_index >= self.log.last_index() {
            return None;
        }
        let durable_index = |member: &Member| self.durable_index_of(leader, member.id);
        let membership = self.log.membership();
        let index = membership.value_below_quorum(durable_index)?;
        if index <= reported_index || self.log.term_at(index) != Some(self.term) {
            return None;
        }
        let voters = membership.all_voters();
        let holders = voters
            .filter(|voter| durable_index(voter) >= index)
            .map(|voter| voter.id)
            .collect();
        if let Role::Leader(leader) = &mut self.role {
            leader.reported_index = index;
        }
        Some(DurableReport {
            term: self.term,
            index,
            holders,
        })
    }

    /// Handles a durable report from the leader. The reported entries are committed if this replica
    /// and the holders form a quorum, either now or once the entries are durable on this replica.
    /// Reports of other terms and reports from replicas other than the leader are ignored.
    pub fn observe_durable_report(
        &mut self,
        now: Milliseconds,
        from: ReplicaId,
        report: DurableReport,
    ) {
        self.now = self.now.max(now);
        let is_from_leader = self.leader() == Some(from) && !self.is_leader();
        if report.term != self.term || !is_from_leader {
            return;
        }
        let reported_index = self.current_report().map_or(0, |current| current.index);
        if report.index > reported_index {
            self.durable_report = Some(report);
            self.commit_reported();
        }
    }

    /// Commits the entries that this replica and the holders in the current report hold durably, if
    /// this replica and the holders form a quorum.
    pub(super) fn commit_reported(&mut self) {
        if let Some(index) = self.reported_commit_index() {
            self.commit_index = index;
            self.persist_and_apply_committed();
        }
    }

    fn reported_commit_index(&self) -> Option<LogIndex> {
        let report = self.current_report()?;
        let index = report.index.min(self.persistence.durable_index());
        if index <= self.commit_index || self.log.term_at(index) != Some(self.term) {
            return None;
        }
        let holds = |member: &Member| member.id == self.id || report.holders.contains(&member.id);
        self.log.membership().is_quorum(holds).then_some(index)
    }

    /// Returns the last report from the leader of the current term.
    pub(super) fn current_report(&self) -> Option<&DurableReport> {
        let report = self.durable_report.as_ref();
        report.filter(|report| report.term == self.term)
    }
}
