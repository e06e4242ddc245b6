//! Commands from operators. The leader proposes commands to the replicated log; other machines
//! forward them to the leader.

use super::call::{CALL_TIMEOUT_MS, CallOrigin, LeaderAddress, take_overdue};
use super::{CallResponse, ControlMachine};
use crate::command::{Command, CommandOutcome};
use crate::wire::{CallId, LeaderTime, Packet};
use nanoserde::SerBin;
use woadstall_consensus::LogPosition;

/// A log entry proposed by this machine as leader and not applied yet.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    term: u64,
    digest: u128,
    waiters: Vec<Waiter>,
}

/// The origin of a call that waits for a log entry to be applied, and the call's deadline.
#[derive(Clone, Debug)]
struct Waiter {
    origin: CallOrigin,
    deadline_ms: u64,
}

/// A command that was forwarded to a leader, or that waits until a leader is elected.
#[derive(Clone, Debug)]
pub(super) struct PendingCommand {
    token: u64,
    command: Command,
    forwarded_to: Option<LeaderAddress>,
    deadline_ms: u64,
}

impl ControlMachine {
    /// Submits an operator's command. The response is returned as
    /// [`Action::Respond`](super::Action::Respond) with the given token.
    pub fn submit_command(&mut self, now_ms: u64, token: u64, command: Command) {
        self.advance_clock(now_ms);
        let number = self.next_number();
        let deadline_ms = self.now_ms + CALL_TIMEOUT_MS;
        let pending = PendingCommand {
            token,
            command,
            forwarded_to: None,
            deadline_ms,
        };
        self.calls.commands.insert(number, pending);
        self.propose_or_forward(number);
        self.process_replica_outputs();
    }

    /// Proposes a pending command if this machine is the leader, otherwise forwards the command to
    /// the leader. The command stays pending while no leader is known, and is neither proposed nor
    /// forwarded after its deadline.
    pub(super) fn propose_or_forward(&mut self, number: u64) {
        let Some(pending) = self.calls.commands.get(&number) else {
            return;
        };
        if self.now_ms >= pending.deadline_ms {
            return;
        }
        if self.replica.is_leader() {
            self.propose_pending(number);
        } else {
            self.forward_command(number);
        }
    }

    fn propose_pending(&mut self, number: u64) {
        let Some(pending) = self.calls.commands.remove(&number) else {
            return;
        };
        let origin = CallOrigin::Local(pending.token);
        let waiter = Waiter {
            origin,
            deadline_ms: pending.deadline_ms,
        };
        if !self.propose_or_join(waiter, &pending.command) {
            self.calls.commands.insert(number, pending);
        }
    }

    /// Forwards a pending command to the leader of the current term, unless it has already been
    /// forwarded to that leader.
    fn forward_command(&mut self, number: u64) {
        let Some(leader) = self.leader() else { return };
        let call = self.call_id(number);
        let Some(pending) = self.calls.commands.get_mut(&number) else {
            return;
        };
        if pending.forwarded_to.as_ref() == Some(&leader) {
            return;
        }
        let expires = self
            .leader_clock
            .to_leader_time(leader.term, pending.deadline_ms);
        let Some(expires) = expires else { return };
        let command = pending.command.clone();
        pending.forwarded_to = Some(leader.clone());
        self.send(
            &leader.address,
            Packet::ForwardedCommand {
                call,
                expires,
                command,
            },
        );
    }

    /// Proposes a command and returns whether the log accepted it. If an identical configuration
    /// change has already been proposed in this term, the caller waits for the existing entry
    /// instead: replicating a large change several times would delay all of its callers.
    fn propose_or_join(&mut self, waiter: Waiter, command: &Command) -> bool {
        let digest = command.digest();
        let term = self.replica.term();
        if self.replica.is_leader() && command.is_change() {
            let is_duplicate =
                |proposal: &&mut Proposal| (proposal.term, proposal.digest) == (term, digest);
            if let Some(proposal) = self.calls.proposals.values_mut().find(is_duplicate) {
                proposal.waiters.push(waiter);
                return true;
            }
        }
        let Ok(LogPosition { index, term }) = self.replica.propose(command.serialize_bin()) else {
            return false;
        };
        self.calls.proposals.insert(
            index,
            Proposal {
                term,
                digest,
                waiters: vec![waiter],
            },
        );
        true
    }

