//! Pauses of the local process: what it holds against others after one may be its own doing.

use super::Node;
use crate::event::Event;
use crate::time::Timestamp;
use std::time::Duration;

/// Probe intervals after a pause in which nobody is suspected: others have to be heard first.
const QUIET_INTERVALS: u32 = 4;

impl Node {
    /// The local process did not run for `pause` nanoseconds until now.
    pub(super) fn resume_after_pause(&mut self, now: Timestamp, pause: u64) {
        self.emit(Event::ProcessPaused(Duration::from_nanos(pause)));
        if self.settings.plain_swim {
            return;
        }
        let quiet = self.settings.probe_interval * QUIET_INTERVALS;
        self.local_health.record_pause(now, quiet);
        self.probe = None;
        self.relayed_probes.clear();
        self.recent_probes.clear();
        for name in &self.suspected {
            let member = self.members.get_mut(name);
            if let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) {
                suspicion.extend(pause);
            }
        }
        // It refutes what may be said of it before anybody asks, and asks before it suspects.
        if self.incarnation < u32::MAX - 1 {
            self.incarnation += 1;
        }
        self.gossip_own_status();
        self.request_state(now);
    }
}
