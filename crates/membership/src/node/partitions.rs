//! Partitions between zones. Each member publishes the partitions of its own paths as a record, and
//! every member aggregates the records.

use super::Node;
use crate::message::encoded_size;
use crate::metadata::Name;
use crate::paths::PathState;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Key of the record that lists partitions, reserved for that purpose.
pub const PARTITIONS_KEY: &str = "cuts";
/// Priority of the record, below the urgent priorities.
const RECORD_PRIORITY: u8 = 64;
/// Minimum time in nanoseconds between two versions of the record.
const PUBLISH_INTERVAL_NS: u64 = 5_000_000_000;
/// Bytes of the record reserved for the encoded number of rows.
const ROW_COUNT_BYTES: usize = 4;

/// Partitioned paths between one member and the members of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ZonePartition {
    zone: Name,
    /// Number of members in the zone to which the outbound direction is partitioned.
    outbound: u16,
    /// Number of members in the zone from which the inbound direction is partitioned.
    inbound: u16,
}

/// Counts of the paths from the members of one zone to the members of another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathCounts {
    /// Number of ordered pairs of members.
    pub total: u64,
    /// Number of ordered pairs whose path is partitioned, by the reports of the zone that reports
    /// more of them.
    pub partitioned: u64,
}

/// Sending zone and receiving zone.
type ZonePair = (Name, Name);

/// Number of partitioned pairs between two zones, as reported by either zone.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedPartitions {
    by_senders: u64,
    by_receivers: u64,
}

impl Node {
    /// Publishes the partitions that the local member observes if they have changed.
    pub(super) fn publish_partitions(&mut self, now: Timestamp) {
        let Ok(key) = Name::new(PARTITIONS_KEY) else {
            return;
        };
        let known = self.record(&self.local.name, &key);
        let published_at = known.map(|record| record.published_at);
        if published_at.is_some_and(|at| now < at.saturating_add(PUBLISH_INTERVAL_NS)) {
            return;
        }
        let partitions = self.observed_partitions(now);
        let Ok(value) = postcard::to_allocvec(&partitions) else {
            return;
        };
        let has_changed = match known {
            Some(record) => record.value != value,
            None => !partitions.is_empty(),
        };
        if has_changed {
            let published = self.publish(now, key, RECORD_PRIORITY, value);
            debug_assert!(
                published.is_ok(),
                "the record is within the length and count limits"
            );
        }
    }

    /// One row per zone with any partition, the zones with the most partitions first, limited to
    /// the length of a record.
    fn observed_partitions(&self, now: Timestamp) -> Vec<ZonePartition> {
        let lifetime_ns = self.observation_lifetime_ns();
        let mut zones: BTreeMap<&Name, (u16, u16)> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.is_alive()) {
            if !member.paths.is_partitioned(now, lifetime_ns) {
                continue;
            }
            let partition_count = |path| u16::from(path == PathState::Partitioned);
            let (outbound, inbound) = zones.entry(&member.metadata.zone).or_default();
            let paths = &member.paths;
            *outbound = outbound.saturating_add(partition_count(paths.outbound(now, lifetime_ns)));
            *inbound = inbound.saturating_add(partition_count(paths.inbound(now, lifetime_ns)));
        }
        let rows = zones
            .into_iter()
            .map(|(zone, (outbound, inbound))| ZonePartition {
                zone: zone.clone(),
                outbound,
                inbound,
            });
        let mut rows: Vec<ZonePartition> = rows.collect();
        rows.sort_by_key(|row| Reverse(row.outbound.saturating_add(row.inbound)));
        let mut bytes_left = self
            .settings
            .max_record_bytes
            .saturating_sub(ROW_COUNT_BYTES);
        rows.retain(|row| {
            let bytes = encoded_size(row);
            let fits = bytes <= bytes_left;
            bytes_left = bytes_left.saturating_sub(bytes);
            fits
        });
        rows
    }

    /// Path counts from each zone to each other zone, by the reports of all known members. The
    /// counts are unverified: no other member checks the partitions that a member publishes.
    pub fn zone_paths(&self, now: Timestamp) -> BTreeMap<ZonePair, PathCounts> {
        let members = self.alive_by_zone();
        let reports = self.partition_reports(now);
        let mut paths = BTreeMap::new();
        for (from, senders) in &members {
            for (to, receivers) in &members {
                let total = match from == to {
                    true => senders * (senders - 1),
                    false => senders * receivers,
                };
                let pair = (from.clone(), to.clone());
                let reports = reports.get(&pair).copied().unwrap_or_default();
                let partitioned = reports.by_senders.max(reports.by_receivers).min(total);
                if total > 0 {
                    paths.insert(pair, PathCounts { total, partitioned });
                }
            }
        }
        paths
    }

    /// Number of alive members by zone, including the local member.
    fn alive_by_zone(&self) -> BTreeMap<Name, u64> {
        let mut members = BTreeMap::from([(self.local.zone.clone(), 1)]);
        for member in self.members.values().filter(|member| member.is_alive()) {
            *members.entry(member.metadata.zone.clone()).or_default() += 1;
        }
        members
    }

    /// Partitions reported by the local member and by the records of other members.
    fn partition_reports(&self, now: Timestamp) -> BTreeMap<ZonePair, ReportedPartitions> {
        let published = self
            .records()
            .filter(|(owner, key, _)| key.as_str() == PARTITIONS_KEY && **owner != self.local.name);
        let published = published.filter_map(|(owner, _, record)| {
            let member = self.members.get(owner)?;
            let rows = postcard::from_bytes::<Vec<ZonePartition>>(&record.value).ok()?;
            member.is_alive().then_some((&member.metadata.zone, rows))
        });
        let own = (&self.local.zone, self.observed_partitions(now));
        let mut reports: BTreeMap<ZonePair, ReportedPartitions> = BTreeMap::new();
        for (zone, rows) in published.chain([own]) {
            for row in rows {
                let outbound = (zone.clone(), row.zone.clone());
                let inbound = (row.zone, zone.clone());
                reports.entry(outbound).or_default().by_senders += u64::from(row.outbound);
                reports.entry(inbound).or_default().by_receivers += u64::from(row.inbound);
            }
        }
        reports
    }
}
