//! Faults of the packets that pass on heartbeats and registrations. A connection loses no packet while
//! it lasts, but its queue may be dropped, and a process may have a fault.

use woadstall_control::wire::Packet;

/// Probabilities of faults, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct GossipFaults {
    /// Probability that a packet is lost.
    pub loss: u8,
    /// Probability that a packet that is not lost arrives twice.
    pub duplication: u8,
}

impl GossipFaults {
    /// Number of times that a packet arrives.
    pub(crate) fn copies(self, packet: &Packet, random: &mut fastrand::Rng) -> usize {
        let is_subject = matches!(
            packet,
            Packet::Registrations { .. }
                | Packet::Renewals(_)
                | Packet::BalancerHeartbeats(_)
                | Packet::BalancerRenewals(_)
        );
        if !is_subject || self.loss == 0 && self.duplication == 0 {
            return 1;
        }
        if random.u8(..100) < self.loss {
            return 0;
        }
        1 + usize::from(random.u8(..100) < self.duplication)
    }
}
