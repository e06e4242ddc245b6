//! A model of an upstream's prefix cache, kept by a balancer.
//!
//! An upstream caches the tokens that it has prefilled and evicts the least recently used ones when
//! its memory is full. Balancers cannot see that cache; they replay the prompts that they know of
//! on this model.

use std::collections::VecDeque;

/// The most entries of the model, also where the upstream's capacity is not known.
const MAX_ENTRIES: usize = 64;
/// Unshared tokens of consecutive prompts are merged into one entry up to this many tokens.
const MAX_MERGED_TOKENS: u64 = 8_192;

/// The modelled contents of one upstream's prefix cache, least recently used first.
#[derive(Clone, Debug)]
pub(crate) struct PrefixCache {
    entries: VecDeque<Entry>,
    /// The sum of the entries' tokens.
    tokens: u64,
    /// The most tokens that the cache holds.
    capacity_tokens: u64,
}

/// Cached tokens that are evicted together.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// The hash of a shared prefix; `None` for tokens that belong to single prompts.
    prefix_hash: Option<u32>,
    tokens: u64,
}

impl Default for PrefixCache {
    /// An empty cache of unknown capacity.
    fn default() -> Self {
        Self {
            entries: VecDeque::new(),
            tokens: 0,
            capacity_tokens: u64::MAX,
        }
    }
}

impl PrefixCache {
    /// Sets the cache capacity, in tokens; evicts least recently used entries beyond it.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity_tokens = tokens;
        self.evict();
    }

    /// Whether a shared prefix is cached.
    pub fn contains(&self, prefix_hash: u32) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.prefix_hash == Some(prefix_hash))
    }

    /// Records the use of a shared prefix of `tokens` tokens, which becomes the most recently used
    /// entry.
    pub fn insert_prefix(&mut self, prefix_hash: u32, tokens: u64) {
        let position = self
            .entries
            .iter()
            .position(|entry| entry.prefix_hash == Some(prefix_hash));
        if let Some(former) = position.and_then(|position| self.entries.remove(position)) {
            self.tokens -= former.tokens;
        }
        self.push(Entry {
            prefix_hash: Some(prefix_hash),
            tokens,
        });
    }

    /// Records `tokens` tokens that only one prompt contains: no later prompt uses them, but they
    /// take up capacity.
    pub fn insert_unshared(&mut self, tokens: u64) {
        match self.entries.back_mut() {
            Some(last)
                if last.prefix_hash.is_none() && last.tokens + tokens <= MAX_MERGED_TOKENS =>
            {
                last.tokens += tokens;
                self.tokens += tokens;
                self.evict();
            }
            _ => self.push(Entry {
                prefix_hash: None,
                tokens,
            }),
        }
    }

    fn push(&mut self, entry: Entry) {
        self.tokens += entry.tokens;
        self.entries.push_back(entry);
        self.evict();
    }

    fn evict(&mut self) {
        while self.tokens > self.capacity_tokens || self.entries.len() > MAX_ENTRIES {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.tokens -= oldest.tokens;
        }
    }
}

#[cfg(test)]
mod tests;
