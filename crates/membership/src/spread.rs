//! News on its way: each piece goes out a number of times that grows with the logarithm of the fleet, the least
//! told first, so that what is new overtakes what most have heard.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Pieces that are passed over as too long for what is left of a message, before no more is looked for.
const PASSED_OVER: usize = 4;

/// Where a piece stands: the urgent ones first, then the least told, then the newest. Were it the name that decides,
/// all would tell the same few first, and the last of many would wait for long.
type Rank = (Reverse<u8>, u32, Reverse<u64>);

/// What is still to be told, by its key.
#[derive(Clone, Debug)]
pub struct GossipQueue<K, V> {
    queue: BTreeMap<Rank, QueuedItem<K, V>>,
    places: BTreeMap<K, Rank>,
    next: u64,
}

#[derive(Clone, Debug)]
struct QueuedItem<K, V> {
    key: K,
    news: V,
    bytes: usize,
}

impl<K, V> Default for GossipQueue<K, V> {
    fn default() -> Self {
        Self {
            queue: BTreeMap::new(),
            places: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<K: Ord + Clone, V: Clone> GossipQueue<K, V> {
    /// Tell this from now on, in place of what was told under the key.
    pub fn tell(&mut self, key: K, news: V, bytes: usize, urgent: u8) {
        self.forget(&key);
        self.next += 1;
        let place = (Reverse(urgent), 0, Reverse(self.next));
        self.places.insert(key.clone(), place);
        self.queue.insert(place, QueuedItem { key, news, bytes });
    }

    /// No longer.
    pub fn forget(&mut self, key: &K) {
        if let Some(place) = self.places.remove(key) {
            self.queue.remove(&place);
        }
    }

    /// Whether something of at least this urgency waits.
    pub fn is_urgent(&self, least: u8) -> bool {
        self.queue
            .first_key_value()
            .is_some_and(|((Reverse(urgent), _, _), _)| *urgent >= least)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// What goes along in so many bytes; each piece `times` times in all.
    pub fn take(&mut self, mut room: usize, times: u32) -> Vec<V> {
        let (mut chosen, mut passed_over) = (Vec::new(), 0);
        for (place, piece) in &self.queue {
            if piece.bytes <= room {
                room -= piece.bytes;
                chosen.push(*place);
                continue;
            }
            passed_over += 1;
            if passed_over == PASSED_OVER {
                break;
            }
        }
        let mut taken = Vec::with_capacity(chosen.len());
        for place in chosen {
            let Some(piece) = self.queue.remove(&place) else {
                continue;
            };
            taken.push(piece.news.clone());
            let next = (place.0, place.1 + 1, place.2);
            if next.1 >= times {
                self.places.remove(&piece.key);
                continue;
            }
            if let Some(known) = self.places.get_mut(&piece.key) {
                *known = next;
            }
            self.queue.insert(next, piece);
        }
        taken
    }
}
