//! Clients that behave like users' applications.

mod final_client;
mod key_client;
mod lock_client;
mod sequence_client;
mod watch_client;

pub use final_client::{FinalClient, FinalGoal};
pub use key_client::KeyClient;
pub use lock_client::{LeaseUsage, LockClient};
pub use sequence_client::SequenceClient;
pub use watch_client::{SavedRevision, SavedRevisions, WatchClient};

use crate::cluster::ClientContext;
use crate::history::{Answer, OperationId};

/// Delay between a failed call and its retry, usually on another machine, in milliseconds.
const RETRY_MS: u64 = 60;

/// A client, driven by timers and answers.
pub trait Client {
    /// Called when the client's timer expires.
    fn on_timer(&mut self, context: &mut ClientContext<'_>);

    /// Called when an operation is answered or times out.
    fn on_answer(
        &mut self,
        context: &mut ClientContext<'_>,
        operation: OperationId,
        answer: &Answer,
    );
}
