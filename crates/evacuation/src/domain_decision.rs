//! The wire format in which a balancer publishes its decisions about domains, so that a member that
//! was absent can adopt them.

use crate::domain_state::{DomainState, Phase};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use woadstall_health_reports::Subject;
use woadstall_health_reports::packed_list::{self, PackedListError};

/// The version of the wire format. It is raised when the meaning of the bytes changes.
const VERSION: u8 = 1;
/// The maximum number of decisions in one published record.
const MAX_DECISIONS: usize = 32;
/// The share in a decision is encoded in hundredths.
const UNITS_PER_SHARE: f64 = 100.0;

/// A balancer's decision about one domain. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainDecision {
    /// The domain that the decision is about.
    pub subject: Subject,
    /// The epoch of the domain's state, see [`DomainState::epoch`].
    pub epoch: u32,
    /// The phase of the domain.
    pub phase: Phase,
    /// The domain's share of its usual new work, in hundredths.
    share: u8,
}

/// The bytes are not an encoded list of domain decisions.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("cannot decode domain decisions")]
pub struct DomainDecisionError(#[from] PackedListError);

impl DomainDecision {
    /// Creates the decision that describes a domain's state.
    pub fn new(subject: Subject, state: &DomainState) -> Self {
        let share = (state.share.clamp(0.0, 1.0) * UNITS_PER_SHARE).round() as u8;
        Self {
            subject,
            epoch: state.epoch,
            phase: state.phase,
            share,
        }
    }

    /// Returns the share of its usual new work that the domain gets, from 0 to 1. A larger encoded
    /// value counts as 1.
    pub fn share(&self) -> f64 {
        f64::from(self.share.min(UNITS_PER_SHARE as u8)) / UNITS_PER_SHARE
    }

    /// Encodes the leading decisions that fit into `max_bytes`, in the given order.
    pub fn encode(decisions: &[Self], max_bytes: usize) -> Vec<u8> {
        packed_list::encode(VERSION, decisions.iter().take(MAX_DECISIONS), max_bytes)
    }

    /// Decodes a list of decisions.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are empty, of another version, or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Vec<Self>, DomainDecisionError> {
        Ok(packed_list::decode(VERSION, bytes, MAX_DECISIONS)?)
    }
}
