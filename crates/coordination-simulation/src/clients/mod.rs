//! Clients, which behave as the users' applications do.

mod final_caller;
mod key_caller;
mod lock_caller;
mod number_caller;
mod watcher;

pub use final_caller::{FinalCaller, FinalGoal};
pub use key_caller::KeyCaller;
pub use lock_caller::{HoldStyle, LockCaller};
pub use number_caller::NumberCaller;
pub use watcher::{SavedRevision, SavedRevisions, Watcher};

use crate::cluster::ClientContext;
use crate::history::{Answer, OperationId};

/// How long a client waits before it calls another machine after a failure, in milliseconds.
const RETRY_MS: u64 = 60;

/// A client.
pub trait Client {
    /// Its timer has ended.
    fn on_wake(&mut self, context: &mut ClientContext<'_>);

    /// An operation is answered, or its time is over.
    fn on_answer(
        &mut self,
        context: &mut ClientContext<'_>,
        operation: OperationId,
        answer: &Answer,
    );
}
