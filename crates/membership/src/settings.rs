//! How often, how long, how much.

use std::fmt;
use std::time::Duration;

/// See the fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// A member is probed each time this is over.
    pub period: Duration,
    /// A probe that is not answered by then is asked of others.
    pub patience: Duration,
    /// So many others.
    pub helpers: usize,
    /// A member that nobody hears is suspected for at least this long, times the logarithm of the fleet's size over
    /// ten. Longer than the pauses that members are to bear.
    pub suspicion: Duration,
    /// A member whose host says that no such process is there is suspected for this long.
    pub refused: Duration,
    /// A suspicion lasts so many times longer where nobody else suspects it.
    pub unconfirmed: f64,
    /// So many others halve, and halve again, what is left.
    pub confirmations: usize,
    /// A member whose own turn comes later than this has stood still.
    pub stall: Duration,
    /// Bytes of a datagram at most.
    pub datagram: usize,
    /// News goes out this many times the logarithm of the fleet's size.
    pub spread: f64,
    /// The dead and those that left are remembered for this long.
    pub remembered: Duration,
    /// Whole states are compared with another member each time this is over.
    pub compare: Duration,
    /// Members at most: what more is told of is counted and dropped.
    pub members: usize,
    /// Facts at most, of all owners together.
    pub facts: usize,
    /// Facts of one owner at most.
    pub facts_each: usize,
    /// Bytes of a fact at most.
    pub fact_bytes: usize,
    /// Bytes a second that may go out for facts.
    pub fact_rate: u32,
    /// Facts go this long after their owner did.
    pub fact_outlives: Duration,
    /// SWIM as it was published, to compare with: no local health, suspicions of one length, no directions, and nothing
    /// that holds judgement back.
    pub plain: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            patience: Duration::from_millis(200),
            helpers: 3,
            suspicion: Duration::from_secs(6),
            refused: Duration::from_secs(1),
            unconfirmed: 2.0,
            confirmations: 3,
            stall: Duration::from_millis(1_000),
            datagram: 1_200,
            spread: 4.0,
            remembered: Duration::from_secs(600),
            compare: Duration::from_secs(10),
            members: 4_096,
            facts: 4_096,
            facts_each: 64,
            fact_bytes: 256,
            fact_rate: 1_024,
            fact_outlives: Duration::from_secs(30),
            plain: false,
        }
    }
}

/// The field that is at fault, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Refuses what cannot work.
    pub fn check(&self) -> Result<(), SettingsError> {
        let wrong = |text: &str| Err(SettingsError(text.to_owned()));
        if self.period < Duration::from_millis(10) || self.period > Duration::from_secs(60) {
            return wrong("`period` is not from 10 ms to 60 s");
        }
        if self.patience.is_zero() || self.patience * 2 > self.period {
            return wrong(
                "`patience` is zero, or over half of `period`: a probe has to be over before the next",
            );
        }
        if self.suspicion < self.period {
            return wrong("`suspicion` is shorter than `period`: nobody could contradict it");
        }
        if self.refused > self.suspicion {
            return wrong("`refused` is longer than `suspicion`");
        }
        if self.stall < self.period {
            return wrong("`stall` is shorter than `period`: each turn would look late");
        }
        if !(1.0..=100.0).contains(&self.unconfirmed) || !(1.0..=100.0).contains(&self.spread) {
            return wrong("`unconfirmed` or `spread` is not from 1 to 100");
        }
        if !(512..=65_000).contains(&self.datagram) {
            return wrong("`datagram` is not from 512 to 65,000 bytes");
        }
        if self.fact_bytes > self.datagram / 2 {
            return wrong("`fact-bytes` is over half of `datagram`");
        }
        match (2..=100_000).contains(&self.members) && self.helpers <= 16 {
            true => Ok(()),
            false => wrong("`members` is not from 2 to 100,000, or `helpers` over 16"),
        }
    }
}
