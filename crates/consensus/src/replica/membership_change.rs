//! Membership changes by joint consensus (Raft, section 6). Each decision needs a majority of the
//! current voters and a majority of the next voters, until the joint membership is committed and
//! the next voters take over.

use super::Replica;
use crate::config::Milliseconds;
use crate::entry::EntryPayload;
use crate::error::ChangeVotersError;
use crate::leader_state::LeaderState;
use crate::membership::{Member, Membership};
use crate::progress::Progress;
use crate::role::Role;
use crate::voter_selection::{Liveness, VoterCandidate, choose_voters};

/// The time without contact after which a learner may replace a voter. It is longer than an
/// election or a restart takes.
pub(super) const REPLACEMENT_TIMEOUT: Milliseconds = 2_000;
/// The time without contact after which a voter may be removed without a replacement. It is much
/// longer than a restart takes, and shorter than the expected time to the next fault. A removed
/// voter that comes back requests to join again.
const REMOVAL_TIMEOUT: Milliseconds = 5_000;

impl Replica {
    /// Begins a membership change from the current voters to `next_voters`.
    ///
    /// # Errors
    ///
    /// Returns [`ChangeVotersError`] if `next_voters` is empty, if this replica is not the leader
    /// or has not committed an entry of its term, or if another change is in progress.
    pub fn change_voters(&mut self, next_voters: Vec<Member>) -> Result<(), ChangeVotersError> {
        if next_voters.is_empty() {
            return Err(ChangeVotersError::NoVoters);
        }
        self.check_can_change_voters()?;
        let voters = self.log.membership().voters.clone();
        self.append_membership(Membership {
            voters,
            next_voters,
        });
        Ok(())
    }

    fn check_can_change_voters(&self) -> Result<(), ChangeVotersError> {
        let Role::Leader(leader) = &self.role else {
            return Err(ChangeVotersError::NotLeader {
                leader: self.leader(),
            });
        };
        if !self.is_newest_membership_committed() || self.log.membership().is_joint() {
            return Err(ChangeVotersError::ChangeInProgress);
        }
        if self.commit_index < leader.first_index {
            return Err(ChangeVotersError::TermNotCommitted);
        }
        Ok(())
    }

    /// Returns whether the newest membership in the log is committed.
    pub(super) fn is_newest_membership_committed(&self) -> bool {
        let newest = self.log.last_membership_index();
        newest.is_none_or(|index| index <= self.commit_index)
    }

    fn append_membership(&mut self, membership: Membership) {
        let previous_voters: Vec<Member> = self.log.membership().all_voters().cloned().collect();
        let entry = self.next_entry(EntryPayload::Membership(membership));
        self.append(vec![entry]);
        self.keep_as_learners(previous_voters);
        self.update_followers();
        self.send_heartbeats();
        self.advance_commit_index();
    }

    /// Starts replication to new voters, and ends replication to replicas that are neither voters
    /// nor learners.
    fn update_followers(&mut self) {
        let next_index = self.log.last_index();
        let voters = self.other_voters();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let LeaderState {
            progress, learners, ..
        } = &mut **leader;
        progress.retain(|id, _| voters.contains(id) || learners.contains_key(id));
        for voter in voters {
            progress
                .entry(voter)
                .or_insert_with(|| Progress::starting_at(next_index));
        }
    }

    /// Completes a committed joint membership, or begins a change if another choice of voters is
    /// better.
    pub(super) fn review_membership(&mut self) {
        self.expire_learners();
        self.expire_retiring();
        if self.log.membership().is_joint() {
            self.complete_change();
            return;
        }
        if self.check_can_change_voters().is_err() {
            return;
        }
        let chosen = choose_voters(&self.voter_candidates(), self.settings.min_voters);
        let voters = &self.log.membership().voters;
        let is_current = |member: &Member| voters.iter().any(|voter| voter.id == member.id);
        let is_unchanged = chosen.len() == voters.len() && chosen.iter().all(is_current);
        if !is_unchanged {
            // `change_voters` rejects an empty choice, which is made if there are no candidates.
            self.change_voters(chosen).ok();
        }
    }

    fn complete_change(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if self.is_newest_membership_committed() && self.commit_index >= leader.first_index {
            let completed = self.log.membership().completed();
            self.append_membership(completed);
        }
    }

    /// Returns the current voters, and the learners that could become voters.
    fn voter_candidates(&self) -> Vec<VoterCandidate> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let learners: Vec<&Member> = self.promotable_learners(leader).collect();
        let candidate = |member: &Member, liveness: Liveness, is_voter: bool| VoterCandidate {
            member: member.clone(),
            failure_domain: self.failure_domains.get(&member.address).cloned(),
            liveness,
            is_voter,
            is_leader: member.id == self.id && liveness == Liveness::Live,
        };
        let voters = self.log.membership().voters.iter();
        let voters = voters
            .map(|voter| candidate(voter, self.voter_liveness(leader, voter, &learners), true));
        let learners = learners
            .iter()
            .map(|learner| candidate(learner, Liveness::Live, false));
        voters.chain(learners).collect()
    }

    /// Returns the liveness of a voter. A learner with the voter's address shows that the voter has
    /// lost its disk and has restarted with a new identity.
    fn voter_liveness(
        &self,
        leader: &LeaderState,
        voter: &Member,
        learners: &[&Member],
    ) -> Liveness {
        if learners
            .iter()
            .any(|learner| learner.address == voter.address)
        {
            return Liveness::Lost;
        }
        let since_contact = if voter.id == self.id {
            0
        } else {
            leader.time_since_contact(self.now, voter.id)
        };
        if since_contact > REMOVAL_TIMEOUT {
            Liveness::Lost
        } else if since_contact > REPLACEMENT_TIMEOUT || self.retiring_until.contains_key(&voter.id)
        {
            Liveness::Unresponsive
        } else {
            Liveness::Live
        }
    }
}
