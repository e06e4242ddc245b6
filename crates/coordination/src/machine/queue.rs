//! The leader's queue of calls from all machines. The queued calls are proposed in batches.

use super::CoordinationMachine;
use crate::batch::{Batch, BatchedCall, CallId};
use crate::wire::{ForwardedCall, Packet};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// The minimum interval between two batches, in milliseconds. Each batch costs a message to every
/// replica and a sync of every disk. The interval delays a call by half its length on average.
const BATCH_INTERVAL_MS: u64 = 20;
/// The size of calls, in bytes, at which a batch is full. The last call of a batch may exceed it.
const MAX_BATCH_BYTES: usize = 128 << 10;
/// The maximum number of queued calls on the leader.
const MAX_QUEUED_CALLS: usize = 4_096;
/// The interval in milliseconds at which an idle leader records the elapsed time in the log while
/// leases exist. The record tells the next leader how much time has passed.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// A call in the leader's queue.
#[derive(Clone, Debug)]
pub(super) struct QueuedCall {
    pub call: BatchedCall,
    /// The internal address of the machine that accepted the call. It may be this machine.
    pub origin: String,
    /// The time, by this machine's clock, after which the call must not be proposed.
    pub deadline: u64,
}

/// The calls that wait to be proposed, in order of arrival.
#[derive(Clone, Debug)]
pub(super) struct CallQueue {
    waiting: VecDeque<QueuedCall>,
    /// The identifiers of the waiting calls. A call that is forwarded twice is queued once.
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

    fn push(&mut self, queued: QueuedCall) {
        if self.ids.insert(queued.call.id) {
            self.waiting.push_back(queued);
        }
    }

    /// Removes and returns the calls whose deadline has passed at `now`.
    fn take_expired(&mut self, now: u64) -> Vec<QueuedCall> {
        let (expired, waiting): (VecDeque<_>, _) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|queued| now > queued.deadline);
        self.waiting = waiting;
        for queued in &expired {
            self.ids.remove(&queued.call.id);
        }
        expired.into()
    }

    /// Removes and returns the calls of the next batch.
    fn take_batch(&mut self) -> Vec<QueuedCall> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while bytes < MAX_BATCH_BYTES
            && let Some(queued) = self.waiting.pop_front()
        {
            bytes += queued.call.call.size();
            self.ids.remove(&queued.call.id);
            batch.push(queued);
        }
        batch
    }

    fn take_all(&mut self) -> Vec<QueuedCall> {
        self.ids.clear();
        std::mem::take(&mut self.waiting).into()
    }
}

impl CoordinationMachine {
    /// Queues the calls that another machine has forwarded. A call is rejected if this machine does
    /// not lead the term that the call is addressed to, or if the deadline of the call has passed.
    pub(super) fn on_forwarded_calls(&mut self, from: &str, calls: Vec<ForwardedCall>) {
        let mut rejected = Vec::new();
        for ForwardedCall { call, deadline } in calls {
            let is_addressed_leader =
                self.replica.is_leader() && deadline.term == self.replica.term();
            let call = QueuedCall {
                call,
                origin: from.to_owned(),
                deadline: deadline.at,
            };
            if is_addressed_leader && self.now <= call.deadline {
                rejected.extend(self.enqueue(call));
            } else {
                rejected.push(call);
            }
        }
        self.reject(rejected);
        self.flush_queue();
    }

    /// Queues a call on the leader. Returns the call if the queue is full.
    pub(super) fn enqueue(&mut self, call: QueuedCall) -> Option<QueuedCall> {
        if self.queue.len() >= MAX_QUEUED_CALLS {
            return Some(call);
        }
        self.queue.push(call);
        None
    }

    /// The time at which the next batch is due. `None` without queued calls or without a lease
    /// clock.
    pub(super) fn batch_due(&self) -> Option<u64> {
        let is_ready = self.lease_clock.is_some() && self.queue.len() > 0;
        is_ready.then_some(self.queue.last_batch_ms + BATCH_INTERVAL_MS)
    }

    /// Proposes the queued calls if a batch is due. If a checkpoint is due, the batch may be empty
    /// and only records the elapsed time. Queued calls whose deadline has passed are rejected.
    pub(super) fn flush_queue(&mut self) {
        let is_due = self.batch_due().is_some_and(|due| self.now >= due);
        if !is_due && self.lease_clock.is_some() && !self.is_checkpoint_due() {
            return;
        }
        let expired = self.queue.take_expired(self.now);
        self.reject(expired);
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
            clock_ms: clock.clock_ms_at(self.now),
            history_ms: self.settings.history_ms,
            calls: taken.iter().map(|queued| queued.call.clone()).collect(),
        };
        match self.replica.propose(batch.encode()) {
            Ok(_) => self.counters.batches += 1,
            Err(_) => self.reject(taken),
        }
        self.process_replica_outputs();
    }

    /// Rejects all queued calls after this machine has stopped leading.
    pub(super) fn reject_queued_calls(&mut self) {
        let waiting = self.queue.take_all();
        self.reject(waiting);
    }

    /// Notifies the machines that accepted these calls that the calls will not be proposed.
    pub(super) fn reject(&mut self, calls: Vec<QueuedCall>) {
        let mut by_machine: BTreeMap<String, Vec<CallId>> = BTreeMap::new();
        for QueuedCall { call, origin, .. } in calls {
            by_machine.entry(origin).or_default().push(call.id);
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
