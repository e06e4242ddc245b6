//! Indirect probes: choice of relays for the local member's probes, and relaying of other members'
//! probes.

use super::Node;
use crate::member::Member;
use crate::message::{Body, ProbeOrigin};
use crate::metadata::{MemberMetadata, Name};
use crate::probe::RelayedProbe;
use crate::time::{Timestamp, nanos};

/// Maximum number of probes that are relayed at the same time.
const MAX_RELAYED_PROBES: usize = 64;

/// Zone of a relay relative to the two ends of a probe.
#[derive(Clone, Copy)]
enum RelayZone {
    Target,
    Local,
    Third,
}

impl RelayZone {
    fn contains(
        self,
        relay: &MemberMetadata,
        local: &MemberMetadata,
        target: &MemberMetadata,
    ) -> bool {
        match self {
            Self::Target => relay.zone == target.zone,
            Self::Local => relay.zone == local.zone,
            Self::Third => relay.zone != local.zone && relay.zone != target.zone,
        }
    }
}

/// Zones of the first relays. One relay of each kind of zone is chosen before any second one, so
/// that a partition between two zones is not probed only through relays behind the same partition.
const USUAL_ZONES: [RelayZone; 3] = [RelayZone::Target, RelayZone::Third, RelayZone::Local];
/// Zones of the first relays if the direct path is doubtful: a partition would also affect relays
/// in the target's zone and in the local zone.
const DOUBTFUL_ZONES: [RelayZone; 3] = [RelayZone::Third; 3];

impl Node {
    /// Asks members to relay a probe and returns their number.
    pub(super) fn send_indirect_pings(
        &mut self,
        now: Timestamp,
        target: &MemberMetadata,
        sequence: u64,
    ) -> usize {
        let relays = self.choose_relays(now, target);
        for relay in &relays {
            let body = Body::IndirectPing {
                sequence,
                target: target.clone(),
            };
            self.send_about(now, relay, body, Some(&target.name));
        }
        relays.len()
    }

    /// Chooses the members that are asked to relay a probe. The relay that last reached the target,
    /// or else any target, comes first: if only one member reaches both halves of a fleet, a random
    /// choice would rarely find it. Relays of several zones follow, then any other relays.
    fn choose_relays(&mut self, now: Timestamp, target: &MemberMetadata) -> Vec<MemberMetadata> {
        let (max_relays, plain_swim) = (self.settings.indirect_probes, self.settings.plain_swim);
        let known_target = self.members.get(&target.name);
        let is_doubtful = known_target.is_some_and(|member| {
            !plain_swim && (self.is_partitioned(member, now) || member.paths.is_doubtful())
        });
        let preferred = known_target.and_then(|member| member.reached_through.clone());
        let preferred = preferred.or_else(|| self.last_successful_relay.clone());
        let preferred = preferred.filter(|_| !plain_swim && max_relays > 0);
        let zones = match is_doubtful {
            true => DOUBTFUL_ZONES,
            false => USUAL_ZONES,
        };
        let mut candidates = self.relay_candidates(now, &target.name);
        let mut chosen = Vec::new();
        if let Some(name) = preferred {
            chosen.extend(take_first(&mut candidates, |relay| relay.name == name));
        }
        for zone in zones {
            if chosen.len() < max_relays {
                let is_in_zone = |relay: &_| zone.contains(relay, &self.local, target);
                chosen.extend(take_first(&mut candidates, is_in_zone));
            }
        }
        let missing = max_relays.saturating_sub(chosen.len());
        chosen.extend(candidates.into_iter().take(missing));
        for relay in &chosen {
            if let Some(member) = self.members.get_mut(&relay.name) {
                member.failed_relay_at = Some(now);
            }
        }
        chosen
    }

    /// Members that may relay a probe. Members that sent messages recently come first, since the
    /// others may be behind the same partition. Within each group, members asked earlier without
    /// success come last, the most recent request at the end, so that a working relay is found
    /// within a few requests. Ties are in random order.
    fn relay_candidates(&mut self, now: Timestamp, target: &Name) -> Vec<MemberMetadata> {
        let (lifetime_ns, plain_swim) = (self.observation_lifetime_ns(), self.settings.plain_swim);
        let mut candidates = self.random_members(usize::MAX, |member| {
            let is_partitioned = !plain_swim && member.paths.is_partitioned(now, lifetime_ns);
            member.is_alive() && member.metadata.name != *target && !is_partitioned
        });
        if !plain_swim {
            let since = now.saturating_sub(self.probe_round_ns());
            candidates.sort_by_key(|candidate| {
                let member = self.members.get(&candidate.name);
                member.map(|member| {
                    let was_received = member.paths.received_since(since);
                    (!was_received, member.failed_relay_at)
                })
            });
        }
        candidates
    }

    fn is_partitioned(&self, member: &Member, now: Timestamp) -> bool {
        member
            .paths
            .is_partitioned(now, self.observation_lifetime_ns())
    }

    /// Relays a probe of another member, unless too many probes are being relayed.
    pub(super) fn handle_indirect_ping(
        &mut self,
        now: Timestamp,
        origin: MemberMetadata,
        origin_sequence: u64,
        target: MemberMetadata,
    ) {
        let is_full = self.relayed_probes.len() >= MAX_RELAYED_PROBES;
        if target.name == self.local.name || is_full {
            return;
        }
        let sequence = self.next_sequence();
        self.relayed_probes.push(RelayedProbe {
            origin: origin.clone(),
            origin_sequence,
            target: target.name.clone(),
            sequence,
            ends_at: now + nanos(self.settings.probe_timeout),
        });
        let origin = Some(ProbeOrigin {
            metadata: origin,
            sequence: origin_sequence,
        });
        self.send(now, &target, Body::Ping { sequence, origin });
    }

    /// Reports an acknowledgement to the origin of a relayed probe. Returns whether the
    /// acknowledged ping belonged to a relayed probe.
    pub(super) fn relay_ack(
        &mut self,
        now: Timestamp,
        from: &MemberMetadata,
        sequence: u64,
        last_direct_sequence: u64,
    ) -> bool {
        let mut relayed = self.relayed_probes.iter();
        let index =
            relayed.position(|probe| probe.sequence == sequence && probe.target == from.name);
        let Some(index) = index else {
            return false;
        };
        let relayed = self.relayed_probes.swap_remove(index);
        let body = Body::RelayedAck {
            sequence: relayed.origin_sequence,
            last_direct_sequence,
        };
        self.send_about(now, &relayed.origin, body, Some(&relayed.target));
        true
    }

    /// Sends a nack to the origin of each relayed probe whose target has not answered in time.
    pub(super) fn end_relayed_probes(&mut self, now: Timestamp) {
        let relayed = std::mem::take(&mut self.relayed_probes);
        let (unanswered, in_flight): (Vec<RelayedProbe>, Vec<RelayedProbe>) =
            relayed.into_iter().partition(|probe| now >= probe.ends_at);
        self.relayed_probes = in_flight;
        for probe in unanswered {
            let sequence = probe.origin_sequence;
            self.send(now, &probe.origin, Body::Nack { sequence });
        }
    }
}

/// Takes the first candidate that satisfies `fits` and moves the last candidate into its place.
fn take_first(
    candidates: &mut Vec<MemberMetadata>,
    fits: impl Fn(&MemberMetadata) -> bool,
) -> Option<MemberMetadata> {
    let index = candidates.iter().position(fits)?;
    Some(candidates.swap_remove(index))
}
