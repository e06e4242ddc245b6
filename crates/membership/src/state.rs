//! Whole states compared: what news has missed is found by sums over parts of what each holds, and sent.

use crate::card::{MemberMetadata, Name};
use crate::claim::MemberState;
use crate::member::Member;
use crate::message::{Body, MOST, MemberUpdate, SHARDS, size};
use crate::node::Node;
use rand::seq::SliceRandom;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Bytes of a message that carries parts: well under the most.
const PAGE: usize = MOST / 2;

/// Parts that are sent after one comparison.
const AT_ONCE: usize = 8;

fn hash(of: impl Hash) -> u64 {
    // With keys that do not change: all members have to find the same.
    let mut hasher = SipHasher13::new();
    of.hash(&mut hasher);
    hasher.finish()
}

fn part_of(name: &Name) -> u8 {
    (hash(name.as_str()) % SHARDS as u64) as u8
}

impl Node {
    /// A sum over all claims and facts of each part. The order in which they came does not matter.
    fn sums(&self) -> Vec<u64> {
        let mut sums = vec![0_u64; SHARDS];
        let mut add = |name: &Name, of: u64| {
            let sum = &mut sums[usize::from(part_of(name))];
            *sum = sum.wrapping_add(of);
        };
        let own = self.own_news();
        add(&own.card.name, hash((own.card.name.as_str(), own.claim)));
        for (name, member) in &self.members {
            add(name, hash((name.as_str(), member.claim)));
        }
        for (owner, key, fact) in self.facts.iter() {
            add(
                owner,
                hash((owner.as_str(), key.as_str(), fact.life, fact.counter)),
            );
        }
        sums
    }

    /// Compares all with one other member; now and then with one that is held for dead, so that halves that have
    /// given each other up find each other again.
    pub(crate) fn compare_with_one(&mut self, now: u64) {
        let dead = rand::RngExt::random_range(&mut self.rng, 0..4) == 0;
        let mut to = match dead {
            true => self.some(1, |member| !member.is_alive()),
            false => self.some_that_hear(now, 1),
        };
        if to.is_empty() {
            to = self.some(1, |member| member.claim.said != MemberState::Left);
        }
        let Some(to) = to.pop() else { return };
        let body = Body::ShardDigests(self.sums());
        let message = self.message(Some(&to), body);
        self.push(to.at, &message, true);
    }

    /// Another one's sums have come.
    pub(crate) fn compared(&mut self, now: u64, from: &MemberMetadata, sums: &[u64]) {
        let own = self.sums();
        let differ = |part: &u8| own.get(usize::from(*part)) != sums.get(usize::from(*part));
        let mut parts: Vec<u8> = (0..SHARDS as u8).filter(differ).collect();
        // A few at a time: where much has changed, the news of it is under way anyhow.
        let (some, _) = parts.partial_shuffle(&mut self.rng, AT_ONCE);
        if !some.is_empty() {
            let some = some.to_vec();
            self.send_parts(now, from, |part| some.contains(&part), true);
        }
    }

    /// Sends all that it holds in some parts, in as many messages as that takes.
    pub(crate) fn send_parts(
        &mut self,
        now: u64,
        to: &MemberMetadata,
        wanted: impl Fn(u8) -> bool,
        again: bool,
    ) {
        let mut parts: BTreeMap<u8, Vec<MemberUpdate>> = (0..SHARDS as u8)
            .filter(|part| wanted(*part))
            .map(|part| (part, Vec::new()))
            .collect();
        let own = self.own_news();
        let members = self.members.values().map(Member::news);
        for news in std::iter::once(own).chain(members) {
            if let Some(part) = parts.get_mut(&part_of(&news.card.name)) {
                part.push(news);
            }
        }
        let mut message = self.message(
            Some(to),
            Body::ShardState {
                parts: Vec::new(),
                again,
            },
        );
        let empty = size(&message) + SHARDS;
        let mut room = PAGE.saturating_sub(empty);
        let mut pages = Vec::new();
        for (part, news) in parts {
            let facts = self.facts.all_of(now, |owner| part_of(owner) == part);
            let bytes =
                news.iter().map(size).sum::<usize>() + facts.iter().map(size).sum::<usize>();
            if bytes > room && room < PAGE - empty {
                let next = self.message(
                    Some(to),
                    Body::ShardState {
                        parts: Vec::new(),
                        again,
                    },
                );
                pages.push(std::mem::replace(&mut message, next));
                room = PAGE - empty;
            }
            if let Body::ShardState { parts, .. } = &mut message.body {
                parts.push(part);
            }
            // A part that is larger than a page goes as far as it fits; the rest comes by news.
            for news in news {
                let bytes = size(&news);
                if bytes <= room {
                    room -= bytes;
                    message.news.push(news);
                }
            }
            for fact in facts {
                let bytes = size(&fact);
                if bytes <= room {
                    room -= bytes;
                    message.facts.push(fact);
                }
            }
        }
        pages.push(message);
        pages.iter().for_each(|page| self.push(to.at, page, true));
    }
}
