//! A client that acquires, renews and releases the lease of a lock.

use super::{Client, RETRY_MS};
use crate::cluster::ClientContext;
use crate::history::{Answer, LeaseInterval, OperationId, Request};
use std::ops::Range;
use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command};
use woadstall_coordination::outcome::Outcome;

/// Requested duration of a lease, in milliseconds.
const LEASE_MS: Range<u64> = 400..3_000;
/// Time after which [`LeaseUsage::ReleaseEarly`] releases the lock, in milliseconds.
const EARLY_RELEASE_MS: Range<u64> = 20..250;
/// Time until a client that renews its lease releases the lock, in milliseconds.
const HOLD_DURATION_MS: Range<u64> = 2_000..8_000;
/// Pause before a client tries again to acquire the lock, in milliseconds.
const PAUSE_MS: Range<u64> = 20..300;
/// Time between the crash of a client and its restart under the same owner name, in milliseconds.
const RESTART_DELAY_MS: Range<u64> = 20..3_000;
/// How long [`LeaseUsage::RenewAfterExpiry`] waits after the end of its lease, in milliseconds.
const LATE_RENEWAL_DELAY_MS: Range<u64> = 20..1_500;

/// How a client uses its leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseUsage {
    /// Releases the lock soon, without renewals.
    ReleaseEarly,
    /// Renews the lease for several seconds, then releases the lock.
    RenewRepeatedly,
    /// Crashes while it holds the lock, and restarts under the same owner name.
    Crash,
    /// Pauses until after the end of the lease, then tries to renew the lease.
    RenewAfterExpiry,
}

/// A lease as its owner sees it.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// Index of the lease in the lease intervals of the history.
    interval_index: usize,
    fencing_token: u64,
    /// When the lease expires, counted from the sending of the request, in milliseconds.
    expires_ms: u64,
    /// When the client plans to release the lock, in milliseconds.
    release_ms: u64,
}

/// State of the client.
#[derive(Clone, Copy, Debug)]
enum LockState {
    Idle,
    Acquiring,
    Holding(Lease),
    Renewing(Lease),
    Releasing { fencing_token: u64 },
}

/// A client that competes for one lock.
#[derive(Clone, Debug)]
pub struct LockClient {
    lock: String,
    owner: String,
    usage: LeaseUsage,
    node: NodeIndex,
    state: LockState,
    pending: Option<PendingCall>,
}

/// A call that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    operation: OperationId,
    sent_ms: u64,
    /// Requested duration of the lease; 0 for a release.
    lease_ms: u64,
}

impl LockClient {
    /// A client that sends its first request to `node`.
    pub fn new(lock: String, owner: String, usage: LeaseUsage, node: NodeIndex) -> Self {
        Self {
            lock,
            owner,
            usage,
            node,
            state: LockState::Idle,
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
        self.state = LockState::Acquiring;
        let lease_ms = context.cluster.random.u64(LEASE_MS);
        let command = Command::AcquireLock {
            lock: self.lock.clone(),
            owner: self.owner.clone(),
            lease_ms,
        };
        self.send(context, command, lease_ms);
    }

    fn renew(&mut self, context: &mut ClientContext<'_>, lease: Lease) {
        self.state = LockState::Renewing(lease);
        let lease_ms = context.cluster.random.u64(LEASE_MS);
        let command = Command::RenewLock {
            lock: self.lock.clone(),
            owner: self.owner.clone(),
            fencing_token: lease.fencing_token,
            lease_ms,
        };
        self.send(context, command, lease_ms);
    }

    /// Releases the lock. The lease interval ends when the call is sent.
    fn release(&mut self, context: &mut ClientContext<'_>, lease: Lease) {
        end_lease_interval(context, lease);
        self.send_release(context, lease.fencing_token);
    }

    fn send_release(&mut self, context: &mut ClientContext<'_>, fencing_token: u64) {
        self.state = LockState::Releasing { fencing_token };
        let command = Command::ReleaseLock {
            lock: self.lock.clone(),
            owner: self.owner.clone(),
            fencing_token,
        };
        self.send(context, command, 0);
    }

    fn idle(&mut self, context: &mut ClientContext<'_>, pause_ms: Range<u64>) {
        self.state = LockState::Idle;
        self.pending = None;
        let pause_ms = context.cluster.random.u64(pause_ms);
        context.set_timer(pause_ms);
    }

    /// Simulates a crash: the client loses its lease and its pending call, and restarts later.
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

    /// Sets the timer for the next action on the held lease.
    fn schedule_lease_timer(&mut self, context: &mut ClientContext<'_>, lease: Lease) {
        self.state = LockState::Holding(lease);
        self.pending = None;
        let remaining_ms = lease.expires_ms.saturating_sub(context.now_ms());
        let random = &mut context.cluster.random;
        let delay_ms = match self.usage {
            LeaseUsage::ReleaseEarly => random.u64(EARLY_RELEASE_MS).min(remaining_ms),
            LeaseUsage::RenewRepeatedly => remaining_ms / 3,
            LeaseUsage::Crash => random.u64(..=remaining_ms),
            LeaseUsage::RenewAfterExpiry => remaining_ms + random.u64(LATE_RENEWAL_DELAY_MS),
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
            LeaseUsage::RenewRepeatedly | LeaseUsage::RenewAfterExpiry => {
                self.renew(context, lease)
            }
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
                self.state = LockState::Holding(lease);
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

/// Ends the lease interval now, unless the lease has expired before.
fn end_lease_interval(context: &mut ClientContext<'_>, lease: Lease) {
    let now_ms = context.now_ms();
    let interval = &mut context.cluster.history.lease_intervals[lease.interval_index];
    interval.end_ms = interval.end_ms.min(now_ms);
}

impl Client for LockClient {
    fn on_timer(&mut self, context: &mut ClientContext<'_>) {
        match self.state {
            LockState::Idle => self.acquire(context),
            LockState::Holding(lease) => self.on_lease_timer(context, lease),
            LockState::Releasing { fencing_token } => self.send_release(context, fencing_token),
            LockState::Acquiring | LockState::Renewing(_) => {}
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
        match self.state {
            LockState::Acquiring => self.on_acquire_answer(context, call, answer),
            LockState::Renewing(lease) => self.on_renewal_answer(context, lease, call, answer),
            LockState::Releasing { .. } if answer.outcome().is_none() => {
                self.node = context.random_other_node(self.node);
                self.pending = None;
                if context.cluster.random.bool() {
                    context.set_timer(RETRY_MS);
                } else {
                    self.idle(context, PAUSE_MS);
                }
            }
            LockState::Releasing { .. } => self.idle(context, PAUSE_MS),
            LockState::Idle | LockState::Holding(_) => {}
        }
    }
}
