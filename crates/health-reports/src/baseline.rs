//! The usual rates of failed and slow calls, as a reference for the assessment of a subject.

use crate::log_odds::Symptom;

/// The usual rates of failed and slow calls at comparable subjects, from 0 to 1. Both rates are 0 if
/// too few calls are known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline {
    /// The rate of calls that fail.
    pub failure_rate: f64,
    /// The rate of calls that fail or are slow.
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
