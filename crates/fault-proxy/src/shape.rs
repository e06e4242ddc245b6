//! When bytes that go one way come out at its other end. Handed time and randomness; times are nanoseconds of one
//! clock.

use rand::{Rng, RngExt};
use std::fmt;
use std::time::Duration;

/// What a lost segment costs a stream: the least time after which TCP sends it again.
pub const SENT_AGAIN: u64 = 200_000_000;
/// What a lost handshake costs: TCP's first wait before it asks again.
pub const ASKED_AGAIN: u64 = 1_000_000_000;

/// One direction between two parties.
#[derive(Clone, Debug, PartialEq)]
pub struct Way {
    /// Time under way ...
    pub delay: Duration,
    /// ... and up to this much more, evenly.
    pub jitter: Duration,
    /// Part of the datagrams that is lost. In a stream, a lost piece comes later, with all that is behind it.
    pub loss: f64,
    /// Part of the datagrams that comes twice.
    pub doubled: f64,
    /// Part of the datagrams that is overtaken: it takes the way's time once more.
    pub overtaken: f64,
    /// Bytes a second that get through; 0 for as many as come.
    pub rate: u64,
    /// Nothing comes through. Streams keep what was written until this ends; new ones do not come up.
    pub cut: bool,
}

impl Default for Way {
    fn default() -> Self {
        let (delay, jitter) = (Duration::ZERO, Duration::ZERO);
        Self {
            delay,
            jitter,
            loss: 0.0,
            doubled: 0.0,
            overtaken: 0.0,
            rate: 0,
            cut: false,
        }
    }
}

/// What is wrong with a way; the text names the field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WayError(String);

impl fmt::Display for WayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WayError {}

impl Way {
    /// Refuses what makes no sense.
    pub fn check(&self) -> Result<(), WayError> {
        let parts = [
            ("loss", self.loss),
            ("doubled", self.doubled),
            ("overtaken", self.overtaken),
        ];
        for (name, part) in parts {
            if !(0.0..=1.0).contains(&part) {
                return Err(WayError(format!("`{name}` is {part}, not from 0 to 1")));
            }
        }
        match self.delay.max(self.jitter) > Duration::from_secs(60) {
            true => Err(WayError("`delay` or `jitter` is over 60 s".into())),
            false => Ok(()),
        }
    }

    /// Nothing is wrong with it, and it takes no time.
    pub fn is_plain(&self) -> bool {
        *self == Self::default()
    }

    fn under_way(&self, rng: &mut impl Rng) -> u64 {
        let jitter = self.jitter.as_nanos() as f64 * rng.random::<f64>();
        self.delay.as_nanos() as u64 + jitter as u64
    }

    /// When the last of so many bytes is through the way's narrowest place, which is free from `free` on.
    fn through(&self, now: u64, free: &mut u64, bytes: usize) -> u64 {
        if self.rate == 0 {
            return now;
        }
        let takes =
            (bytes as u128 * 1_000_000_000 / u128::from(self.rate)).min(u128::from(u64::MAX / 4));
        *free = (*free).max(now).saturating_add(takes as u64);
        *free
    }
}

fn hits(rng: &mut impl Rng, part: f64) -> bool {
    part > 0.0 && rng.random::<f64>() < part
}

/// One direction of a stream: what goes in comes out once, in order, and never before its time.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    free: u64,
    last: u64,
}

impl Stream {
    /// When a piece that is written now comes out.
    pub fn release(&mut self, now: u64, bytes: usize, way: &Way, rng: &mut impl Rng) -> u64 {
        let sent = way.through(now, &mut self.free, bytes);
        let again = if hits(rng, way.loss) { SENT_AGAIN } else { 0 };
        self.last = self.last.max(
            sent.saturating_add(way.under_way(rng))
                .saturating_add(again),
        );
        self.last
    }
}

/// How long a new stream takes to come up: there, and back.
pub fn handshake(there: &Way, back: &Way, rng: &mut impl Rng) -> u64 {
    let lost = hits(rng, there.loss) || hits(rng, back.loss);
    there.under_way(rng) + back.under_way(rng) + if lost { ASKED_AGAIN } else { 0 }
}

/// One direction of datagrams.
#[derive(Clone, Debug, Default)]
pub struct Datagrams {
    free: u64,
}

impl Datagrams {
    /// When a datagram that is sent now comes out: never, once or twice.
    pub fn fate(
        &mut self,
        now: u64,
        bytes: usize,
        way: &Way,
        rng: &mut impl Rng,
    ) -> [Option<u64>; 2] {
        // All draws are made for each, so that one fault does not change what another hits.
        let (lost, doubled) = (hits(rng, way.loss), hits(rng, way.doubled));
        let overtaken = hits(rng, way.overtaken);
        let (first, second) = (way.under_way(rng), way.under_way(rng));
        if way.cut || lost {
            return [None, None];
        }
        let sent = way.through(now, &mut self.free, bytes);
        // What is overtaken takes its time once more, and a millisecond where there is none to take.
        let late = if overtaken { second.max(1_000_000) } else { 0 };
        [
            Some(sent + first + late),
            doubled.then_some(sent + first.max(second)),
        ]
    }
}
