//! The leader's queue: calls of all machines, which are proposed together.

use super::CoordinationMachine;
use crate::batch::{Batch, BatchedCall, CallId};
use crate::wire::{ForwardedCall, Packet};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// The shortest time between two batches, in milliseconds: each costs a message to every replica
/// and a sync of every disk, and delays a call by half of this.
const BATCH_INTERVAL_MS: u64 = 20;
/// Bytes of calls in a batch.
const MAX_BATCH_BYTES: usize = 128 << 10;
/// Calls that may wait to be proposed.
const MAX_QUEUED_CALLS: usize = 4_096;
/// The interval in milliseconds at which an idle leader of a state with leases records how much time
/// has passed, so that the next leader knows it.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// A call that waits to be proposed.
#[derive(Clone, Debug)]
pub(super) struct QueuedCall {
    pub call: BatchedCall,
    /// The internal address of the machine that has taken it, which may be this one.
    pub taken_by: String,
    /// After this time it must not be proposed.
    pub deadline: u64,
}

/// Calls that wait to be proposed.
#[derive(Clone, Debug)]
pub(super) struct CallQueue {
    waiting: VecDeque<QueuedCall>,
    /// The calls that wait: one that is forwarded twice is queued once.
    ids: HashSet<CallId>,
    last_batch_ms: u64,
}

impl CallQueue {
    pub fn new(now: u64) -> Self {
        Self {
            waiting: VecDeque::new(),
            ids: HashSet::new(),
            last_batch_ms: now,
        }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    fn push(&mut self, call: QueuedCall) {
        if self.ids.insert(call.call.id) {
            self.waiting.push_back(call);
        }
    }

    /// Takes the calls whose time is over at `now`.
    fn take_overdue(&mut self, now: u64) -> Vec<QueuedCall> {
        let (overdue, waiting): (VecDeque<_>, _) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|call| now > call.deadline);
        self.waiting = waiting;
        for call in &overdue {
            self.ids.remove(&call.call.id);
        }
        overdue.into()
    }

    /// Takes the calls of the next batch.
    fn take_batch(&mut self) -> Vec<QueuedCall> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while bytes < MAX_BATCH_BYTES
            && let Some(call) = self.waiting.pop_front()
        {
            bytes += call.call.call.size();
            self.ids.remove(&call.call.id);
            batch.push(call);
        }
        batch
    }

    fn take_all(&mut self) -> Vec<QueuedCall> {
        self.ids.clear();
        std::mem::take(&mut self.waiting).into()
    }
}

impl CoordinationMachine {
    /// Calls that other machines forward. They are queued by the leader that they were meant for,
    /// and not after their time.
    pub(super) fn on_forwarded_calls(&mut self, from: &str, calls: Vec<ForwardedCall>) {
        let mut rejected = Vec::new();
        for ForwardedCall { call, deadline } in calls {
            let is_meant = self.replica.is_leader() && deadline.term == self.replica.term();
            let call = QueuedCall {
                call,
                taken_by: from.to_owned(),
                deadline: deadline.at,
            };
            if is_meant && self.now <= call.deadline {
                rejected.extend(self.enqueue(call));
            } else {
                rejected.push(call);
            }
        }
        self.reject(rejected);
        self.flush_queue();
    }

    /// Queues a call on the leader. Returns it if the queue is full.
    pub(super) fn enqueue(&mut self, call: QueuedCall) -> Option<QueuedCall> {
        if self.queue.len() >= MAX_QUEUED_CALLS {
            return Some(call);
        }
        self.queue.push(call);
        None
    }

    /// When the next batch is due.
    pub(super) fn batch_due(&self) -> Option<u64> {
        let is_ready = self.lease_clock.is_some() && self.queue.len() > 0;
        is_ready.then_some(self.queue.last_batch_ms + BATCH_INTERVAL_MS)
    }

    /// Proposes what waits, if a batch is due, or else how much time has passed.
    pub(super) fn flush_queue(&mut self) {
        let is_due = self.batch_due().is_some_and(|due| self.now >= due);
        if !is_due && self.lease_clock.is_some() && !self.is_checkpoint_due() {
            return;
        }
        let overdue = self.queue.take_overdue(self.now);
        self.reject(overdue);
        if is_due || self.is_checkpoint_due() {
            self.propose_batch();
        }
    }

    fn is_checkpoint_due(&self) -> bool {
        let is_idle = self.now >= self.queue.last_batch_ms + CHECKPOINT_INTERVAL_MS;
        is_idle && self.lease_clock.is_some() && self.state.size().leases > 0
    }

    fn propose_batch(&mut self) {
        let Some(clock) = self.lease_clock else {
            return;
        };
        self.queue.last_batch_ms = self.now;
        let taken = self.queue.take_batch();
        let batch = Batch {
            clock_ms: clock.at(self.now),
            history_ms: self.settings.history_ms,
            calls: taken.iter().map(|queued| queued.call.clone()).collect(),
        };
        match self.replica.propose(batch.encode()) {
            Ok(_) => self.counters.batches += 1,
            Err(_) => self.reject(taken),
        }
        self.process_replica_outputs();
    }

    /// This machine no longer leads.
    pub(super) fn abandon_queue(&mut self) {
        let waiting = self.queue.take_all();
        self.reject(waiting);
    }

    /// Tells the machines that have taken these calls that they will not be proposed.
    pub(super) fn reject(&mut self, calls: Vec<QueuedCall>) {
        let mut by_machine: BTreeMap<String, Vec<CallId>> = BTreeMap::new();
        for QueuedCall { call, taken_by, .. } in calls {
            by_machine.entry(taken_by).or_default().push(call.id);
        }
        for (address, ids) in by_machine {
            if address == self.own_address() {
                self.on_rejected_calls(ids);
            } else {
                self.send(&address, Packet::RejectedCalls(ids));
            }
        }
    }
}
