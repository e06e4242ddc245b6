//! A client that acquires, renews and releases a lock.

use super::{Client, RETRY_MS};
use crate::cluster::ClientContext;
use crate::history::{Answer, LeaseInterval, OperationId, Request};
use std::ops::Range;
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command};
use woadstall_coordination::outcome::Outcome;

/// The duration of a lease, in milliseconds.
const LEASE_MS: Range<u64> = 400..3_000;
/// How long a caller holds briefly, in milliseconds.
const EARLY_RELEASE_MS: Range<u64> = 20..250;
/// How long a caller holds with renewals, in milliseconds.
const HOLD_DURATION_MS: Range<u64> = 2_000..8_000;
/// Before a caller tries again to get a lock, in milliseconds.
const PAUSE_MS: Range<u64> = 20..300;
/// After its death a caller is back under the same name, in milliseconds.
const RESTART_DELAY_MS: Range<u64> = 20..3_000;
/// How long a caller sleeps beyond its time, in milliseconds.
const OVERSLEEP_MS: Range<u64> = 20..1_500;

/// How a caller holds a lock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseUsage {
    /// It releases it soon.
    ReleaseEarly,
    /// It renews it for many seconds.
    RenewRepeatedly,
    /// It dies while it holds it and comes back.
    Crash,
    /// It sleeps beyond its time, then tries to renew.
    Oversleep,
}

/// The lease that a caller has.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// Its claim in the history.
    interval_index: usize,
    fencing_token: u64,
    /// When the caller's time runs out, in milliseconds.
    expires_ms: u64,
    /// When the caller means to release the lock, in milliseconds.
    release_ms: u64,
}

/// What a caller does.
#[derive(Clone, Copy, Debug)]
enum Activity {
    Idle,
    Acquiring,
    Holding(Lease),
    Renewing(Lease),
    Releasing { fencing_token: u64 },
}

/// The client.
#[derive(Clone, Debug)]
pub struct LockClient {
    lock: String,
    owner: String,
    usage: LeaseUsage,
    node: NodeIndex,
    activity: Activity,
    /// The call that waits, with the time at which it was sent and the lease that it asks for.
    pending: Option<PendingCall>,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    operation: OperationId,
    sent_ms: u64,
    lease_ms: u64,
}

impl LockClient {
    /// A client that calls this machine first.
    pub fn new(lock: String, owner: String, usage: LeaseUsage, node: NodeIndex) -> Self {
        Self {
            lock,
            owner,
            usage,
            node,
            activity: Activity::Idle,
            pending: None,
        }
    }

    fn send(&mut self, context: &mut ClientContext<'_>, command: Command, lease_ms: u64) {
        let sent_ms = context.now_ms();
        let operation = context.call(self.node, Request::Call(Call::Command(command)));
        self.pending = Some(PendingCall {
            operation,
            sent_ms,
            lease_ms,
        });
    }

    fn acquire(&mut self, context: &mut ClientContext<'_>) {
        self.activity = Activity::Acquiring;
        let lease_ms = context.cluster.random.u64(LEASE_MS);
        let command = Command::AcquireLock {
            lock: self.lock.clone(),
            owner: self.owner.clone(),
            lease_ms,
        };
        self.send(context, command, lease_ms);
    }

    fn renew(&mut self, context: &mut ClientContext<'_>, lease: Lease) {
        self.activity = Activity::Renewing(lease);
        let lease_ms = context.cluster.random.u64(LEASE_MS);
        let command = Command::RenewLock {
            lock: self.lock.clone(),
            owner: self.owner.clone(),
            fencing_token: lease.fencing_token,
            lease_ms,
        };
        self.send(context, command, lease_ms);
    }

    /// Gives the lock up: the claim ends when the call is sent.
    fn release(&mut self, context: &mut ClientContext<'_>, lease: Lease) {
        end_lease_interval(context, lease);
        self.send_release(context, lease.fencing_token);
    }

    fn send_release(&mut self, context: &mut ClientContext<'_>, fencing_token: u64) {
        self.activity = Activity::Releasing { fencing_token };
        let command = Command::ReleaseLock {
            lock: self.lock.clone(),
            owner: self.owner.clone(),
            fencing_token,
        };
        self.send(context, command, 0);
    }

    fn idle(&mut self, context: &mut ClientContext<'_>, pause_ms: Range<u64>) {
        self.activity = Activity::Idle;
        self.pending = None;
        let pause_ms = context.cluster.random.u64(pause_ms);
        context.set_timer(pause_ms);
    }

    /// The caller dies; it forgets what it holds and what it waits for.
    fn crash(&mut self, context: &mut ClientContext<'_>, lease: Lease) {
        end_lease_interval(context, lease);
        if let Some(pending) = self.pending {
            context.abandon(pending.operation);
        }
        self.idle(context, RESTART_DELAY_MS);
    }

