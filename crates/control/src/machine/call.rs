//! Types shared by all kinds of pending calls: the origin of a call, the leader to which the call
//! is forwarded, and its time-out.

use crate::wire::CallId;
use std::collections::BTreeMap;

/// The time-out of a call in milliseconds. It is below the 1 s after which a caller tries another
/// machine, so that the caller receives a response first.
pub(super) const CALL_TIMEOUT_MS: u64 = 900;

/// The origin of a command or a read, which receives the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallOrigin {
    /// A client of this machine, identified by the token of its call.
    Local(u64),
    /// Another control machine that has forwarded a call to this machine.
    Peer {
        /// The internal address of the forwarding machine.
        address: String,
        /// The identity of the call at the forwarding machine.
        call: CallId,
    },
}

impl CallOrigin {
    /// Returns the token of a local call, or `None` for a forwarded call.
    pub fn token(&self) -> Option<u64> {
        match self {
            Self::Local(token) => Some(*token),
            Self::Peer { .. } => None,
        }
    }
}

/// The address of the leader in a term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LeaderAddress {
    pub address: String,
    pub term: u64,
}

/// Removes and returns the overdue calls, in ascending order of their numbers.
pub(super) fn take_overdue<T>(
    calls: &mut BTreeMap<u64, T>,
    is_overdue: impl Fn(&T) -> bool,
) -> Vec<T> {
    let (overdue, waiting): (Vec<_>, Vec<_>) = std::mem::take(calls)
        .into_iter()
        .partition(|(_, call)| is_overdue(call));
    calls.extend(waiting);
    overdue.into_iter().map(|(_, call)| call).collect()
}
