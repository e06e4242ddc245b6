//! The rounds of heartbeats of a leader. A response to a round proves that the follower had not
//! moved on to a newer leader when the round started.

use crate::config::Milliseconds;
use std::collections::VecDeque;

/// The rounds whose start times are kept: more than are in flight at a time.
const MAX_TRACKED_ROUNDS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct StartedRound {
    number: u64,
    started_at: Milliseconds,
}

/// The newest rounds of a leader and when they started. The first round has the number 1.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeartbeatRounds {
    latest: u64,
    started: VecDeque<StartedRound>,
}

impl HeartbeatRounds {
    /// The number of the newest round; 0 before the first one.
    pub fn latest(&self) -> u64 {
        self.latest
    }

    /// Starts a round.
    pub fn start(&mut self, now: Milliseconds) {
        self.latest += 1;
        self.started.push_back(StartedRound {
            number: self.latest,
            started_at: now,
        });
        if self.started.len() > MAX_TRACKED_ROUNDS {
            self.started.pop_front();
        }
    }

    /// When a round started; `None` if it is unknown or too long ago.
    pub fn started_at(&self, number: u64) -> Option<Milliseconds> {
        let round = self.started.iter().find(|round| round.number == number);
        round.map(|round| round.started_at)
    }
}
