//! Replay protection: a sliding window of received sequence numbers for each sender, as in IPsec
//! (RFC 4303, section 3.4.3).

use std::collections::{BTreeMap, VecDeque};

/// Size of the window: sequence numbers this far behind the highest one may still arrive out of
/// order.
const WINDOW_BITS: u64 = 64;
/// Maximum number of remembered senders. A forgotten sender starts with a new window and its old
/// messages would be accepted once more, so the capacity is many times the number of members of a
/// fleet.
const MAX_SENDERS: usize = 16_384;

/// Window of a single sender.
#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` was received.
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

/// Windows of all senders.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayWindows {
    windows: BTreeMap<u64, ReplayWindow>,
    /// Senders in the order of their first frame.
    senders: VecDeque<u64>,
}

impl ReplayWindows {
    /// Returns whether the sequence number of a sender is received for the first time, and records
    /// it as received.
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
