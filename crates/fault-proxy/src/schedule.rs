//! When bytes that enter a link are delivered at its other end. It is given the time, in
//! nanoseconds of one clock, and the source of randomness.

use crate::conditions::LinkConditions;
use rand::{Rng, RngExt};

/// What a lost segment costs a stream, in nanoseconds: TCP's least retransmission time-out on
/// Linux.
pub const RETRANSMISSION_NS: u64 = 200_000_000;
/// What a lost handshake costs, in nanoseconds: TCP's initial retransmission time-out (RFC 6298).
pub const HANDSHAKE_RETRANSMISSION_NS: u64 = 1_000_000_000;
/// The least delay of a reordered datagram, in nanoseconds.
const MIN_REORDERING_NS: u64 = 1_000_000;
/// Nanoseconds in a second.
const SECOND_NS: u128 = 1_000_000_000;
/// The longest transmission time, in nanoseconds, so that sums of times do not overflow.
const MAX_TRANSMISSION_NS: u128 = (u64::MAX / 4) as u128;

impl LinkConditions {
    fn draw_latency_ns(&self, rng: &mut impl Rng) -> u64 {
        let jitter = self.jitter.as_nanos() as f64 * rng.random::<f64>();
        self.delay.as_nanos() as u64 + jitter as u64
    }
}

fn draw(rng: &mut impl Rng, share: f64) -> bool {
    share > 0.0 && rng.random::<f64>() < share
}

/// The transmitter of a link, which sends one byte after the other.
#[derive(Clone, Debug, Default)]
struct Transmitter {
    /// When it has sent all bytes so far.
    idle_at_ns: u64,
}

impl Transmitter {
    /// When the last of so many bytes is sent.
    fn transmit(&mut self, now_ns: u64, bytes: usize, bytes_per_second: u64) -> u64 {
        if bytes_per_second == 0 {
            return now_ns;
        }
        let duration_ns = bytes as u128 * SECOND_NS / u128::from(bytes_per_second);
        let duration_ns = duration_ns.min(MAX_TRANSMISSION_NS) as u64;
        self.idle_at_ns = self.idle_at_ns.max(now_ns).saturating_add(duration_ns);
        self.idle_at_ns
    }
}

/// One direction of a stream: bytes are delivered once and in order.
#[derive(Clone, Debug, Default)]
pub struct StreamSchedule {
    transmitter: Transmitter,
    last_delivery_ns: u64,
}

impl StreamSchedule {
    /// When a segment of so many bytes that is written now is delivered.
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
        let is_lost = draw(rng, conditions.loss);
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
    let is_lost = draw(rng, outbound.loss) || draw(rng, inbound.loss);
    let retransmission_ns = if is_lost {
        HANDSHAKE_RETRANSMISSION_NS
    } else {
        0
    };
    outbound.draw_latency_ns(rng) + inbound.draw_latency_ns(rng) + retransmission_ns
}

/// One direction of datagrams.
#[derive(Clone, Debug, Default)]
pub struct DatagramSchedule {
    transmitter: Transmitter,
}

impl DatagramSchedule {
    /// When a datagram of so many bytes that is sent now is delivered: never, once, or twice.
    pub fn delivery_times_ns(
        &mut self,
        now_ns: u64,
        bytes: usize,
        conditions: &LinkConditions,
        rng: &mut impl Rng,
    ) -> [Option<u64>; 2] {
        // All draws are made for each datagram, so that one fault does not change which ones
        // another fault affects.
        let is_lost = draw(rng, conditions.loss);
        let is_duplicated = draw(rng, conditions.duplication);
        let is_reordered = draw(rng, conditions.reordering);
        let first_ns = conditions.draw_latency_ns(rng);
        let second_ns = conditions.draw_latency_ns(rng);
        if conditions.partitioned || is_lost {
            return [None, None];
        }
        let sent_ns = self
            .transmitter
            .transmit(now_ns, bytes, conditions.bytes_per_second);
        let reordering_ns = if is_reordered {
            second_ns.max(MIN_REORDERING_NS)
        } else {
            0
        };
        let duplicate_ns = sent_ns + first_ns.max(second_ns);
        [
            Some(sent_ns + first_ns + reordering_ns),
            is_duplicated.then_some(duplicate_ns),
        ]
    }
}
