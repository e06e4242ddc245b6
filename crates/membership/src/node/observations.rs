//! Queries of the local member's conclusions about other members.

use super::Node;
use crate::member::Member;
use crate::metadata::Name;
use crate::paths::PathState;
use crate::status::{MemberState, MemberStatus};
use crate::time::Timestamp;
use crate::view::{Confidence, FleetSize, Observation, Verdict};

impl Node {
    /// Observations of all known members in unspecified order, including members that died or left
    /// recently.
    pub fn observations(&self, now: Timestamp) -> impl Iterator<Item = Observation<'_>> {
        let members = self.members.values();
        members.map(move |member| self.observe(member, now))
    }

    /// The verdict on one member, or `None` if the member is unknown.
    pub fn verdict(&self, name: &Name, now: Timestamp) -> Option<Verdict> {
        let member = self.members.get(name)?;
        Some(self.conclude(member, now))
    }

    /// The greatest status received for a member, or `None` if the member is unknown.
    pub fn status(&self, name: &Name) -> Option<MemberStatus> {
        self.members.get(name).map(|member| member.status)
    }

    /// The outbound and inbound path states between the local member and another one.
    pub fn path_states(&self, name: &Name, now: Timestamp) -> (PathState, PathState) {
        let member = self.members.get(name);
        member.map_or_else(Default::default, |member| self.paths_of(member, now))
    }

    /// The part of the fleet that the local member currently reaches.
    pub fn confidence(&self, now: Timestamp) -> Confidence {
        Confidence {
            own_zone: self.reached_fraction(now, true),
            other_zones: self.reached_fraction(now, false),
            is_isolated: self.is_isolated() || !self.local_health.may_suspect(now),
        }
    }

    /// Bounds on the size of the fleet, including the local member.
    pub fn fleet_size(&self) -> FleetSize {
        let alive = self.members.values().filter(|member| member.is_alive());
        FleetSize {
            min: 1 + alive.count(),
            max: self.present_count(),
        }
    }

    fn observe<'a>(&self, member: &'a Member, now: Timestamp) -> Observation<'a> {
        let suspicion = member.suspicion.iter();
        Observation {
            metadata: &member.metadata,
            verdict: self.conclude(member, now),
            since: member.since,
            last_reached_at: member.last_reached_at,
            suspected_by: suspicion
                .flat_map(|suspicion| suspicion.suspected_by())
                .collect(),
        }
    }

    fn conclude(&self, member: &Member, now: Timestamp) -> Verdict {
        let (outbound, inbound) = self.paths_of(member, now);
        let partitioned = Verdict::Partitioned { outbound, inbound };
        match member.status.state {
            MemberState::Left => Verdict::Left,
            MemberState::Dead => Verdict::Dead,
            MemberState::Alive if [outbound, inbound].contains(&PathState::Partitioned) => {
                partitioned
            }
            MemberState::Alive => Verdict::Alive,
            // The suspect still sends messages, but does not receive enough of the local member's
            // messages to refute the suspicion.
            MemberState::Suspect
                if outbound == PathState::Partitioned && member.received_since_suspected() =>
            {
                partitioned
            }
            MemberState::Suspect => match &member.suspicion {
                Some(suspicion) if now >= suspicion.expires_at() => {
                    Verdict::UnknownSince(member.since)
                }
                _ => Verdict::Suspect,
            },
        }
    }

    fn paths_of(&self, member: &Member, now: Timestamp) -> (PathState, PathState) {
        let lifetime_ns = self.observation_lifetime_ns();
        let (outbound, inbound) = (
            member.paths.outbound(now, lifetime_ns),
            member.paths.inbound(now, lifetime_ns),
        );
        (outbound, inbound)
    }

    /// Fraction of the members of the local zone, or of all other zones, that were reached within
    /// the observation lifetime; 1 if there are none.
    fn reached_fraction(&self, now: Timestamp, in_local_zone: bool) -> f64 {
        let lifetime_ns = self.observation_lifetime_ns();
        let (mut total, mut reached) = (0_u32, 0_u32);
        for member in self.members.values().filter(|member| member.is_present()) {
            if (member.metadata.zone == self.local.zone) != in_local_zone {
                continue;
            }
            let last_reached_at = member.last_reached_at;
            total += 1;
            reached +=
                u32::from(last_reached_at.is_some_and(|at| now < at.saturating_add(lifetime_ns)));
        }
        match total {
            0 => 1.0,
            _ => f64::from(reached) / f64::from(total),
        }
    }
}
