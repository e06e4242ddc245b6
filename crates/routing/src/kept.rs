//! What an upstream keeps of prompts, as far as balancers can tell. Its memory holds what it has read; where that is full,
//! what was used least recently gives way.

use std::collections::VecDeque;

/// Entries at most, also where the upstream's memory is not known.
const MOST_ENTRIES: usize = 64;
/// Tokens up to which parts that nobody else shares are counted together.
const OWN_PARTS: u64 = 8_192;

/// Prompts in an upstream's memory, the least recently used first.
#[derive(Clone, Debug)]
pub(crate) struct KeptPrompts {
    entries: VecDeque<Entry>,
    tokens: u64,
    /// Tokens that fit into the memory.
    capacity: u64,
}

/// A part of prompts.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// The hash of a beginning that prompts share; none for parts that only one prompt has.
    beginning: Option<u32>,
    tokens: u64,
}

impl Default for KeptPrompts {
    fn default() -> Self {
        Self {
            entries: VecDeque::new(),
            tokens: 0,
            capacity: u64::MAX,
        }
    }
}

impl KeptPrompts {
    /// The memory holds so many tokens.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
        self.make_room();
    }

    /// Whether a beginning is kept.
    pub fn has(&self, beginning: u32) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.beginning == Some(beginning))
    }

    /// A beginning is used, and read if it is not kept.
    pub fn note_beginning(&mut self, beginning: u32, tokens: u64) {
        if let Some(position) = self
            .entries
            .iter()
            .position(|entry| entry.beginning == Some(beginning))
            && let Some(former) = self.entries.remove(position)
        {
            self.tokens -= former.tokens;
        }
        self.push(Entry {
            beginning: Some(beginning),
            tokens,
        });
    }

    /// Parts are read that only one prompt has.
    pub fn note_own(&mut self, tokens: u64) {
        match self.entries.back_mut() {
            Some(last) if last.beginning.is_none() && last.tokens + tokens <= OWN_PARTS => {
                last.tokens += tokens;
                self.tokens += tokens;
                self.make_room();
            }
            _ => self.push(Entry {
                beginning: None,
                tokens,
            }),
        }
    }

    fn push(&mut self, entry: Entry) {
        self.tokens += entry.tokens;
        self.entries.push_back(entry);
        self.make_room();
    }

    fn make_room(&mut self) {
        while self.tokens > self.capacity || self.entries.len() > MOST_ENTRIES {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.tokens -= oldest.tokens;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/kept.rs"]
mod tests;
