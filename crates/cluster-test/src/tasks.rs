//! Waiting for groups of tasks.

use crate::error::ClusterError;
use tokio::task::JoinSet;

/// Waits for all tasks, and returns early with the first error; the others are aborted then.
///
/// # Errors
///
/// The error of the task that failed first, or [`ClusterError::Task`] where it panicked.
pub async fn join_all(mut tasks: JoinSet<Result<(), ClusterError>>) -> Result<(), ClusterError> {
    while let Some(ended) = tasks.join_next().await {
        ended??;
    }
    Ok(())
}
