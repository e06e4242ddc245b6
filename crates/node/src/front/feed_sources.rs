//! Selects the core machine that each feed is read from. The feeds read different machines in order
//! of preference. A machine that did not respond or had no quorum is avoided for
//! [`AVOIDANCE_PERIOD`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which an abandoned machine is avoided if another machine is available. A partitioned
/// machine has stale data.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(5);

/// Machines that the feeds currently read, and machines that were abandoned recently.
#[derive(Debug)]
pub(super) struct FeedSources {
    /// Machine that each feed reads, by the feed's index.
    current: Vec<Option<SocketAddr>>,
    abandoned_at: HashMap<SocketAddr, Instant>,
}

impl FeedSources {
    /// Creates the selection for `feeds` feeds that have no machine yet.
    pub fn new(feeds: usize) -> Self {
        Self {
            current: vec![None; feeds],
            abandoned_at: HashMap::new(),
        }
    }

    /// Selects the machine that a feed reads next: the most preferred machine that no other feed
    /// reads and that was not abandoned recently. If there is none, selects the machine that was
    /// abandoned the longest time ago.
    pub fn select(
        &mut self,
        now: Instant,
        feed: usize,
        preference: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.abandoned_at
            .retain(|_, abandoned_at| now < *abandoned_at + AVOIDANCE_PERIOD);
        self.current[feed] = None;
        let free: Vec<SocketAddr> = preference
            .iter()
            .filter(|address| !self.current.contains(&Some(**address)))
            .copied()
            .collect();
        let first = free
            .iter()
            .find(|address| !self.abandoned_at.contains_key(address));
        let longest_ago = || {
            free.iter()
                .min_by_key(|address| self.abandoned_at.get(address))
        };
        let selected = first.or_else(longest_ago).copied();
        self.current[feed] = selected;
        selected
    }

    /// Records that a feed has ended, so that its machine is avoided.
    pub fn abandon(&mut self, now: Instant, feed: usize) {
        if let Some(address) = self.current[feed].take() {
            self.abandoned_at.insert(address, now);
        }
    }
}

#[cfg(test)]
mod tests;
