//! Chooses the core machines that the feeds are read from: different ones, by preference, and for a
//! while none that was abandoned because it did not respond or had no quorum.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long an abandoned machine is avoided if there is another one: a partitioned machine has
/// stale data.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(5);

/// The machines that are read, and those that were abandoned lately.
#[derive(Debug)]
pub(super) struct FeedSources {
    /// The machine of each feed.
    current: Vec<Option<SocketAddr>>,
    abandoned_at: HashMap<SocketAddr, Instant>,
}

impl FeedSources {
    /// So many feeds that read nothing yet.
    pub fn new(feeds: usize) -> Self {
        Self {
            current: vec![None; feeds],
            abandoned_at: HashMap::new(),
        }
    }

    /// Chooses the machine that a feed reads next: the first one by preference that no other feed
    /// reads and that was not abandoned lately, else the one that was abandoned longest ago.
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

    /// Notes that a feed has ended.
    pub fn abandon(&mut self, now: Instant, feed: usize) {
        if let Some(address) = self.current[feed].take() {
            self.abandoned_at.insert(address, now);
        }
    }
}

#[cfg(test)]
mod tests;
