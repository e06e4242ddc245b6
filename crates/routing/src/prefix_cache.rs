//! Model of an upstream's prefix cache.
//!
//! An upstream caches the tokens that it has prefilled and evicts the least recently used entries
//! when its memory is full. Balancers cannot inspect that cache, so each balancer predicts its
//! contents by applying the known prompts to this model.

use std::collections::VecDeque;

/// Maximum number of entries, which also bounds the model of an upstream whose cache capacity is
/// unknown.
const MAX_ENTRIES: usize = 64;
/// Maximum size of an entry into which the unshared tokens of consecutive prompts are merged, in
/// tokens.
const MAX_MERGED_TOKENS: u64 = 8_192;

/// Modelled contents of one upstream's prefix cache, least recently used first.
#[derive(Clone, Debug)]
pub(crate) struct PrefixCache {
    entries: VecDeque<Entry>,
    /// Sum of the tokens of all entries.
    tokens: u64,
    /// Maximum number of cached tokens; `u64::MAX` if the capacity is unknown.
    capacity_tokens: u64,
}

/// Group of cached tokens that are evicted together.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Hash of a shared prefix, or `None` for tokens that occur in a single prompt only.
    prefix_hash: Option<u32>,
    tokens: u64,
}

impl Default for PrefixCache {
    /// Creates an empty cache of unknown capacity.
    fn default() -> Self {
        Self {
            entries: VecDeque::new(),
            tokens: 0,
            capacity_tokens: u64::MAX,
        }
    }
}

impl PrefixCache {
    /// Sets the cache capacity in tokens and evicts the least recently used entries that exceed it.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity_tokens = tokens;
        self.evict();
    }

    /// Whether the cache holds a shared prefix.
    pub fn contains(&self, prefix_hash: u32) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.prefix_hash == Some(prefix_hash))
    }

    /// Marks a shared prefix of `tokens` tokens as the most recently used entry, and adds it if it
    /// is not cached.
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

    /// Records `tokens` tokens that occur in a single prompt only. No later prompt reuses these
    /// tokens, but they take up cache capacity.
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
