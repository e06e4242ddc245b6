//! Learners: replicas without a vote that a leader replicates to until they have caught up
//! (dissertation, section 4.2.1).

use super::Replica;
use crate::config::Milliseconds;
use crate::leader_state::{LeaderState, Learner};
use crate::membership::{Member, ReplicaId};
use crate::progress::Progress;
use crate::role::Role;

/// The time since a learner's last request to join after which the leader stops replicating to the
/// learner.
const LEARNER_TIMEOUT: Milliseconds = 5_000;
/// The time since a learner's last request to join after which the learner is not chosen as a
/// voter.
const LEARNER_LIVE_TIMEOUT: Milliseconds = 1_500;

impl Replica {
    /// Handles the request of a replica to join the group as a voter. The joining replica repeats
    /// its request. A leader replicates to the joining replica at once; any other replica ignores
    /// the request.
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

    /// Returns whether this replica should request to join the group. A replica without a vote
    /// requests to join. A voter requests to join after it has had no contact with a leader for so
    /// long that the group may have removed the voter without its knowledge.
    pub fn should_join(&self) -> bool {
        let contact_timeout = 2 * self.settings.timing.election_timeout_max;
        let is_in_contact = self
            .last_leader_contact()
            .is_some_and(|contact| self.now <= contact + contact_timeout);
        !self.membership().is_voter(self.id) || !is_in_contact && !self.is_leader()
    }

    /// Keeps removed voters as learners, so that they receive the membership change and can request
    /// to join again. A removed voter is not kept if a current voter has the same address, because
    /// the process at that address has taken a new identity.
    pub(super) fn keep_as_learners(&mut self, previous_voters: Vec<Member>) {
        let membership = self.log.membership();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for member in previous_voters
            .into_iter()
            .filter(|member| member.id != self.id)
        {
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

    /// Removes the learners that have become voters, and the learners that have not requested to
    /// join for [`LEARNER_TIMEOUT`].
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

    /// Returns the learners that are live and hold all committed entries durably.
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
