//! The rates of failed and slow calls that are usual, to compare a subject with.

use crate::log_odds::Symptom;

/// The rates that are usual elsewhere, from 0 to 1; 0 where they are not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline {
    /// Of calls that fail.
    pub failure_rate: f64,
    /// Of calls that fail or are slow.
    pub degraded_rate: f64,
}

impl Baseline {
    pub(crate) fn rate(&self, symptom: Symptom) -> f64 {
        match symptom {
            Symptom::Failing => self.failure_rate,
            Symptom::Slow => self.degraded_rate,
        }
    }
}
