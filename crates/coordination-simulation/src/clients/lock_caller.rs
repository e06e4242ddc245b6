//! A client that acquires, renews and releases a lock.

use super::{Client, RETRY_MS};
use crate::cluster::ClientContext;
use crate::history::{Answer, Claim, OperationId, Request};
use std::ops::Range;
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command};
use woadstall_coordination::outcome::Outcome;

/// The duration of a lease, in milliseconds.
const HOLD_MS: Range<u64> = 400..3_000;
/// How long a caller holds briefly, in milliseconds.
const BRIEF_MS: Range<u64> = 20..250;
/// How long a caller holds with renewals, in milliseconds.
const LONG_MS: Range<u64> = 2_000..8_000;
/// Before a caller tries again to get a lock, in milliseconds.
const PAUSE_MS: Range<u64> = 20..300;
/// After its death a caller is back under the same name, in milliseconds.
const DEATH_MS: Range<u64> = 20..3_000;
/// How long a caller sleeps beyond its time, in milliseconds.
const OVERSLEEP_MS: Range<u64> = 20..1_500;

/// How a caller holds a lock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldStyle {
    /// It releases it soon.
    Brief,
    /// It renews it for many seconds.
    Long,
    /// It dies while it holds it and comes back.
    Dying,
    /// It sleeps beyond its time, then tries to renew.
    Sleeping,
}

/// The lease that a caller has.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// Its claim in the history.
    claim: usize,
    fencing_token: u64,
    /// When the caller's time runs out, in milliseconds.
    until_ms: u64,
    /// When the caller means to release the lock, in milliseconds.
    release_ms: u64,
}

/// What a caller does.
#[derive(Clone, Copy, Debug)]
enum Activity {
    Idle,
    Acquiring,
    Holding(Held),
    Renewing(Held),
    Releasing { fencing_token: u64 },
}

/// The client.
#[derive(Clone, Debug)]
pub struct LockCaller {
    lock: String,
    holder: String,
    style: HoldStyle,
    node: NodeIndex,
    activity: Activity,
    /// The call that waits, with the time at which it was sent and the lease that it asks for.
    pending: Option<PendingCall>,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    operation: OperationId,
    sent_ms: u64,
    hold_ms: u64,
}

impl LockCaller {
    /// A client that calls this machine first.
    pub fn new(lock: String, holder: String, style: HoldStyle, node: NodeIndex) -> Self {
        Self {
            lock,
            holder,
            style,
            node,
            activity: Activity::Idle,
            pending: None,
        }
    }

    fn send(&mut self, context: &mut ClientContext<'_>, command: Command, hold_ms: u64) {
        let sent_ms = context.now_ms();
        let operation = context.call(self.node, Request::Call(Call::Command(command)));
        self.pending = Some(PendingCall {
            operation,
            sent_ms,
            hold_ms,
        });
    }

    fn acquire(&mut self, context: &mut ClientContext<'_>) {
        self.activity = Activity::Acquiring;
        let hold_ms = context.cluster.random.u64(HOLD_MS);
        let command = Command::AcquireLock {
            lock: self.lock.clone(),
            owner: self.holder.clone(),
            lease_ms: hold_ms,
        };
        self.send(context, command, hold_ms);
    }

    fn renew(&mut self, context: &mut ClientContext<'_>, held: Held) {
        self.activity = Activity::Renewing(held);
        let hold_ms = context.cluster.random.u64(HOLD_MS);
        let command = Command::RenewLock {
            lock: self.lock.clone(),
            owner: self.holder.clone(),
            fencing_token: held.fencing_token,
            lease_ms: hold_ms,
        };
        self.send(context, command, hold_ms);
    }

    /// Gives the lock up: the claim ends when the call is sent.
    fn release(&mut self, context: &mut ClientContext<'_>, held: Held) {
        end_claim(context, held);
        self.send_release(context, held.fencing_token);
    }

    fn send_release(&mut self, context: &mut ClientContext<'_>, fencing_token: u64) {
        self.activity = Activity::Releasing { fencing_token };
        let command = Command::ReleaseLock {
            lock: self.lock.clone(),
            owner: self.holder.clone(),
            fencing_token,
        };
        self.send(context, command, 0);
    }

    fn idle(&mut self, context: &mut ClientContext<'_>, pause_ms: Range<u64>) {
        self.activity = Activity::Idle;
        self.pending = None;
        let pause_ms = context.cluster.random.u64(pause_ms);
        context.wake_in(pause_ms);
    }

    /// The caller dies; it forgets what it holds and what it waits for.
    fn die(&mut self, context: &mut ClientContext<'_>, held: Held) {
        end_claim(context, held);
        if let Some(pending) = self.pending {
            context.abandon(pending.operation);
        }
        self.idle(context, DEATH_MS);
    }

