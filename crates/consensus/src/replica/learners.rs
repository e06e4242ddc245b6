//! Learners: replicas without a vote that a leader replicates to until they have caught up
//! (dissertation, section 4.2.1).

use super::Replica;
use crate::config::Milliseconds;
use crate::leader_state::{LeaderState, Learner};
use crate::membership::{Member, ReplicaId};
use crate::progress::Progress;
use crate::role::Role;

/// Time since its last request to join after which a learner is no longer replicated to.
const LEARNER_TIMEOUT: Milliseconds = 5_000;
/// Time since its last request to join after which a learner is not chosen as a voter.
const LEARNER_LIVE_TIMEOUT: Milliseconds = 1_500;

impl Replica {
    /// Handles the request of a replica to join as a voter, which it repeats. A leader replicates
    /// to it at once; others ignore it.
    pub fn add_learner(&mut self, member: Member) {
        let next_index = self.log.last_index() + 1;
        let is_voter = self.log.membership().is_voter(member.id);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if is_voter || member.id == self.id {
            return;
        }
        leader
            .progress
            .entry(member.id)
            .or_insert_with(|| Progress::starting_at(next_index));
        leader.learners.insert(
            member.id,
            Learner {
                member,
                last_request: self.now,
            },
        );
    }

    /// Whether this replica should ask to join: it has no vote, or no leader has been in contact
    /// for so long that it may have lost its vote without noticing.
    pub fn should_join(&self) -> bool {
        let patience = 2 * self.settings.timing.election_timeout_max;
        let is_in_contact = self
            .last_leader_contact()
            .is_some_and(|contact| self.now <= contact + patience);
        !self.membership().is_voter(self.id) || !is_in_contact && !self.is_leader()
    }

    /// Keeps members that have lost their vote as learners, so that they hear of the change and can
    /// ask to join. A member whose address another member has taken is gone.
    pub(super) fn keep_as_learners(&mut self, former: Vec<Member>) {
        let membership = self.log.membership();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for member in former.into_iter().filter(|member| member.id != self.id) {
            let mut voters = membership.all_voters();
            if !voters.any(|voter| voter.id == member.id || voter.address == member.address) {
                leader.learners.insert(
                    member.id,
                    Learner {
                        member,
                        last_request: self.now,
                    },
                );
            }
        }
    }

    /// Removes the learners that no longer ask to join or have become voters.
    pub(super) fn expire_learners(&mut self) {
        let now = self.now;
        let membership = self.log.membership();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let LeaderState {
            progress, learners, ..
        } = &mut **leader;
        learners.retain(|id, learner| {
            let is_voter = membership.is_voter(*id);
            let is_retained = now < learner.last_request + LEARNER_TIMEOUT && !is_voter;
            if !is_retained && !is_voter {
                progress.remove(id);
            }
            is_retained
        });
    }

    /// The learners that are live and have all committed entries.
    pub(super) fn promotable_learners<'a>(
        &'a self,
        leader: &'a LeaderState,
    ) -> impl Iterator<Item = &'a Member> {
        let learners = leader.learners.iter();
        let promotable = learners.filter(move |(id, learner)| {
            self.has_caught_up(leader, **id) && self.is_learner_live(leader, **id, learner)
        });
        promotable.map(|(_, learner)| &learner.member)
    }

    fn has_caught_up(&self, leader: &LeaderState, id: ReplicaId) -> bool {
        let progress = leader.progress.get(&id);
        progress.is_some_and(|progress| progress.match_index >= self.commit_index)
    }

    fn is_learner_live(&self, leader: &LeaderState, id: ReplicaId, learner: &Learner) -> bool {
        self.now < learner.last_request + LEARNER_LIVE_TIMEOUT
            && !self.retiring_until.contains_key(&id)
            && leader.time_since_contact(self.now, id)
                < super::membership_change::REPLACEMENT_TIMEOUT
    }
}
