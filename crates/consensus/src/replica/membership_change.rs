//! Membership changes by joint consensus (Raft, section 6): the current and the next voters agree
//! together until the next ones are committed.

use super::Replica;
use crate::config::Milliseconds;
use crate::entry::EntryPayload;
use crate::error::ChangeVotersError;
use crate::leader_state::LeaderState;
use crate::membership::{Member, Membership};
use crate::progress::Progress;
use crate::role::Role;
use crate::voter_selection::{Liveness, VoterCandidate, choose_voters};

/// Time without contact after which a learner may take a voter's place: longer than an election or
/// a restart.
pub(super) const REPLACEMENT_TIMEOUT: Milliseconds = 2_000;
/// Time without contact after which a voter that is not needed loses its vote: much longer than a
/// restart, and shorter than the time to the next fault. One that comes back joins again.
const REMOVAL_TIMEOUT: Milliseconds = 5_000;

impl Replica {
    /// Begins a change to these voters.
    ///
    /// # Errors
    ///
    /// [`ChangeVotersError`] if there are no voters, this replica does not lead or has not
    /// committed an entry of its term, or another change is in progress.
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
        if !self.is_change_committed() || self.log.membership().is_joint() {
            return Err(ChangeVotersError::ChangeInProgress);
        }
        if self.commit_index < leader.first_index {
            return Err(ChangeVotersError::TermNotCommitted);
        }
        Ok(())
    }

    /// Whether the newest membership is committed.
    pub(super) fn is_change_committed(&self) -> bool {
        let newest = self.log.last_membership_index();
        newest.is_none_or(|index| index <= self.commit_index)
    }

    fn append_membership(&mut self, membership: Membership) {
        let former: Vec<Member> = self.log.membership().all_voters().cloned().collect();
        let entry = self.next_entry(EntryPayload::Membership(membership));
        self.append(vec![entry]);
        self.keep_as_learners(former);
        self.update_followers();
        self.send_heartbeats();
        self.advance_commit_index();
    }

    /// Replicates to all voters and learners, and to no others.
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

    /// Completes a committed change, or begins one if other voters are better.
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
            // No candidates, no change: an empty choice is rejected.
            self.change_voters(chosen).ok();
        }
    }

    fn complete_change(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if self.is_change_committed() && self.commit_index >= leader.first_index {
            let completed = self.log.membership().completed();
            self.append_membership(completed);
        }
    }

    /// The voters, and the learners that could become voters.
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

    /// The liveness of a voter. If a learner runs at its address, it has lost its disk.
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
