//! What a balancer has found of places, for those who were not there: few bytes, read with care.

use crate::packed;
use crate::standing::{Phase, PlaceState};
use serde::{Deserialize, Serialize};
use std::fmt;
use woadstall_health_reports::Subject;

/// Form of the bytes: raised when what they mean changes.
const FORM: u8 = 1;
const MOST: usize = 32;

/// One place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceDecision {
    /// Which.
    pub subject: Subject,
    /// Its epoch.
    pub epoch: u32,
    /// Its state.
    pub state: Phase,
    /// Its share, in hundredths.
    share: u8,
}

/// Bytes that are no decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceDecisionError;

impl fmt::Display for PlaceDecisionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no decisions of a form that is known here")
    }
}

impl std::error::Error for PlaceDecisionError {}

impl PlaceDecision {
    /// Of a place as it stands.
    pub fn new(subject: Subject, standing: &PlaceState) -> Self {
        let share = (standing.share.clamp(0.0, 1.0) * 100.0).round() as u8;
        Self {
            subject,
            epoch: standing.epoch,
            state: standing.state,
            share,
        }
    }

    /// Its share.
    pub fn share(&self) -> f64 {
        f64::from(self.share.min(100)) / 100.0
    }

    /// All as bytes: as many as fit.
    pub fn write(all: &[Self], most: usize) -> Vec<u8> {
        packed::write(FORM, all.iter().take(MOST), most)
    }

    /// All from bytes.
    pub fn read(bytes: &[u8]) -> Result<Vec<Self>, PlaceDecisionError> {
        packed::read(FORM, bytes, MOST).ok_or(PlaceDecisionError)
    }
}
