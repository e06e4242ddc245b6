//! Failure detection of upstreams: the owner of a shard marks upstreams as timed out when their
//! heartbeats stop.

use super::{ControlMachine, LogEvent};
use crate::feed::FeedEvent;
use crate::shards::{MONITOR_COUNT, replica_group, shard_of};
use crate::wire::Packet;

/// The number of consecutive heartbeats that an upstream must miss to be timed out.
const MISSED_HEARTBEATS: u64 = 3;
/// The allowance in milliseconds that the time-out includes for heartbeats that fail at one machine
/// and are sent again to the next one.
const FAILOVER_ALLOWANCE_MS: u64 = 1_500;

impl ControlMachine {
    /// Returns the time in milliseconds without a heartbeat after which an upstream is timed out.
    pub(super) fn upstream_timeout_ms(&self) -> u64 {
        self.settings.heartbeat_ms * MISSED_HEARTBEATS + FAILOVER_ALLOWANCE_MS
    }

    /// Marks overdue upstreams in the shards owned by this machine as timed out. A machine that has
    /// been in contact with a quorum for less than the time-out waits, because it may have missed
    /// heartbeats itself.
    pub(super) fn time_out_upstreams(&mut self) {
        let timeout_ms = self.upstream_timeout_ms();
        let quorum_since_ms = self.leadership.quorum_since_ms;
        if quorum_since_ms.is_none_or(|since| self.now_ms < since + timeout_ms) {
            return;
        }
        let machines: Vec<String> = self
            .machines()
            .into_iter()
            .map(|machine| machine.member.address)
            .collect();
        let own_address = self.settings.machine.member.address.clone();
        let owns = |service: &str| {
            let addresses = machines.iter().map(String::as_str);
            let group = replica_group(shard_of(service), addresses, MONITOR_COUNT);
            group.first().is_some_and(|owner| *owner == own_address)
        };
        for upstream in self.registry.time_out(self.now_ms, timeout_ms, owns) {
            self.log(LogEvent::UpstreamTimedOut {
                registration: upstream.clone(),
                timeout_ms,
            });
            self.publish(FeedEvent::Registered(upstream.clone()));
            let call = self.next_call();
            self.broadcast(&Packet::Registrations {
                call,
                registrations: vec![upstream],
            });
        }
    }
}
