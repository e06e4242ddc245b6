//! Handling of pauses of the local process. After a pause, missing messages may be the fault of the
//! local member rather than of others.

use super::Node;
use crate::event::Event;
use crate::time::Timestamp;
use std::time::Duration;

/// Number of probe intervals after a pause in which no member is suspected, so that messages of
/// other members are processed first.
const QUIET_INTERVALS: u32 = 4;

impl Node {
    /// Resumes after the local process did not run for `pause_ns` nanoseconds until `now`.
    pub(super) fn resume_after_pause(&mut self, now: Timestamp, pause_ns: u64) {
        self.emit(Event::ProcessPaused(Duration::from_nanos(pause_ns)));
        if self.settings.plain_swim {
            return;
        }
        let quiet_period = self.settings.probe_interval * QUIET_INTERVALS;
        self.local_health.record_pause(now, quiet_period);
        self.probe = None;
        self.relayed_probes.clear();
        self.recent_probes.clear();
        for name in &self.suspected {
            let member = self.members.get_mut(name);
            if let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) {
                suspicion.extend(pause_ns);
            }
        }
        // The local member refutes possible suspicions in advance and requests the current state
        // before it suspects any member.
        if self.incarnation < u32::MAX - 1 {
            self.incarnation += 1;
        }
        self.gossip_own_status();
        self.request_state(now);
    }
}
