//! Changes of members by joint consensus: the former and the next voters agree together until the next ones stand alone.

use crate::log::EntryPayload;
use crate::membership::{Member, Membership, ReplicaId};
use crate::replica::{ProposeError, Replica};
use crate::roles::{Leadership, Learner, Progress, Role};
use crate::voters::{Liveness, VoterCandidate, choose_voters};

/// Milliseconds for which a learner that no longer asks to join is still replicated to.
const LEARNER_PATIENCE: u64 = 5_000;
/// Milliseconds without its asking after which a learner gets no vote.
const LEARNER_LIVE: u64 = 1_500;
/// Milliseconds of silence after which a voter gives way to a learner: longer than an election or a restart takes.
const REPLACED_AFTER: u64 = 2_000;
/// Milliseconds of silence after which a voter that is not needed loses its vote: far more than a restart takes, less than
/// until the next loss. One that comes back joins again.
const REMOVED_AFTER: u64 = 5_000;
/// Milliseconds for which the word of a replica holds that it leaves: as long as its process goes on, and its restart.
const LEAVING_FOR: u64 = 2_000;

impl Replica {
    /// A replica asks to join as a voter. It is replicated to at once.
    pub fn add_learner(&mut self, member: Member) {
        let (now, next) = (self.now, self.log.last_index() + 1);
        let is_voter = self.log.membership().is_voter(member.id);
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if is_voter || member.id == self.id {
            return;
        }
        leadership
            .progress
            .entry(member.id)
            .or_insert_with(|| Progress::from(next));
        leadership
            .learners
            .insert(member.id, Learner { member, asked: now });
    }

    /// A replica says that its process is about to end: its vote goes to a learner, where there is one.
    pub fn set_retiring(&mut self, now: u64, id: ReplicaId) {
        self.now = self.now.max(now);
        self.leaving.insert(id, self.now + LEAVING_FOR);
    }

    /// Begins a change to these voters.
    pub fn change_voters(&mut self, next: Vec<Member>) -> Result<(), ProposeError> {
        if next.is_empty() {
            return Err(ProposeError::NoVoters);
        }
        self.may_change_members()?;
        let voters = self.log.membership().voters.clone();
        self.propose_members(Membership {
            voters,
            next_voters: next,
        });
        Ok(())
    }

    fn may_change_members(&self) -> Result<(), ProposeError> {
        let Role::Leader(leadership) = &self.role else {
            return Err(ProposeError::NotLeader(self.leader()));
        };
        if !self.is_change_committed()
            || self.commit < leadership.first_index
            || self.log.membership().is_joint()
        {
            return Err(ProposeError::Busy);
        }
        Ok(())
    }

    /// Whether the newest change of members is committed, if there is one.
    fn is_change_committed(&self) -> bool {
        self.log
            .last_membership_index()
            .is_none_or(|index| index <= self.commit)
    }

    fn propose_members(&mut self, members: Membership) {
        let former: Vec<Member> = self.log.membership().all_voters().cloned().collect();
        let entry = self.next_entry(EntryPayload::Membership(members));
        self.append(vec![entry]);
        self.keep_as_learners(former);
        self.follow_members();
        self.heartbeat();
        self.advance_commit();
    }

    /// Members without a vote are still replicated to for a while, so that they hear of it and ask to join. One whose address
    /// another identity has taken is gone.
    fn keep_as_learners(&mut self, former: Vec<Member>) {
        let now = self.now;
        let members = self.log.membership();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        for member in former.into_iter().filter(|member| member.id != self.id) {
            if !members
                .all_voters()
                .any(|other| other.id == member.id || other.address == member.address)
            {
                leadership
                    .learners
                    .insert(member.id, Learner { member, asked: now });
            }
        }
    }

    /// Replicates to all voters and learners, and to nobody else.
    fn follow_members(&mut self) {
        let next = self.log.last_index();
        let id = self.id;
        let voters: Vec<ReplicaId> = self
            .log
            .membership()
            .all_voters()
            .map(|member| member.id)
            .collect();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Leadership {
            progress, learners, ..
        } = &mut **leadership;
        progress.retain(|other, _| voters.contains(other) || learners.contains_key(other));
        for voter in voters.into_iter().filter(|voter| *voter != id) {
            progress
                .entry(voter)
                .or_insert_with(|| Progress::from(next));
        }
    }

