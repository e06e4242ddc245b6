//! What calls of all kinds have in common: who waits, whom they are forwarded to, and how long they
//! may take.

use crate::wire::CallId;
use std::collections::BTreeMap;

/// The time in milliseconds after which a call gets a response in any case: a caller goes to
/// another machine after a second.
pub(super) const CALL_TIMEOUT_MS: u64 = 900;

/// Who waits for a command or a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallOrigin {
    /// A caller of this machine, by its token.
    Local(u64),
    /// Another machine that has forwarded a call.
    Peer {
        /// Its internal address.
        address: String,
        /// Its call.
        call: CallId,
    },
}

impl CallOrigin {
    /// The token of a caller of this machine.
    pub fn token(&self) -> Option<u64> {
        match self {
            Self::Local(token) => Some(*token),
            Self::Peer { .. } => None,
        }
    }
}

/// The leader of a term, as other machines reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LeaderAddress {
    /// The leader's internal address.
    pub address: String,
    /// The term that it leads.
    pub term: u64,
}

/// Removes the calls whose time is over and returns them, the oldest first.
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
