//! Events that a machine writes to the process log. Each line consists of the event's name and
//! `key=value` fields.

use crate::command::{Call, Command, Query};
use std::fmt;
use woadstall_consensus::{Member, Membership, ReplicaId, Term};

/// An event for the process log. The `Display` form is a single line.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// This machine has become the leader of the coordination group.
    LeaderElected {
        /// The term of the leadership.
        term: Term,
        /// The replica of this machine.
        id: ReplicaId,
    },
    /// This machine has stopped leading.
    LeadershipEnded {
        /// The term of the leadership.
        term: Term,
        /// The replica of this machine.
        id: ReplicaId,
    },
    /// A change of the group's membership has started or is complete.
    MembersChanged {
        /// The log index of the membership entry.
        index: u64,
        /// The membership that takes effect with the entry.
        membership: Membership,
    },
    /// A lease has expired. Only the leader logs this event.
    LeaseExpired {
        /// The log index of the batch in which the lease expired.
        index: u64,
        /// The name of the lock.
        lock: String,
    },
    /// A call took longer than clients expect.
    CallSlow {
        /// The kind of the call and the name of its object.
        call: CallSummary,
        /// The time from submission to response, in milliseconds.
        elapsed_ms: u64,
        /// The internal address of the leader to which the call is assigned. Empty if the call is
        /// assigned to no leader.
        leader: String,
        /// `executed`, `not_executed`, `overloaded` or `unknown`.
        result: &'static str,
    },
    /// The state in a snapshot can't be decoded.
    SnapshotRejected {
        /// The log index of the snapshot.
        index: u64,
        /// The decoding error.
        error: String,
    },
    /// The batch in a log entry can't be decoded.
    EntryRejected {
        /// The log index of the entry.
        index: u64,
        /// The decoding error.
        error: String,
    },
}

/// The kind of a call and the name of its object, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSummary {
    /// The operation, such as `acquire_lock`.
    pub kind: &'static str,
    /// The name of the lock, sequence, key or group.
    pub name: String,
}

impl From<&Call> for CallSummary {
    fn from(call: &Call) -> Self {
        let (kind, name) = match call {
            Call::Command(Command::AcquireLock { lock, .. }) => ("acquire_lock", lock),
            Call::Command(Command::RenewLock { lock, .. }) => ("renew_lock", lock),
            Call::Command(Command::ReleaseLock { lock, .. }) => ("release_lock", lock),
            Call::Command(Command::NextNumber { sequence }) => ("next_number", sequence),
            Call::Command(Command::Put { key, .. }) => ("put", key),
            Call::Query(Query::Get { key }) => ("get", key),
            Call::Query(Query::GroupRevision { group }) => ("group_revision", group),
        };
        Self {
            kind,
            name: name.clone(),
        }
    }
}

impl fmt::Display for CallSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "kind={} name={:?}", self.kind, self.name)
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaderElected { term, id } => {
                write!(f, "coordination_leader_elected term={term} id={id:x}")
            }
            Self::LeadershipEnded { term, id } => {
                write!(f, "coordination_leadership_ended term={term} id={id:x}")
            }
            Self::MembersChanged { index, membership } => {
                let voters = addresses(&membership.voters);
                let next = addresses(&membership.next_voters);
                write!(
                    f,
                    "coordination_members_changed index={index} voters={voters} next={next}"
                )
            }
            Self::LeaseExpired { index, lock } => {
                write!(f, "lease_expired index={index} lock={lock:?}")
            }
            Self::CallSlow {
                call,
                elapsed_ms,
                leader,
                result,
            } => write!(
                f,
                "call_slow {call} elapsed_ms={elapsed_ms} leader={leader} result={result}"
            ),
            Self::SnapshotRejected { index, error } => {
                write!(
                    f,
                    "coordination_snapshot_rejected index={index} error={error}"
                )
            }
            Self::EntryRejected { index, error } => {
                write!(f, "coordination_entry_rejected index={index} error={error}")
            }
        }
    }
}

fn addresses(members: &[Member]) -> String {
    let addresses: Vec<&str> = members.iter().map(|member| &*member.address).collect();
    addresses.join(",")
}
