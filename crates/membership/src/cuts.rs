//! Which ways between zones are cut, as all members find it: each tells what it sees of its own ways as a fact.

use crate::card::Name;
use crate::facts::PublishError;
use crate::node::Node;
use crate::reach::PathState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The key of the fact that tells of cut ways; kept for that.
pub const PARTITIONS_KEY: &str = "cuts";
const PRIORITY: u8 = 64;
/// It changes this often at most.
const EVERY: u64 = 5_000_000_000;

/// What one member sees of the ways to and from the members of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ZonePartition {
    zone: Name,
    /// Members there to which its way is cut.
    to: u16,
    /// Members there whose way to it is cut.
    from: u16,
}

/// The ways from the members of one zone to those of another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathCounts {
    /// Ordered pairs of members.
    pub of: u64,
    /// Those whose way is cut, as the side that sees more of it tells.
    pub cut: u64,
}

impl Node {
    /// Tells the others which of its ways are cut, if that has changed.
    pub(crate) fn tell_cuts(&mut self, now: u64) {
        let Ok(key) = Name::new(PARTITIONS_KEY) else {
            return;
        };
        let told_at = self.fact(&self.me.name, &key).map(|fact| fact.said_at);
        if told_at.is_some_and(|at| now < at.saturating_add(EVERY)) {
            return;
        }
        let rows = self.rows(now);
        let Ok(bytes) = postcard::to_allocvec(&rows) else {
            return;
        };
        let was = self
            .fact(&self.me.name, &key)
            .map(|fact| fact.bytes.as_slice());
        let is_news = match was {
            Some(was) => was != bytes,
            None => !rows.is_empty(),
        };
        if is_news {
            let said: Result<(), PublishError> = self.say(now, key, PRIORITY, bytes);
            debug_assert!(said.is_ok(), "it is short, and one of this member's few");
        }
    }

    /// A row for each zone of which any way is cut, the worst first, as many as a fact holds.
    fn rows(&self, now: u64) -> Vec<ZonePartition> {
        let mut zones: BTreeMap<&Name, (u16, u16)> = BTreeMap::new();
        let holds = self.holds();
        for member in self.members.values().filter(|member| member.is_alive()) {
            let (to, from) = (member.reach.to(now, holds), member.reach.from(now, holds));
            if to == PathState::Partitioned || from == PathState::Partitioned {
                let (tos, froms) = zones.entry(&member.card.zone).or_default();
                *tos = tos.saturating_add(u16::from(to == PathState::Partitioned));
                *froms = froms.saturating_add(u16::from(from == PathState::Partitioned));
            }
        }
        let rows = zones.into_iter().map(|(zone, (to, from))| ZonePartition {
            zone: zone.clone(),
            to,
            from,
        });
        let mut rows: Vec<ZonePartition> = rows.collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.to.saturating_add(row.from)));
        let mut room = self.settings.fact_bytes.saturating_sub(4);
        rows.retain(|row| {
            let bytes = crate::message::size(row);
            let fits = bytes <= room;
            room = room.saturating_sub(bytes);
            fits
        });
        rows
    }

    /// Ways by zone and zone, from the first to the second, as all that are heard tell of them. Evidence like any
    /// other: what a member tells of its own ways is not checked by anyone.
    pub fn cuts(&self, now: u64) -> BTreeMap<(Name, Name), PathCounts> {
        let mut members: BTreeMap<Name, u64> = BTreeMap::new();
        *members.entry(self.me.zone.clone()).or_default() += 1;
        let mut zone_of: BTreeMap<&Name, &Name> = BTreeMap::from([(&self.me.name, &self.me.zone)]);
        for member in self.members.values().filter(|member| member.is_alive()) {
            *members.entry(member.card.zone.clone()).or_default() += 1;
            zone_of.insert(&member.card.name, &member.card.zone);
        }
        let mut ways: BTreeMap<(Name, Name), (u64, u64)> = BTreeMap::new();
        let own = self.rows(now);
        let told = self
            .facts()
            .filter(|(owner, key, _)| key.as_str() == PARTITIONS_KEY && **owner != self.me.name);
        let told = told.filter_map(|(owner, _, fact)| {
            Some((
                *zone_of.get(owner)?,
                postcard::from_bytes::<Vec<ZonePartition>>(&fact.bytes).ok()?,
            ))
        });
        for (zone, rows) in told.chain([(&self.me.zone, own)]) {
            for row in rows {
                ways.entry((zone.clone(), row.zone.clone())).or_default().0 += u64::from(row.to);
                ways.entry((row.zone, zone.clone())).or_default().1 += u64::from(row.from);
            }
        }
        let mut all = BTreeMap::new();
        for (from, there) in &members {
            for (to, here) in &members {
                let of = if from == to {
                    there * (there - 1)
                } else {
                    there * here
                };
                let pair = (from.clone(), to.clone());
                let (to_cut, from_cut) = ways.get(&pair).copied().unwrap_or_default();
                if of > 0 {
                    all.insert(
                        pair,
                        PathCounts {
                            of,
                            cut: to_cut.max(from_cut).min(of),
                        },
                    );
                }
            }
        }
        all
    }
}
