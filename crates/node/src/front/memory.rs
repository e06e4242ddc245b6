//! Limits on the memory that bodies occupy in a front.

use std::sync::Arc;
use woadstall_inbound::BodyBudget;

/// Request bodies, and likewise response bodies, may occupy the memory limit of the process divided by this number.
const BODY_MEMORY_DIVISOR: usize = 3;
/// Of the memory for request bodies, the bodies of streams that have begun may occupy this fraction, as a divisor. The
/// rest stays free for requests that have no response yet.
const RESUMABLE_DIVISOR: usize = 2;

/// The memory budgets of a front.
pub(super) struct MemoryBudgets {
    /// Bodies of requests, until nothing refers to them any more.
    pub request_bodies: Arc<BodyBudget>,
    /// The part of [`Self::request_bodies`] that streams which have begun keep for a resumption.
    pub resumable_streams: Arc<BodyBudget>,
    /// Bodies of responses that are received completely before they are forwarded, and data of streams that is queued
    /// for clients.
    pub response_bodies: Arc<BodyBudget>,
}

impl MemoryBudgets {
    /// Divides the memory limit of a process, in bytes.
    pub fn new(memory_bytes: usize) -> Self {
        let body_bytes = memory_bytes / BODY_MEMORY_DIVISOR;
        Self {
            request_bodies: BodyBudget::new(body_bytes),
            resumable_streams: BodyBudget::new(body_bytes / RESUMABLE_DIVISOR),
            response_bodies: BodyBudget::new(body_bytes),
        }
    }
}
