//! Helpers for groups of tasks.

use crate::error::ClusterError;
use tokio::task::JoinSet;

/// Waits for all tasks. The first error aborts the remaining tasks and is returned.
///
/// # Errors
///
/// The error of the first task that failed, or [`ClusterError::Task`] if a task panicked.
pub async fn join_all(mut tasks: JoinSet<Result<(), ClusterError>>) -> Result<(), ClusterError> {
    while let Some(ended) = tasks.join_next().await {
        ended??;
    }
    Ok(())
}
