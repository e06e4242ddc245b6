//! What a balancer has decided about domains, published for members that were absent.

use crate::domain_state::{DomainState, Phase};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use woadstall_health_reports::Subject;
use woadstall_health_reports::packed_list::{self, PackedListError};

/// The version of the format: raised when the meaning of the bytes changes.
const VERSION: u8 = 1;
/// The most decisions in one fact.
const MAX_DECISIONS: usize = 32;
/// Shares are written in hundredths.
const UNITS_PER_SHARE: f64 = 100.0;

/// A balancer's decision about one domain. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainDecision {
    /// The domain.
    pub subject: Subject,
    /// Its epoch.
    pub epoch: u32,
    /// Its phase.
    pub phase: Phase,
    /// Its share, in hundredths.
    share: u8,
}

/// The bytes are no domain decisions.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("cannot decode domain decisions")]
pub struct DomainDecisionError(#[from] PackedListError);

impl DomainDecision {
    /// The decision that a domain is in a state.
    pub fn new(subject: Subject, state: &DomainState) -> Self {
        let share = (state.share.clamp(0.0, 1.0) * UNITS_PER_SHARE).round() as u8;
        Self {
            subject,
            epoch: state.epoch,
            phase: state.phase,
            share,
        }
    }

    /// The share of its usual new work that the domain gets, from 0 to 1.
    pub fn share(&self) -> f64 {
        f64::from(self.share.min(UNITS_PER_SHARE as u8)) / UNITS_PER_SHARE
    }

    /// Encodes the decisions that fit into `max_bytes`, in their order.
    pub fn encode(decisions: &[Self], max_bytes: usize) -> Vec<u8> {
        packed_list::encode(VERSION, decisions.iter().take(MAX_DECISIONS), max_bytes)
    }

    /// Decodes a list of decisions.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no list of this version.
    pub fn decode(bytes: &[u8]) -> Result<Vec<Self>, DomainDecisionError> {
        Ok(packed_list::decode(VERSION, bytes, MAX_DECISIONS)?)
    }
}
