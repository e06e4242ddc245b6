//! Clients, which behave as the users' applications do.

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

/// How long a client waits before it calls another machine after a failure, in milliseconds.
const RETRY_MS: u64 = 60;

/// A client.
pub trait Client {
    /// Its timer has ended.
    fn on_timer(&mut self, context: &mut ClientContext<'_>);

    /// An operation is answered, or its time is over.
    fn on_answer(
        &mut self,
        context: &mut ClientContext<'_>,
        operation: OperationId,
        answer: &Answer,
    );
}
