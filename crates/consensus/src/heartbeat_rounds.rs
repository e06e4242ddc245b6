//! The heartbeat rounds of a leader. A response to a round proves that the follower had not yet
//! adopted a newer term when the round started.

use crate::config::Milliseconds;
use std::collections::VecDeque;

/// The number of rounds whose start times are kept. It exceeds the number of rounds that are in
/// flight at the same time.
const MAX_TRACKED_ROUNDS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct StartedRound {
    number: u64,
    started_at: Milliseconds,
}

/// The newest heartbeat rounds of a leader, with their start times. The first round has number 1.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeartbeatRounds {
    latest_number: u64,
    started: VecDeque<StartedRound>,
}

impl HeartbeatRounds {
    /// Returns the number of the newest round; 0 before the first round.
    pub fn latest_number(&self) -> u64 {
        self.latest_number
    }

    /// Starts the next round.
    pub fn start(&mut self, now: Milliseconds) {
        self.latest_number += 1;
        self.started.push_back(StartedRound {
            number: self.latest_number,
            started_at: now,
        });
        if self.started.len() > MAX_TRACKED_ROUNDS {
            self.started.pop_front();
        }
    }

    /// Returns the start time of a round; `None` if the round has not started, or if its start time
    /// is no longer kept.
    pub fn started_at(&self, number: u64) -> Option<Milliseconds> {
        let round = self.started.iter().find(|round| round.number == number);
        round.map(|round| round.started_at)
    }
}