    fn on_acquired(&mut self, context: &mut ClientContext<'_>, call: PendingCall, token: u64) {
        let now_ms = context.now_ms();
        let expires_ms = call.sent_ms + call.lease_ms;
        let hold_duration_ms = context.cluster.random.u64(HOLD_DURATION_MS);
        let lease_intervals = &mut context.cluster.history.lease_intervals;
        let lease = Lease {
            interval_index: lease_intervals.len(),
            fencing_token: token,
            expires_ms,
            release_ms: now_ms + hold_duration_ms,
        };
        lease_intervals.push(LeaseInterval {
            lock: self.lock.clone(),
            owner: self.owner.clone(),
            fencing_token: token,
            start_ms: now_ms,
            end_ms: expires_ms.max(now_ms),
        });
        if now_ms >= expires_ms {
            self.release(context, lease);
        } else {
            self.schedule_lease_timer(context, lease);
        }
    }

    /// Holds the lock until the next thing to do with it.
    fn schedule_lease_timer(&mut self, context: &mut ClientContext<'_>, lease: Lease) {
        self.activity = Activity::Holding(lease);
        self.pending = None;
        let left_ms = lease.expires_ms.saturating_sub(context.now_ms());
        let random = &mut context.cluster.random;
        let delay_ms = match self.usage {
            LeaseUsage::ReleaseEarly => random.u64(EARLY_RELEASE_MS).min(left_ms),
            LeaseUsage::RenewRepeatedly => left_ms / 3,
            LeaseUsage::Crash => random.u64(..=left_ms),
            LeaseUsage::Oversleep => left_ms + random.u64(OVERSLEEP_MS),
        };
        context.set_timer(delay_ms);
    }

    fn on_lease_timer(&mut self, context: &mut ClientContext<'_>, lease: Lease) {
        let now_ms = context.now_ms();
        match self.usage {
            LeaseUsage::ReleaseEarly => self.release(context, lease),
            LeaseUsage::RenewRepeatedly
                if now_ms >= lease.release_ms || now_ms >= lease.expires_ms =>
            {
                self.release(context, lease);
            }
            LeaseUsage::Crash if now_ms < lease.release_ms && context.cluster.random.bool() => {
                self.renew(context, lease);
            }
            LeaseUsage::Crash => self.crash(context, lease),
            LeaseUsage::RenewRepeatedly | LeaseUsage::Oversleep => self.renew(context, lease),
        }
    }

    fn on_renewal_answer(
        &mut self,
        context: &mut ClientContext<'_>,
        lease: Lease,
        call: PendingCall,
        answer: &Answer,
    ) {
        let now_ms = context.now_ms();
        match answer.outcome() {
            _ if now_ms >= lease.expires_ms => self.release(context, lease),
            Some(Outcome::LockRenewed) => {
                let expires_ms = lease.expires_ms.max(call.sent_ms + call.lease_ms);
                context.cluster.history.lease_intervals[lease.interval_index].end_ms = expires_ms;
                self.schedule_lease_timer(
                    context,
                    Lease {
                        expires_ms,
                        ..lease
                    },
                );
            }
            Some(_) => {
                end_lease_interval(context, lease);
                self.idle(context, PAUSE_MS);
            }
            None => {
                self.node = context.random_other_node(self.node);
                self.activity = Activity::Holding(lease);
                self.pending = None;
                context.set_timer(RETRY_MS);
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
                self.node = context.random_other_node(self.node);
                self.idle(context, RETRY_MS..RETRY_MS + 1);
            }
        }
    }
}

/// The caller no longer regards itself as the holder.
fn end_lease_interval(context: &mut ClientContext<'_>, lease: Lease) {
    let now_ms = context.now_ms();
    let interval = &mut context.cluster.history.lease_intervals[lease.interval_index];
    interval.end_ms = interval.end_ms.min(now_ms);
}

impl Client for LockClient {
    fn on_timer(&mut self, context: &mut ClientContext<'_>) {
        match self.activity {
            Activity::Idle => self.acquire(context),
            Activity::Holding(lease) => self.on_lease_timer(context, lease),
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
            Activity::Renewing(lease) => self.on_renewal_answer(context, lease, call, answer),
            Activity::Releasing { .. } if answer.outcome().is_none() => {
                self.node = context.random_other_node(self.node);
                self.pending = None;
                if context.cluster.random.bool() {
                    context.set_timer(RETRY_MS);
                } else {
                    self.idle(context, PAUSE_MS);
                }
            }
            Activity::Releasing { .. } => self.idle(context, PAUSE_MS),
            Activity::Idle | Activity::Holding(_) => {}
        }
    }
}
