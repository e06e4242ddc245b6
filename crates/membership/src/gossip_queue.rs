//! Queue of items to piggyback on messages. The number of transmissions of an item grows with the
//! logarithm of the fleet size (SWIM, section 4.1). The least transmitted items are sent first, so
//! that new items overtake items that most members already received.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of items that the search for fitting items skips as too long for the rest of a
/// message.
const MAX_SKIPPED: usize = 4;

/// Sort key of items: urgent items first, then the least transmitted, then the newest. With an
/// order by key, all members would send the same few items first, and the last of many items would
/// wait for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    urgency: Reverse<u8>,
    transmissions: u32,
    enqueue_number: Reverse<u64>,
}

#[derive(Clone, Debug)]
struct QueuedItem<K, V> {
    key: K,
    value: V,
    bytes: usize,
}

/// Queue of items to transmit, with at most one item per key.
#[derive(Clone, Debug)]
pub struct GossipQueue<K, V> {
    items: BTreeMap<Rank, QueuedItem<K, V>>,
    ranks: BTreeMap<K, Rank>,
    enqueued_count: u64,
}

impl<K, V> Default for GossipQueue<K, V> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            ranks: BTreeMap::new(),
            enqueued_count: 0,
        }
    }
}

impl<K: Ord + Clone, V: Clone> GossipQueue<K, V> {
    /// Enqueues an item with an encoded length of `bytes`, replacing the item under the same key.
    pub fn enqueue(&mut self, key: K, value: V, bytes: usize, urgency: u8) {
        self.remove(&key);
        self.enqueued_count += 1;
        let rank = Rank {
            urgency: Reverse(urgency),
            transmissions: 0,
            enqueue_number: Reverse(self.enqueued_count),
        };
        self.ranks.insert(key.clone(), rank);
        self.items.insert(rank, QueuedItem { key, value, bytes });
    }

    /// Removes the item under a key, if any.
    pub fn remove(&mut self, key: &K) {
        if let Some(rank) = self.ranks.remove(key) {
            self.items.remove(&rank);
        }
    }

    /// Whether an item of at least this urgency is queued.
    pub fn has_urgent(&self, min_urgency: u8) -> bool {
        let first = self.items.first_key_value();
        first.is_some_and(|(rank, _)| rank.urgency.0 >= min_urgency)
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes items that fit into `max_bytes` together. An item leaves the queue after
    /// `max_transmissions` transmissions.
    pub fn take(&mut self, max_bytes: usize, max_transmissions: u32) -> Vec<V> {
        let chosen = self.choose(max_bytes);
        let mut taken = Vec::with_capacity(chosen.len());
        for rank in chosen {
            let Some(item) = self.items.remove(&rank) else {
                continue;
            };
            taken.push(item.value.clone());
            self.requeue(rank, item, max_transmissions);
        }
        taken
    }

    fn choose(&self, max_bytes: usize) -> Vec<Rank> {
        let mut bytes_left = max_bytes;
        let (mut chosen, mut skipped) = (Vec::new(), 0);
        for (rank, item) in &self.items {
            if item.bytes <= bytes_left {
                bytes_left -= item.bytes;
                chosen.push(*rank);
                continue;
            }
            skipped += 1;
            if skipped == MAX_SKIPPED {
                break;
            }
        }
        chosen
    }

    fn requeue(&mut self, rank: Rank, item: QueuedItem<K, V>, max_transmissions: u32) {
        let next = Rank {
            transmissions: rank.transmissions + 1,
            ..rank
        };
        if next.transmissions >= max_transmissions {
            self.ranks.remove(&item.key);
            return;
        }
        if let Some(queued_rank) = self.ranks.get_mut(&item.key) {
            *queued_rank = next;
        }
        self.items.insert(next, item);
    }
}
