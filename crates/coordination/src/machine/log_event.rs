//! What a machine writes to the log: an event's name, then `key=value` fields.

use crate::command::{Call, Command, Query};
use std::fmt;
use woadstall_consensus::{Member, Membership, ReplicaId, Term};

/// An event of the log. Displayed, it is one line.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// This machine has become the leader of the coordination group.
    LeaderElected {
        /// The term that it leads.
        term: Term,
        /// Its replica.
        id: ReplicaId,
    },
    /// This machine no longer leads.
    LeadershipEnded {
        /// The term that it led.
        term: Term,
        /// Its replica.
        id: ReplicaId,
    },
    /// The membership of the group has begun to change, or the change is complete.
    MembersChanged {
        /// The position of the entry.
        index: u64,
        /// The membership from then on.
        membership: Membership,
    },
    /// A lease has run out; logged by the leader.
    LeaseExpired {
        /// The position of the batch.
        index: u64,
        /// The lock.
        lock: String,
    },
    /// A call took longer than callers expect.
    CallSlow {
        /// What it was about.
        call: CallSummary,
        /// How long it took, in milliseconds.
        elapsed_ms: u64,
        /// The leader that had it last; empty if none had.
        leader: String,
        /// How it ended.
        result: &'static str,
    },
    /// A snapshot of the log holds a state that can't be decoded.
    SnapshotRejected {
        /// The position of the snapshot.
        index: u64,
        /// Why the state can't be decoded.
        error: String,
    },
    /// An entry of the log holds a batch that can't be decoded.
    EntryRejected {
        /// The position of the entry.
        index: u64,
        /// Why the batch can't be decoded.
        error: String,
    },
}

/// What a call is about, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSummary {
    /// The kind of call.
    pub kind: &'static str,
    /// The lock, sequence, key or group.
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
