//! The promises of the service as checks of a recorded history, each named after the users' rule
//! for it.

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

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A lock has two holders.
    #[error("ONE: {0}")]
    One(#[from] OneViolation),
    /// Numbers, revisions or events do not rise.
    #[error("ORDER: {0}")]
    Order(#[from] OrderViolation),
    /// A read is older than what was acknowledged.
    #[error("STALE: {0}")]
    Stale(#[from] StaleViolation),
    /// A value shows up where nobody put it.
    #[error("MIXED: {0}")]
    Mixed(#[from] MixedViolation),
    /// A value shows up although its put was rejected.
    #[error("REFUSED: {0}")]
    Refused(#[from] RefusedViolation),
    /// Something acknowledged is gone, or an answer fails to come.
    #[error("LOST: {0}")]
    Lost(#[from] LostViolation),
    /// Two machines have come to different states.
    #[error(transparent)]
    StateDivergence(#[from] StateDivergence),
}

/// Checks all promises.
///
/// # Errors
///
/// The first broken promise that is found.
pub fn check(history: &History) -> Result<(), Violation> {
    one::check(history)?;
    order::check(history)?;
    stale::check(history)?;
    mixed::check(history)?;
    refused::check(history)?;
    lost::check(history)?;
    Ok(())
}
