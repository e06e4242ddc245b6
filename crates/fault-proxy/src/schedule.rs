//! Computation of delivery times on a link. Callers pass the current time, in nanoseconds of a
//! single clock, and the random number generator.

use crate::conditions::LinkConditions;
use rand::{Rng, RngExt};

/// Additional delay of a lost stream segment, in nanoseconds: the minimum TCP retransmission
/// time-out on Linux.
pub const RETRANSMISSION_NS: u64 = 200_000_000;
/// Additional delay of a lost handshake, in nanoseconds: the initial TCP retransmission time-out
/// (RFC 6298).
pub const HANDSHAKE_RETRANSMISSION_NS: u64 = 1_000_000_000;
/// Minimum additional delay of a reordered datagram, in nanoseconds.
const MIN_REORDERING_NS: u64 = 1_000_000;
const NANOS_PER_SECOND: u128 = 1_000_000_000;
/// Upper limit of the transmission time, in nanoseconds. It keeps sums of times from overflowing.
const MAX_TRANSMISSION_NS: u128 = (u64::MAX / 4) as u128;

impl LinkConditions {
    fn draw_latency_ns(&self, rng: &mut impl Rng) -> u64 {
        let jitter = self.jitter.as_nanos() as f64 * rng.random::<f64>();
        self.delay.as_nanos() as u64 + jitter as u64
    }
}

/// Draws whether an event of this probability occurs.
fn draw_event(rng: &mut impl Rng, probability: f64) -> bool {
    probability > 0.0 && rng.random::<f64>() < probability
}

/// Transmitter of a link, which sends bytes sequentially at the bandwidth of the link.
#[derive(Clone, Debug, Default)]
struct Transmitter {
    /// Time at which all bytes queued so far will have been sent.
    idle_at_ns: u64,
}

impl Transmitter {
    /// Queues `bytes` bytes and returns the time at which the last byte will have been sent.
    fn transmit(&mut self, now_ns: u64, bytes: usize, bytes_per_second: u64) -> u64 {
        if bytes_per_second == 0 {
            return now_ns;
        }
        let duration_ns = bytes as u128 * NANOS_PER_SECOND / u128::from(bytes_per_second);
        let duration_ns = duration_ns.min(MAX_TRANSMISSION_NS) as u64;
        self.idle_at_ns = self.idle_at_ns.max(now_ns).saturating_add(duration_ns);
        self.idle_at_ns
    }
}

/// Delivery schedule of one direction of a stream. Bytes are delivered exactly once and in order.
#[derive(Clone, Debug, Default)]
pub struct StreamSchedule {
    transmitter: Transmitter,
    last_delivery_ns: u64,
}

impl StreamSchedule {
    /// Returns the delivery time of a segment of `bytes` bytes that is written at `now_ns`.
    pub fn delivery_time_ns(
        &mut self,
        now_ns: u64,
        bytes: usize,
        conditions: &LinkConditions,
        rng: &mut impl Rng,
    ) -> u64 {
        let sent_ns = self
            .transmitter
            .transmit(now_ns, bytes, conditions.bytes_per_second);
        let is_lost = draw_event(rng, conditions.loss);
        let retransmission_ns = if is_lost { RETRANSMISSION_NS } else { 0 };
        let delivery_ns = sent_ns
            .saturating_add(conditions.draw_latency_ns(rng))
            .saturating_add(retransmission_ns);
        self.last_delivery_ns = self.last_delivery_ns.max(delivery_ns);
        self.last_delivery_ns
    }
}

/// The time that a TCP handshake takes, in nanoseconds. `outbound` is the link from the client to
/// the server, `inbound` the link from the server to the client.
pub fn handshake_ns(
    outbound: &LinkConditions,
    inbound: &LinkConditions,
    rng: &mut impl Rng,
) -> u64 {
    let is_lost = draw_event(rng, outbound.loss) || draw_event(rng, inbound.loss);
    let retransmission_ns = if is_lost {
        HANDSHAKE_RETRANSMISSION_NS
    } else {
        0
    };
    outbound.draw_latency_ns(rng) + inbound.draw_latency_ns(rng) + retransmission_ns
}

/// Delivery schedule of one direction of datagram traffic.
#[derive(Clone, Debug, Default)]
pub struct DatagramSchedule {
    transmitter: Transmitter,
}

impl DatagramSchedule {
    /// Returns the delivery times of a datagram of `bytes` bytes that is sent at `now_ns`. A lost
    /// datagram has no delivery time, a duplicated one has two.
    pub fn delivery_times_ns(
        &mut self,
        now_ns: u64,
        bytes: usize,
        conditions: &LinkConditions,
        rng: &mut impl Rng,
    ) -> [Option<u64>; 2] {
        // All random draws are made for every datagram, even for a lost one, so that the outcome of
        // one fault does not change which datagrams another fault affects.
        let is_lost = draw_event(rng, conditions.loss);
        let is_duplicated = draw_event(rng, conditions.duplication);
        let is_reordered = draw_event(rng, conditions.reordering);
        let first_latency_ns = conditions.draw_latency_ns(rng);
        let second_latency_ns = conditions.draw_latency_ns(rng);
        if conditions.partitioned || is_lost {
            return [None, None];
        }
        let sent_ns = self
            .transmitter
            .transmit(now_ns, bytes, conditions.bytes_per_second);
        let reordering_ns = if is_reordered {
            second_latency_ns.max(MIN_REORDERING_NS)
        } else {
            0
        };
        let duplicate_ns = sent_ns + first_latency_ns.max(second_latency_ns);
        [
            Some(sent_ns + first_latency_ns + reordering_ns),
            is_duplicated.then_some(duplicate_ns),
        ]
    }
}
