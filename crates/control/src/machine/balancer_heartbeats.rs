//! Heartbeats that balancers send to this machine as one of their monitors.

use super::ControlMachine;
use crate::balancers::{BalancerHeartbeat, BalancerRenewal};
use crate::merge::MergeOutcome;
use crate::shards::short_hash;

impl ControlMachine {
    /// Handles a balancer's heartbeat, and queues it for gossip to the other machines unless it is
    /// stale.
    pub fn receive_heartbeat(&mut self, now_ms: u64, heartbeat: BalancerHeartbeat) {
        self.advance_clock(now_ms);
        let name = heartbeat.name.clone();
        let outcome = self.balancers.merge(self.now_ms, heartbeat.clone());
        if outcome == MergeOutcome::Stale {
            return;
        }
        let is_refresh = self.balancers.take_refresh(self.now_ms, &name);
        if is_refresh || outcome == MergeOutcome::Changed {
            self.gossip.heartbeats.insert(name, heartbeat);
        } else {
            let renewal = BalancerRenewal {
                name: short_hash(&name),
                incarnation: heartbeat.incarnation,
                sequence: heartbeat.sequence,
            };
            self.gossip.balancer_renewals.insert(name, renewal);
        }
    }
}
