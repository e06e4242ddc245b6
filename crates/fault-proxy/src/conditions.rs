//! What is wrong with a link: one direction between two nodes.

use std::time::Duration;
use thiserror::Error;

/// The longest delay and the largest jitter that a link may have.
pub const MAX_DELAY: Duration = Duration::from_secs(60);

/// The conditions of a link. By default it is perfect: everything is delivered at once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// The least latency.
    pub delay: Duration,
    /// The most that is added to the delay, drawn uniformly.
    pub jitter: Duration,
    /// The fraction of datagrams that is lost, from 0 to 1. In a stream, a lost segment is
    /// retransmitted, which delays all behind it.
    pub loss: f64,
    /// The fraction of datagrams that is delivered twice, from 0 to 1.
    pub duplication: f64,
    /// The fraction of datagrams that is reordered, from 0 to 1: they take the link's latency once
    /// more.
    pub reordering: f64,
    /// The bandwidth in bytes per second; 0 for no limit.
    pub bytes_per_second: u64,
    /// Whether the link is partitioned: nothing is delivered. Streams keep what was written until
    /// the partition ends, and new ones do not come up.
    pub partitioned: bool,
}

/// Conditions that no link can have.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ConditionsError {
    /// A fraction is not from 0 to 1.
    #[error("`{field}` is {fraction}, not from 0 to 1")]
    Fraction {
        /// The field of [`LinkConditions`].
        field: &'static str,
        /// Its value.
        fraction: f64,
    },
    /// The delay or the jitter is longer than [`MAX_DELAY`].
    #[error("`delay` or `jitter` is {0:?}, over {MAX_DELAY:?}")]
    Delay(Duration),
}

impl LinkConditions {
    /// Checks that a link can have these conditions.
    ///
    /// # Errors
    ///
    /// If a fraction is not from 0 to 1, or a duration is longer than [`MAX_DELAY`].
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

    /// Whether everything is delivered at once.
    pub fn is_perfect(&self) -> bool {
        *self == Self::default()
    }
}