    /// Completes a change that is committed, or begins the next one where other voters are better.
    pub(crate) fn review_members(&mut self) {
        self.forget_learners();
        let now = self.now;
        self.leaving.retain(|_, until| now < *until);
        let members = self.log.membership();
        if members.is_joint() {
            self.complete_change();
            return;
        }
        if self.may_change_members().is_err() {
            return;
        }
        let chosen = choose_voters(&self.candidates(), self.min_voters);
        let is_same = chosen.len() == members.voters.len()
            && chosen
                .iter()
                .all(|chosen| members.voters.iter().any(|voter| voter.id == chosen.id));
        if !is_same {
            self.change_voters(chosen).ok();
        }
    }

    fn complete_change(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        if self.is_change_committed() && self.commit >= leadership.first_index {
            let completed = self.log.membership().completed();
            self.propose_members(completed);
        }
    }

    /// A leader that has no vote any more hands leadership over, once the others have the change.
    pub(crate) fn retire_without_vote(&mut self) {
        if self.is_leader()
            && self.is_change_committed()
            && !self.log.membership().is_voter(self.id)
        {
            self.transfer_leadership();
            self.step_down(None);
        }
    }

    /// Learners that no longer ask, or have a vote now, are learners no more.
    fn forget_learners(&mut self) {
        let now = self.now;
        let members = self.log.membership();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Leadership {
            progress, learners, ..
        } = &mut **leadership;
        learners.retain(|id, learner| {
            let is_voter = members.is_voter(*id);
            let stays = now < learner.asked + LEARNER_PATIENCE && !is_voter;
            if !stays && !is_voter {
                progress.remove(id);
            }
            stays
        });
    }

    /// The voters, and the learners that have caught up.
    fn candidates(&self) -> Vec<VoterCandidate> {
        let Role::Leader(leadership) = &self.role else {
            return Vec::new();
        };
        let learners: Vec<&Member> = self.ready_learners(leadership).collect();
        let voters = self.log.membership().voters.iter();
        let candidate = |member: &Member, presence: Liveness, is_voter: bool| VoterCandidate {
            member: member.clone(),
            place: self.places.get(&member.address).cloned(),
            presence,
            is_voter,
            is_leader: member.id == self.id && presence == Liveness::Live,
        };
        let voters =
            voters.map(|voter| candidate(voter, self.presence(leadership, voter, &learners), true));
        let learners = learners
            .iter()
            .map(|learner| candidate(learner, Liveness::Live, false));
        voters.chain(learners).collect()
    }

    /// The learners that are there and have all that is committed.
    fn ready_learners<'a>(
        &'a self,
        leadership: &'a Leadership,
    ) -> impl Iterator<Item = &'a Member> {
        let has_caught_up = |id: &ReplicaId| {
            leadership
                .progress
                .get(id)
                .is_some_and(|progress| progress.matched >= self.commit)
        };
        let is_live = |id: &ReplicaId, learner: &Learner| {
            self.now < learner.asked + LEARNER_LIVE
                && !self.leaving.contains_key(id)
                && leadership.silent_for(self.now, *id) < REPLACED_AFTER
        };
        let ready = leadership
            .learners
            .iter()
            .filter(move |(id, learner)| has_caught_up(id) && is_live(id, learner));
        ready.map(|(_, learner)| &learner.member)
    }

    /// Whether a voter is there. Where a learner runs at its address, its disk is lost.
    fn presence(&self, leadership: &Leadership, voter: &Member, learners: &[&Member]) -> Liveness {
        if learners
            .iter()
            .any(|learner| learner.address == voter.address)
        {
            return Liveness::Lost;
        }
        let silent_for = if voter.id == self.id {
            0
        } else {
            leadership.silent_for(self.now, voter.id)
        };
        if silent_for > REMOVED_AFTER {
            Liveness::Lost
        } else if silent_for > REPLACED_AFTER || self.leaving.contains_key(&voter.id) {
            Liveness::Unresponsive
        } else {
            Liveness::Live
        }
    }
}
