//! The local member's own probes: each member in turn, directly first and through relays if that
//! fails, which also tells the direction of a partition.

use super::Node;
use crate::member::Member;
use crate::message::{Body, ProbeOrigin};
use crate::metadata::{MemberMetadata, Name};
use crate::paths::PathState;
use crate::probe::Probe;
use crate::time::{Timestamp, nanos};
use rand::seq::SliceRandom;

/// The last probes by which the local member finds whether it is isolated.
const MAX_RECENT_PROBES: usize = 8;
/// With few members, this many of the last probes are enough.
const MIN_RECENT_PROBES: usize = 2;
/// Direct pings of a probe whose last one was acknowledged through others only: a direction that
/// loses a third of all messages is not partitioned.
const DOUBTFUL_PINGS: usize = 3;

impl Node {
    /// Starts the probe of the next member. Each is probed once a round, in an order that is drawn
    /// anew for each round (SWIM, section 4.3).
    pub(super) fn start_probe(&mut self, now: Timestamp) {
        self.fail_probe(now);
        if !self.members.values().any(Member::is_present) {
            // It knows nobody, or nobody any more.
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
            indirect_at: now + self.scaled_probe_timeout(),
            ends_at: now + self.scaled_probe_interval(),
            is_indirect: false,
            relays: 0,
            nacks: 0,
            target_was_alive,
        });
        for _ in 0..if is_doubtful { DOUBTFUL_PINGS } else { 1 } {
            self.send_ping(now, &target, sequence);
        }
    }

    /// The next member of the round; a new round starts where one is over. Some member has to be
    /// present.
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

    /// Sends the probe in flight through relays, or ends it, where that is due.
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
        // A second direct ping: in a fleet that loses a tenth of all messages, two losses in a row
        // are a fifth as frequent as one, and each suspicion is sent to all.
        if !self.settings.plain_swim {
            self.send_ping(now, &target, sequence);
        }
        let relays = self.send_indirect_pings(now, &target, sequence);
        if let Some(probe) = &mut self.probe {
            (probe.is_indirect, probe.relays) = (true, relays);
        }
    }

    /// The probe in flight was not acknowledged by any path.
    fn fail_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        // Where no relay reports anything, the local member's own connection fails. Where one does,
        // the silent ones may be gone as well: half a fleet that dies at once must not make the
        // other half slow to find it.
        if probe.nacks == 0 {
            for _ in 0..probe.relays.max(1) {
                self.local_health.degrade();
            }
        }
        if probe.target_was_alive {
            self.record_probe(false);
        }
        let lifetime = self.observation_lifetime();
        let since = probe.started_at.saturating_sub(self.probe_round());
        let plain_swim = self.settings.plain_swim;
        let name = &probe.target.name;
        let member = self.members.get_mut(name);
        let is_current = |member: &&mut Member| member.status.generation == probe.target.generation;
        let Some(member) = member.filter(is_current) else {
            return;
        };
        // A member that sends messages and is never reached does not receive any. Between two zones
        // alone nobody else reaches both sides of such a partition, so its own messages have to show
        // it; those from before the last probe show nothing.
        if !plain_swim && member.paths.received_since(since) {
            member.paths.record_indirect_ack(now, probe.sequence, 0, 0);
            if member.paths.outbound(now, lifetime) == PathState::Partitioned {
                return;
            }
        }
        self.suspect(now, name);
    }

    /// The target of the probe in flight was reached.
    fn succeed_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.local_health.improve();
        self.record_probe(true);
        if let Some(member) = self.members.get_mut(&probe.target.name) {
            member.last_reached_at = Some(now);
        }
    }

    fn record_probe(&mut self, succeeded: bool) {
        self.recent_probes.push_back(succeeded);
        if self.recent_probes.len() > MAX_RECENT_PROBES {
            self.recent_probes.pop_front();
        }
    }

    /// Probes after which the local member may find that it is isolated.
    pub(super) fn min_recent_probes(&self) -> usize {
        let members = self.members.len().max(MIN_RECENT_PROBES);
        MAX_RECENT_PROBES.min(members)
    }

    /// The sequence number of a new ping.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Sends a direct ping.
    pub(super) fn send_ping(&mut self, now: Timestamp, target: &MemberMetadata, sequence: u64) {
        let origin = None;
        self.send(now, target, Body::Ping { sequence, origin });
    }

    /// The probe time-out, as long as the local health has it.
    fn scaled_probe_timeout(&self) -> u64 {
        let multiplier = u64::from(self.local_health.multiplier());
        nanos(self.settings.probe_timeout) * multiplier
    }

    /// Acknowledges a ping, also directly to its origin where a relay has sent it: if that arrives,
    /// only the direction to here is partitioned.
    pub(super) fn handle_ping(
        &mut self,
        now: Timestamp,
        from: &MemberMetadata,
        sequence: u64,
        origin: Option<ProbeOrigin>,
    ) {
        let Some(origin) = origin else {
            if let Some(member) = self.members.get_mut(&from.name) {
                let last = &mut member.paths.last_direct_sequence;
                *last = (*last).max(sequence);
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

    /// A ping of the local member was acknowledged: of its own probe, or of one that it relays.
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
        // What a relay's ping has set off shows that the direction from there is open, no more.
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

    /// A relay has reached the target of the local member's probe.
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

    /// The target was reached, but not directly. It is probed again next: one such acknowledgement
    /// may be a lost message, and a whole round until the second would leave a partition unnoticed
    /// for long.
    fn succeed_indirectly(
        &mut self,
        now: Timestamp,
        name: &Name,
        sequence: u64,
        last_direct_sequence: u64,
    ) {
        let recent = nanos(self.settings.probe_interval);
        if let Some(member) = self.members.get_mut(name) {
            let paths = &mut member.paths;
            if !paths.record_indirect_ack(now, sequence, last_direct_sequence, recent) {
                self.probe_queue.push(name.clone());
            }
        }
        self.succeed_probe(now);
    }

    /// A relay does not reach the target of the local member's probe either.
    pub(super) fn handle_nack(&mut self, sequence: u64) {
        let probe = self.probe.as_mut();
        if let Some(probe) = probe.filter(|probe| probe.sequence == sequence) {
            probe.nacks = (probe.nacks + 1).min(probe.relays);
        }
    }
}
