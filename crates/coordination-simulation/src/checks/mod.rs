//! Checks of a recorded history against the guarantees of the service. Each check has the name of
//! the rule that users know: ONE, ORDER, STALE, MIXED, REFUSED or LOST.

mod lost;
mod mixed;
mod observed_puts;
mod one;
mod order;
mod refused;
mod stale;

pub use lost::LostViolation;
pub use mixed::MixedViolation;
pub use one::OneViolation;
pub use order::OrderViolation;
pub use refused::RefusedViolation;
pub use stale::StaleViolation;

use crate::cluster::StateDivergence;
use crate::history::History;
use thiserror::Error;

/// A violated guarantee of the service.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A lock had two owners at a time, or a fencing token that did not increase.
    #[error("ONE: {0}")]
    One(#[from] OneViolation),
    /// Sequence numbers, revisions or events of a watch were repeated, skipped or out of order.
    #[error("ORDER: {0}")]
    Order(#[from] OrderViolation),
    /// A read returned a state older than a write that was acknowledged before the read.
    #[error("STALE: {0}")]
    Stale(#[from] StaleViolation),
    /// A value or a revision was reported for a key that it does not belong to.
    #[error("MIXED: {0}")]
    Mixed(#[from] MixedViolation),
    /// A value was observed although its put was rejected.
    #[error("REFUSED: {0}")]
    Refused(#[from] RefusedViolation),
    /// Acknowledged data is gone, or a request of the final phase was not answered.
    #[error("LOST: {0}")]
    Lost(#[from] LostViolation),
    /// Two machines had different states at the same log position.
    #[error(transparent)]
    StateDivergence(#[from] StateDivergence),
}

/// Checks a history against all rules.
///
/// # Errors
///
/// Returns the first violation, in the order ONE, ORDER, STALE, MIXED, REFUSED, LOST.
pub fn check(history: &History) -> Result<(), Violation> {
    one::check(history)?;
    order::check(history)?;
    stale::check(history)?;
    mixed::check(history)?;
    refused::check(history)?;
    lost::check(history)?;
    Ok(())
}