    fn on_acquired(&mut self, context: &mut ClientContext<'_>, call: PendingCall, token: u64) {
        let now_ms = context.now_ms();
        let until_ms = call.sent_ms + call.hold_ms;
        let long_ms = context.cluster.random.u64(LONG_MS);
        let claims = &mut context.cluster.history.claims;
        let held = Held {
            claim: claims.len(),
            fencing_token: token,
            until_ms,
            release_ms: now_ms + long_ms,
        };
        claims.push(Claim {
            lock: self.lock.clone(),
            holder: self.holder.clone(),
            fencing_token: token,
            from_ms: now_ms,
            until_ms: until_ms.max(now_ms),
        });
        if now_ms >= until_ms {
            self.release(context, held);
        } else {
            self.hold(context, held);
        }
    }

    /// Holds the lock until the next thing to do with it.
    fn hold(&mut self, context: &mut ClientContext<'_>, held: Held) {
        self.activity = Activity::Holding(held);
        self.pending = None;
        let left_ms = held.until_ms.saturating_sub(context.now_ms());
        let random = &mut context.cluster.random;
        let delay_ms = match self.style {
            HoldStyle::Brief => random.u64(BRIEF_MS).min(left_ms),
            HoldStyle::Long => left_ms / 3,
            HoldStyle::Dying => random.u64(..=left_ms),
            HoldStyle::Sleeping => left_ms + random.u64(OVERSLEEP_MS),
        };
        context.wake_in(delay_ms);
    }

    fn on_held_timer(&mut self, context: &mut ClientContext<'_>, held: Held) {
        let now_ms = context.now_ms();
        match self.style {
            HoldStyle::Brief => self.release(context, held),
            HoldStyle::Long if now_ms >= held.release_ms || now_ms >= held.until_ms => {
                self.release(context, held);
            }
            HoldStyle::Dying if now_ms < held.release_ms && context.cluster.random.bool() => {
                self.renew(context, held);
            }
            HoldStyle::Dying => self.die(context, held),
            HoldStyle::Long | HoldStyle::Sleeping => self.renew(context, held),
        }
    }

    fn on_renewal_answer(
        &mut self,
        context: &mut ClientContext<'_>,
        held: Held,
        call: PendingCall,
        answer: &Answer,
    ) {
        let now_ms = context.now_ms();
        match answer.outcome() {
            _ if now_ms >= held.until_ms => self.release(context, held),
            Some(Outcome::LockRenewed) => {
                let until_ms = held.until_ms.max(call.sent_ms + call.hold_ms);
                context.cluster.history.claims[held.claim].until_ms = until_ms;
                self.hold(context, Held { until_ms, ..held });
            }
            Some(_) => {
                end_claim(context, held);
                self.idle(context, PAUSE_MS);
            }
            None => {
                self.node = context.another_node(self.node);
                self.activity = Activity::Holding(held);
                self.pending = None;
                context.wake_in(RETRY_MS);
            }
        }
    }

    fn on_acquire_answer(
        &mut self,
        context: &mut ClientContext<'_>,
        call: PendingCall,
        answer: &Answer,
    ) {
        match answer.outcome() {
            Some(Outcome::LockAcquired { fencing_token }) => {
                self.on_acquired(context, call, *fencing_token);
            }
            Some(_) => self.idle(context, PAUSE_MS),
            None => {
                self.node = context.another_node(self.node);
                self.idle(context, RETRY_MS..RETRY_MS + 1);
            }
        }
    }
}

/// The caller no longer regards itself as the holder.
fn end_claim(context: &mut ClientContext<'_>, held: Held) {
    let now_ms = context.now_ms();
    let claim = &mut context.cluster.history.claims[held.claim];
    claim.until_ms = claim.until_ms.min(now_ms);
}

impl Client for LockCaller {
    fn on_wake(&mut self, context: &mut ClientContext<'_>) {
        match self.activity {
            Activity::Idle => self.acquire(context),
            Activity::Holding(held) => self.on_held_timer(context, held),
            Activity::Releasing { fencing_token } => self.send_release(context, fencing_token),
            Activity::Acquiring | Activity::Renewing(_) => {}
        }
    }

    fn on_answer(
        &mut self,
        context: &mut ClientContext<'_>,
        operation: OperationId,
        answer: &Answer,
    ) {
        let Some(call) = self.pending.filter(|call| call.operation == operation) else {
            return;
        };
        match self.activity {
            Activity::Acquiring => self.on_acquire_answer(context, call, answer),
            Activity::Renewing(held) => self.on_renewal_answer(context, held, call, answer),
            Activity::Releasing { .. } if answer.outcome().is_none() => {
                self.node = context.another_node(self.node);
                self.pending = None;
                if context.cluster.random.bool() {
                    context.wake_in(RETRY_MS);
                } else {
                    self.idle(context, PAUSE_MS);
                }
            }
            Activity::Releasing { .. } => self.idle(context, PAUSE_MS),
            Activity::Idle | Activity::Holding(_) => {}
        }
    }
}
