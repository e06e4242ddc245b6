//! Which control machines the feeds are read from: different ones, near ones first, and none again for a while that was left
//! because it was silent or no majority stood behind it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a machine that was left is passed over where there is another one: a machine that is cut off tells old news.
const AVOIDED_FOR: Duration = Duration::from_secs(5);

/// The machines that are read, by feed, and those that were left lately.
#[derive(Debug)]
pub(super) struct Sources {
    current: Vec<Option<SocketAddr>>,
    left_at: HashMap<SocketAddr, Instant>,
}

impl Sources {
    /// So many feeds that read nothing yet.
    pub fn new(feeds: usize) -> Self {
        Self {
            current: vec![None; feeds],
            left_at: HashMap::new(),
        }
    }

    /// The machine that a feed reads next: the first one by preference that no other feed reads and that was not left lately, else
    /// the one that was left longest ago.
    pub fn choose(
        &mut self,
        now: Instant,
        feed: usize,
        preference: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.left_at
            .retain(|_, left_at| now < *left_at + AVOIDED_FOR);
        self.current[feed] = None;
        let is_free = |address: &&SocketAddr| !self.current.contains(&Some(**address));
        let free: Vec<SocketAddr> = preference.iter().filter(is_free).copied().collect();
        let first = free
            .iter()
            .find(|address| !self.left_at.contains_key(address));
        let longest_ago = || free.iter().min_by_key(|address| self.left_at.get(address));
        let chosen = first.or_else(longest_ago).copied();
        self.current[feed] = chosen;
        chosen
    }

    /// A feed has ended.
    pub fn leave(&mut self, now: Instant, feed: usize) {
        if let Some(address) = self.current[feed].take() {
            self.left_at.insert(address, now);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/sources.rs"]
mod tests;