    /// Handles a command forwarded by another machine. The command is proposed only by the leader
    /// of the term in `expires`, and not after its expiry time.
    pub(super) fn on_forwarded_command(
        &mut self,
        from: &str,
        call: CallId,
        expires: LeaderTime,
        command: Command,
    ) {
        let is_in_time = expires.term == self.replica.term() && self.now_ms <= expires.at;
        let origin = CallOrigin::Peer {
            address: from.to_owned(),
            call,
        };
        let waiter = Waiter {
            origin,
            deadline_ms: self.now_ms + CALL_TIMEOUT_MS,
        };
        if !is_in_time || !self.propose_or_join(waiter, &command) {
            self.send(
                from,
                Packet::ForwardedCommandReply {
                    call,
                    outcome: None,
                },
            );
        }
        self.process_replica_outputs();
    }

    /// Handles the leader's reply to a forwarded command. A command without an outcome becomes
    /// eligible to be forwarded again.
    pub(super) fn on_forwarded_command_reply(
        &mut self,
        call: CallId,
        outcome: Option<CommandOutcome>,
    ) {
        let Some(number) = self.own_number(call) else {
            return;
        };
        if let Some(outcome) = outcome {
            if let Some(pending) = self.calls.commands.remove(&number) {
                self.respond(pending.token, response_to(outcome));
            }
        } else if let Some(pending) = self.calls.commands.get_mut(&number) {
            pending.forwarded_to = None;
        }
    }

    /// Reports the outcome of an applied entry to its waiting callers. If the applied entry has
    /// another term than the proposal at the same index, the proposal's outcome is unknown.
    pub(super) fn complete_proposal(
        &mut self,
        index: u64,
        term: u64,
        outcome: Option<CommandOutcome>,
    ) {
        let Some(proposal) = self.calls.proposals.remove(&index) else {
            return;
        };
        let outcome = outcome.filter(|_| proposal.term == term);
        for waiter in proposal.waiters {
            self.report_outcome(waiter.origin, outcome.clone());
        }
    }

    fn report_outcome(&mut self, origin: CallOrigin, outcome: Option<CommandOutcome>) {
        match origin {
            CallOrigin::Local(token) => {
                self.respond(
                    token,
                    outcome.map_or(CallResponse::Indeterminate, response_to),
                );
            }
            CallOrigin::Peer { address, call } => {
                self.send(&address, Packet::ForwardedCommandReply { call, outcome });
            }
        }
    }

    /// Abandons all proposals after the loss of leadership. Each proposed entry may or may not be
    /// committed, so local callers receive an indeterminate response and forwarding machines ask
    /// the next leader.
    pub(super) fn abandon_proposals(&mut self) {
        let abandoned = std::mem::take(&mut self.calls.proposals);
        for waiter in abandoned
            .into_values()
            .flat_map(|proposal| proposal.waiters)
        {
            self.report_outcome(waiter.origin, None);
        }
    }

    /// Marks the commands that were forwarded to a machine as not forwarded, so that they are sent
    /// again.
    pub(super) fn reset_forwarded_commands(&mut self, address: &str) {
        for pending in self.calls.commands.values_mut() {
            if pending
                .forwarded_to
                .as_ref()
                .is_some_and(|leader| leader.address == address)
            {
                pending.forwarded_to = None;
            }
        }
    }

    /// Responds to callers whose deadline has passed. Entries proposed for them may still be
    /// committed.
    pub(super) fn time_out_commands(&mut self) {
        let now_ms = self.now_ms;
        let overdue = take_overdue(&mut self.calls.commands, |pending| {
            now_ms >= pending.deadline_ms
        });
        let mut tokens: Vec<u64> = overdue.iter().map(|pending| pending.token).collect();
        for proposal in self.calls.proposals.values_mut() {
            let overdue = proposal
                .waiters
                .extract_if(.., |waiter| now_ms >= waiter.deadline_ms);
            tokens.extend(overdue.filter_map(|waiter| waiter.origin.token()));
        }
        for token in tokens {
            self.respond(token, CallResponse::Indeterminate);
        }
    }
}

fn response_to(outcome: CommandOutcome) -> CallResponse {
    match outcome {
        CommandOutcome::Accepted => CallResponse::Acknowledged,
        CommandOutcome::Conflict { current } => CallResponse::Conflict { current },
        CommandOutcome::Invalid { findings } => CallResponse::Invalid { findings },
    }
}
