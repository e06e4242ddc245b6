//! Conditions of a link. A link is one direction between two nodes.

use std::time::Duration;
use thiserror::Error;

/// Upper limit of the delay and of the jitter of a link.
pub const MAX_DELAY: Duration = Duration::from_secs(60);

/// Conditions of a link. The default is a perfect link, which delivers everything at once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// Minimum latency of the link.
    pub delay: Duration,
    /// Maximum additional latency. The added latency is uniformly distributed between zero and this
    /// value.
    pub jitter: Duration,
    /// Fraction of datagrams and stream segments that are lost, from 0 to 1. A lost segment of a
    /// stream is retransmitted, which delays the segments after it.
    pub loss: f64,
    /// Fraction of datagrams that are delivered twice, from 0 to 1.
    pub duplication: f64,
    /// Fraction of datagrams that are reordered, from 0 to 1. A reordered datagram takes the
    /// latency of the link a second time.
    pub reordering: f64,
    /// Bandwidth in bytes per second; 0 means unlimited.
    pub bytes_per_second: u64,
    /// Whether the link is partitioned. A partitioned link delivers nothing. Open streams hold
    /// written bytes until the partition ends, and new streams cannot be established.
    pub partitioned: bool,
}

/// An invalid value in [`LinkConditions`].
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ConditionsError {
    /// A fraction is outside the range from 0 to 1.
    #[error("`{field}` is {fraction}, outside the range from 0 to 1")]
    Fraction {
        /// Name of the field of [`LinkConditions`].
        field: &'static str,
        /// Value of the field.
        fraction: f64,
    },
    /// The delay or the jitter exceeds [`MAX_DELAY`]. Holds the longer of the two.
    #[error("`delay` or `jitter` is {0:?}, above the limit of {MAX_DELAY:?}")]
    Delay(Duration),
}

impl LinkConditions {
    /// Checks that all values are within their ranges.
    ///
    /// # Errors
    ///
    /// If a fraction is outside the range from 0 to 1, or a duration exceeds [`MAX_DELAY`].
    pub fn check(&self) -> Result<(), ConditionsError> {
        let fractions = [
            ("loss", self.loss),
            ("duplication", self.duplication),
            ("reordering", self.reordering),
        ];
        for (field, fraction) in fractions {
            if !(0.0..=1.0).contains(&fraction) {
                return Err(ConditionsError::Fraction { field, fraction });
            }
        }
        let longest = self.delay.max(self.jitter);
        if longest > MAX_DELAY {
            return Err(ConditionsError::Delay(longest));
        }
        Ok(())
    }

    /// Whether the link delivers everything at once, without any fault.
    pub fn is_perfect(&self) -> bool {
        *self == Self::default()
    }
}
