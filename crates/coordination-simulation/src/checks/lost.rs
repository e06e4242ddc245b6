//! Watches resume within the history, and at the end each call is answered. That what was
//! acknowledged is still there is checked with ONE, ORDER and STALE, which cover the final calls.

use crate::cluster::HISTORY_MS;
use crate::history::{FinalCall, History, LaggingWatch};
use thiserror::Error;
use woadstall_coordination::machine::Response;

/// How something is lost.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LostViolation {
    /// A watch can't resume from a revision that was received not long ago.
    #[error("group {group}: no history after revision {after}, received {age_ms} ms before")]
    HistoryTooShort {
        /// The group.
        group: String,
        /// The revision.
        after: u64,
        /// How long ago it was received, in milliseconds.
        age_ms: u64,
    },
    /// A watch that resumes at the end shows less than was acknowledged.
    #[error("a watch was answered up to {}, not {}: {request}", lagging_watch.revision, lagging_watch.acknowledged)]
    WatchLags {
        /// What was asked.
        request: String,
        /// How far it lags.
        lagging_watch: LaggingWatch,
    },
    /// A call at the end was not answered.
    #[error("no answer at the end: {request}")]
    NoAnswer {
        /// What was asked.
        request: String,
    },
}

/// Checks the watches and the final calls of a history.
///
/// # Errors
///
/// The first violation that is found.
pub fn check(history: &History) -> Result<(), LostViolation> {
    for operation in &history.operations {
        let (Some((watch, received_ms)), Some(Response::HistoryCompacted), Some(completion)) = (
            operation.watch(),
            operation.response(),
            &operation.completion,
        ) else {
            continue;
        };
        let age_ms = completion.at.at_ms - received_ms;
        if age_ms < HISTORY_MS {
            return Err(LostViolation::HistoryTooShort {
                group: watch.group.clone(),
                after: watch.after,
                age_ms,
            });
        }
    }
    history.final_calls.iter().try_for_each(check_final_call)
}

fn check_final_call(call: &FinalCall) -> Result<(), LostViolation> {
    let request = call.request.clone();
    if call.answered_ms.is_none() {
        return Err(LostViolation::NoAnswer { request });
    }
    match call.lagging_watch {
        Some(lagging_watch) => Err(LostViolation::WatchLags {
            request,
            lagging_watch,
        }),
        None => Ok(()),
    }
}
