//! LOST: watches can resume from any recent revision, and every request of the final phase is
//! answered. The checks of ONE, ORDER and STALE find lost acknowledged writes, because they cover
//! the requests of the final phase too.

use crate::cluster::HISTORY_MS;
use crate::history::{FinalCall, History, LaggingWatch};
use thiserror::Error;
use woadstall_coordination::machine::Response;

/// A violation of the rule LOST.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LostViolation {
    /// A watch could not resume from a revision that its client received less than [`HISTORY_MS`]
    /// before.
    #[error(
        "group {group}: history after revision {after} was compacted; the client received that \
         revision {age_ms} ms before"
    )]
    HistoryTooShort {
        /// Group of keys that was watched.
        group: String,
        /// Revision after which the watch was to start.
        after: u64,
        /// Time between the receipt of the revision and the answer, in milliseconds.
        age_ms: u64,
    },
    /// A watch of the final phase was answered without the events of puts that had been
    /// acknowledged.
    #[error(
        "watch ended at revision {}, but revision {} was acknowledged: {request}",
        lagging_watch.revision,
        lagging_watch.acknowledged
    )]
    WatchLags {
        /// The request as text.
        request: String,
        /// The revisions of the answer and of the acknowledgement.
        lagging_watch: LaggingWatch,
    },
    /// A request of the final phase was not answered.
    #[error("request of the final phase was not answered: {request}")]
    NoAnswer {
        /// The request as text.
        request: String,
    },
}

/// Checks the watches and the requests of the final phase.
///
/// # Errors
///
/// Returns the first violation in the history.
pub fn check(history: &History) -> Result<(), LostViolation> {
    for operation in &history.operations {
        let (Some((watch, received_ms)), Some(Response::HistoryCompacted), Some(completion)) = (
            operation.watch(),
            operation.response(),
            &operation.completion,
        ) else {
            continue;
        };
        let age_ms = completion.completed_at.time_ms - received_ms;
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
