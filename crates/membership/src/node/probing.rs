//! The local member's own probes. Members are probed in turn, first directly and then through
//! relays, which also reveals the direction of a partition.

use super::Node;
use crate::member::Member;
use crate::message::{Body, ProbeOrigin};
use crate::metadata::{MemberMetadata, Name};
use crate::paths::PathState;
use crate::probe::Probe;
use crate::time::{Timestamp, nanos};
use rand::seq::SliceRandom;

/// Number of most recent probes from which the local member infers its isolation.
const MAX_RECENT_PROBES: usize = 8;
/// Minimum number of recent probes from which a member of a small fleet infers its isolation.
const MIN_RECENT_PROBES: usize = 2;
/// Number of direct pings per probe of a member whose last acknowledgement came only through a
/// relay. Several pings keep a direction that loses a third of all messages from being taken for a
/// partition.
const DOUBTFUL_PINGS: usize = 3;

impl Node {
    /// Starts the probe of the next member. Each member is probed once per round, in an order that
    /// is drawn anew for each round (SWIM, section 4.3).
    pub(super) fn start_probe(&mut self, now: Timestamp) {
        self.fail_probe(now);
        if !self.members.values().any(Member::is_present) {
            // No other member is present: either none was ever known or all of them are gone.
            if self.is_synced {
                self.request_state(now);
            }
            return;
        }
        let name = self.next_probe_target();
        let Some(member) = self.members.get(&name) else {
            return;
        };
        let (target, target_was_alive) = (member.metadata.clone(), member.is_alive());
        let is_doubtful = member.paths.is_doubtful() && !self.settings.plain_swim;
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            target: target.clone(),
            sequence,
            started_at: now,
            indirect_at: now + self.scaled_probe_timeout_ns(),
            ends_at: now + self.scaled_probe_interval_ns(),
            is_indirect: false,
            relays: 0,
            nacks: 0,
            target_was_alive,
        });
        for _ in 0..if is_doubtful { DOUBTFUL_PINGS } else { 1 } {
            self.send_ping(now, &target, sequence);
        }
    }

    /// Takes the next member of the round and starts a new round if necessary. At least one member
    /// must be present.
    fn next_probe_target(&mut self) -> Name {
        loop {
            let Some(name) = self.probe_queue.pop() else {
                let present = self.members.values().filter(|member| member.is_present());
                self.probe_queue = present.map(|member| member.metadata.name.clone()).collect();
                self.probe_queue.shuffle(&mut self.rng);
                continue;
            };
            if self.members.get(&name).is_some_and(Member::is_present) {
                return name;
            }
        }
    }

    /// Sends the current probe through relays, or ends the probe, as its timers require.
    pub(super) fn continue_probe(&mut self, now: Timestamp) {
        let Some(probe) = &self.probe else {
            return;
        };
        if now >= probe.ends_at {
            return self.fail_probe(now);
        }
        if probe.is_indirect || now < probe.indirect_at {
            return;
        }
        let (sequence, target) = (probe.sequence, probe.target.clone());
        // A second direct ping avoids suspicions, each of which would be gossiped to all members:
        // in a fleet that loses a tenth of all messages, two losses in a row are a fifth as
        // frequent as one.
        if !self.settings.plain_swim {
            self.send_ping(now, &target, sequence);
        }
        let relays = self.send_indirect_pings(now, &target, sequence);
        if let Some(probe) = &mut self.probe {
            (probe.is_indirect, probe.relays) = (true, relays);
        }
    }

    /// Ends the current probe, which was not acknowledged on any path.
    fn fail_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        // Without a nack from any relay, the local member's own connection is at fault. With a nack
        // from some relay, the silent relays may be dead too: if half of a fleet dies at once, the
        // other half must not become slow to detect the deaths.
        if probe.nacks == 0 {
            for _ in 0..probe.relays.max(1) {
                self.local_health.degrade();
            }
        }
        if probe.target_was_alive {
            self.record_probe_result(false);
        }
        let lifetime_ns = self.observation_lifetime_ns();
        let since = probe.started_at.saturating_sub(self.probe_round_ns());
        let plain_swim = self.settings.plain_swim;
        let name = &probe.target.name;
        let member = self.members.get_mut(name);
        let is_current = |member: &&mut Member| member.status.generation == probe.target.generation;
        let Some(member) = member.filter(is_current) else {
            return;
        };
        // A member that sends messages but is never reached does not receive the local member's
        // messages. In a fleet of only two zones, no relay reaches both sides of such a partition,
        // so the target's own messages must reveal it. Messages from before the last probe of the
        // target reveal nothing.
        if !plain_swim && member.paths.received_since(since) {
            member.paths.record_indirect_ack(now, probe.sequence, 0, 0);
            if member.paths.outbound(now, lifetime_ns) == PathState::Partitioned {
                return;
            }
        }
        self.suspect(now, name);
    }

    /// Ends the current probe, whose target was reached.
    fn succeed_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.local_health.improve();
        self.record_probe_result(true);
        if let Some(member) = self.members.get_mut(&probe.target.name) {
            member.last_reached_at = Some(now);
        }
    }

    fn record_probe_result(&mut self, succeeded: bool) {
        self.recent_probes.push_back(succeeded);
        if self.recent_probes.len() > MAX_RECENT_PROBES {
            self.recent_probes.pop_front();
        }
    }

    /// Number of recent probes needed before the local member may conclude that it is isolated.
    pub(super) fn min_recent_probes(&self) -> usize {
        let members = self.members.len().max(MIN_RECENT_PROBES);
        MAX_RECENT_PROBES.min(members)
    }

    /// Draws the next sequence number for a ping.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Sends a direct ping to `target`.
    pub(super) fn send_ping(&mut self, now: Timestamp, target: &MemberMetadata, sequence: u64) {
        let origin = None;
        self.send(now, target, Body::Ping { sequence, origin });
    }

    /// The probe time-out in nanoseconds, scaled by the local health multiplier.
    fn scaled_probe_timeout_ns(&self) -> u64 {
        let multiplier = u64::from(self.local_health.multiplier());
        nanos(self.settings.probe_timeout) * multiplier
    }

    /// Acknowledges a ping. A relayed ping is also acknowledged directly to its origin; if that
    /// acknowledgement arrives, only the direction from the origin to the local member is
    /// partitioned.
    pub(super) fn handle_ping(
        &mut self,
        now: Timestamp,
        from: &MemberMetadata,
        sequence: u64,
        origin: Option<ProbeOrigin>,
    ) {
        let Some(origin) = origin else {
            if let Some(member) = self.members.get_mut(&from.name) {
                let paths = &mut member.paths;
                paths.last_direct_sequence = paths.last_direct_sequence.max(sequence);
            }
            let last_direct_sequence = sequence;
            let ack = Body::Ack {
                sequence,
                last_direct_sequence,
            };
            return self.send(now, from, ack);
        };
        let member = self.members.get(&origin.metadata.name);
        let member = member.filter(|member| member.status.generation == origin.metadata.generation);
        let last_direct_sequence = member.map_or(0, |member| member.paths.last_direct_sequence);
        let ack = |sequence| Body::Ack {
            sequence,
            last_direct_sequence,
        };
        self.send(now, from, ack(sequence));
        if origin.metadata.name != self.local.name && !self.settings.plain_swim {
            self.send(now, &origin.metadata, ack(origin.sequence));
        }
    }

    /// Handles the acknowledgement of a ping of the local member's own probe or of a relayed probe.
    pub(super) fn handle_ack(
        &mut self,
        now: Timestamp,
        from: &MemberMetadata,
        sequence: u64,
        last_direct_sequence: u64,
    ) {
        if self.relay_ack(now, from, sequence, last_direct_sequence) {
            return;
        }
        let Some(probe) = &self.probe else {
            return;
        };
        let is_target =
            probe.target.name == from.name && probe.target.generation == from.generation;
        if probe.sequence != sequence || !is_target {
            return;
        }
        // An acknowledgement caused by a relay's ping only shows that the inbound direction is
        // open.
        let is_direct = !probe.is_indirect || last_direct_sequence >= sequence;
        if let Some(member) = self.members.get_mut(&from.name) {
            if !is_direct {
                let name = &from.name;
                return self.succeed_indirectly(now, name, sequence, last_direct_sequence);
            }
            member.paths.record_direct_ack(now);
        }
        self.succeed_probe(now);
    }

    /// Handles the report of a relay that reached the target of the local member's probe.
    pub(super) fn handle_relayed_ack(
        &mut self,
        now: Timestamp,
        relay: &MemberMetadata,
        sequence: u64,
        last_direct_sequence: u64,
    ) {
        let probe = self.probe.as_ref();
        let Some(probe) = probe.filter(|probe| probe.sequence == sequence) else {
            return;
        };
        let name = probe.target.name.clone();
        self.last_successful_relay = Some(relay.name.clone());
        if let Some(member) = self.members.get_mut(&relay.name) {
            member.failed_relay_at = None;
        }
        if let Some(member) = self.members.get_mut(&name) {
            member.reached_through = Some(relay.name.clone());
        }
        self.succeed_indirectly(now, &name, sequence, last_direct_sequence);
    }

    /// Ends the current probe, whose target was reached only indirectly. The target is probed again
    /// next: a single indirect acknowledgement may result from a lost message, and a wait of a
    /// whole round for the second one would delay the detection of a partition.
    fn succeed_indirectly(
        &mut self,
        now: Timestamp,
        name: &Name,
        sequence: u64,
        last_direct_sequence: u64,
    ) {
        let recent_ns = nanos(self.settings.probe_interval);
        if let Some(member) = self.members.get_mut(name) {
            let paths = &mut member.paths;
            if !paths.record_indirect_ack(now, sequence, last_direct_sequence, recent_ns) {
                self.probe_queue.push(name.clone());
            }
        }
        self.succeed_probe(now);
    }

    /// Handles the report of a relay that did not reach the target of the local member's probe.
    pub(super) fn handle_nack(&mut self, sequence: u64) {
        let probe = self.probe.as_mut();
        if let Some(probe) = probe.filter(|probe| probe.sequence == sequence) {
            probe.nacks = (probe.nacks + 1).min(probe.relays);
        }
    }
}
