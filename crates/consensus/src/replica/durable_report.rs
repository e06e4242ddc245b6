//! Reports of durable entries, on the leader and on the follower: a follower commits one network
//! delay after its own write instead of three.
//!
//! # Safety
//!
//! Raft commits an entry of the current term once a quorum holds it durably in that term (Raft,
//! section 5.4.2); it doesn't matter which replica counts the quorum. A follower counts the holders
//! that its leader names and itself. It commits an entry only if that entry is of the current term,
//! so the leader of this term has created it, and by the Log Matching Property the follower's whole
//! log up to its end is a prefix of that leader's log.
//!
//! The membership at the end of that prefix suffices, though the leader may have a newer one. A
//! newer one replaces the follower's only after a joint membership of both is committed by a quorum
//! of each, and that quorum holds all entries before it. Until then, electing a leader takes a
//! quorum of the follower's membership too, which shares a voter with the one that was counted.
//! Changes of former terms were committed before the first entry of this term was appended, so
//! the follower knows them.

use super::Replica;
use crate::config::Milliseconds;
use crate::durable_report::DurableReport;
use crate::log_position::LogIndex;
use crate::membership::{Member, ReplicaId};
use crate::role::Role;

impl Replica {
    /// Takes the report that is due on a leader: one voter less than a quorum holds the log durably
    /// up to an uncommitted index of this term, and the index has risen since the last report. The
    /// driver sends it to the voters that are not holders; it may be lost, and may arrive late or
    /// twice. There is none in a joint membership.
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

    /// Handles a report of the leader: commits what this replica and the holders make a quorum for,
    /// now or once its own entries are durable. Reports of other terms and of other replicas are
    /// ignored.
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
        let reported_index = self.current_report().map_or(0, |known| known.index);
        if report.index > reported_index {
            self.durable_report = Some(report);
            self.commit_reported();
        }
    }

    /// Commits the entries that this replica and the holders of the last report hold durably, if
    /// they are a quorum.
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

    /// The last report of the current term's leader.
    pub(super) fn current_report(&self) -> Option<&DurableReport> {
        let report = self.durable_report.as_ref();
        report.filter(|report| report.term == self.term)
    }
}
