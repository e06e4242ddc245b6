//! Replay protection: for each sender a sliding window of the sequence numbers that were received,
//! as in IPsec (RFC 4303, section 3.4.3).

use std::collections::{BTreeMap, VecDeque};

/// Sequence numbers up to the highest that may still come, out of order.
const WINDOW_BITS: u64 = 64;
/// Senders that are remembered. One that was forgotten starts anew, and its old messages would be
/// accepted once more, so there is capacity for many times the members of a fleet.
const MAX_SENDERS: usize = 16_384;

/// The window of one sender.
#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set where `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    fn new(sequence: u64) -> Self {
        Self {
            highest: sequence,
            received: 1,
        }
    }

    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let advance = sequence - self.highest;
            self.received = match advance < WINDOW_BITS {
                true => self.received << advance | 1,
                false => 1,
            };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW_BITS || self.received >> behind & 1 == 1 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}

/// The windows of all senders.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayWindows {
    windows: BTreeMap<u64, ReplayWindow>,
    /// Senders in the order in which they were first heard of.
    senders: VecDeque<u64>,
}

impl ReplayWindows {
    /// Whether a sequence number of a sender comes for the first time; it counts as received then.
    pub fn accept(&mut self, sender: u64, sequence: u64) -> bool {
        if let Some(window) = self.windows.get_mut(&sender) {
            return window.accept(sequence);
        }
        if self.windows.len() == MAX_SENDERS
            && let Some(oldest) = self.senders.pop_front()
        {
            self.windows.remove(&oldest);
        }
        self.senders.push_back(sender);
        self.windows.insert(sender, ReplayWindow::new(sequence));
        true
    }
}
