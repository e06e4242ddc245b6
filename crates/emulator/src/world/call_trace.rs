//! Texts in the trace of a single call, which `explain` prints.
//!
//! The texts of results and outcomes are written out here, since they are part of a run's result and must not
//! follow the names of the engine's types.

use woadstall_engine::{CallResult, Outcome};

/// Text of a balancer's result, with the retry-after advice in nanoseconds.
pub(super) fn result_text(result: &CallResult<()>) -> String {
    match result {
        CallResult::Served(()) => "Served(())".to_owned(),
        CallResult::Rejected(retry_after) => format!("Refused({retry_after})"),
        CallResult::Failed => "Failed".to_owned(),
    }
}

/// Text of an attempt's outcome.
pub(super) fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "Ok",
        Outcome::Error => "Error",
        Outcome::Declined => "Declined",
        Outcome::Full => "Full",
        Outcome::Timeout => "Timeout",
        Outcome::ConnectFailed => "ConnectFailed",
        Outcome::Reset => "Reset",
        Outcome::Cancelled => "Cancelled",
        Outcome::Moot => "Moot",
    }
}
