//! What a control machine writes to the log: an event's name, then `key=value` fields.

use crate::command::CommandOutcome;
use crate::registry::Registration;
use std::fmt;
use woadstall_consensus::{Member, Membership, ReplicaId};

/// An event of the log. Displayed, it is one line.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// No leader with a quorum is heard of any more.
    QuorumLost {
        /// The current term.
        term: u64,
    },
    /// This machine has become the leader.
    LeaderElected {
        /// The term that it leads.
        term: u64,
        /// Its replica.
        id: ReplicaId,
    },
    /// This machine is no longer the leader.
    LeadershipEnded {
        /// The current term.
        term: u64,
        /// Its replica.
        id: ReplicaId,
    },
    /// The membership of the replica group has begun to change, or the change is complete.
    MembersChanged {
        /// The position of the entry.
        index: u64,
        /// The membership from then on.
        membership: Membership,
    },
    /// A command was applied to the state.
    CommandApplied {
        /// Its position in the log.
        index: u64,
        /// Its outcome.
        outcome: CommandOutcome,
        /// The version of the configuration that is in force then.
        generation: u64,
    },
    /// A snapshot of the log holds a state that can't be decoded.
    SnapshotRejected {
        /// The position of the snapshot.
        index: u64,
        /// Why the state can't be decoded.
        error: String,
    },
    /// An entry of the log holds a command that can't be decoded.
    EntryRejected {
        /// The position of the entry.
        index: u64,
        /// Why the command can't be decoded.
        error: String,
    },
    /// An upstream has sent this machine a registration with changes, or leaves.
    RegistrationChanged(Registration),
    /// This machine owns the shard of an upstream whose heartbeats have stopped.
    UpstreamTimedOut {
        /// The upstream's registration.
        registration: Registration,
        /// How long no heartbeat has come at least, in milliseconds.
        timeout_ms: u64,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::QuorumLost { term } => write!(f, "quorum_lost term={term}"),
            Self::LeaderElected { term, id } => write!(f, "leader_elected term={term} id={id:x}"),
            Self::LeadershipEnded { term, id } => {
                write!(f, "leadership_ended term={term} id={id:x}")
            }
            Self::MembersChanged { index, membership } => {
                let voters = addresses(&membership.voters);
                let next = addresses(&membership.next_voters);
                write!(
                    f,
                    "members_changed index={index} voters={voters} next={next}"
                )
            }
            Self::CommandApplied {
                index,
                outcome,
                generation,
            } => write!(
                f,
                "command_applied index={index} outcome={outcome:?} generation={generation}"
            ),
            Self::SnapshotRejected { index, error } => {
                write!(f, "snapshot_rejected index={index} error={error}")
            }
            Self::EntryRejected { index, error } => {
                write!(f, "entry_rejected index={index} error={error}")
            }
            Self::RegistrationChanged(registration) => write!(
                f,
                "registration_changed upstream={} service={} status={} slow_start_ms={} sequence={}",
                registration.id,
                registration.service,
                registration.status,
                registration.slow_start_remaining_ms,
                registration.sequence
            ),
            Self::UpstreamTimedOut {
                registration,
                timeout_ms,
            } => write!(
                f,
                "upstream_timed_out upstream={} service={} timeout_ms={timeout_ms}",
                registration.id, registration.service
            ),
        }
    }
}

fn addresses(members: &[Member]) -> String {
    let addresses: Vec<&str> = members.iter().map(|member| &*member.address).collect();
    addresses.join(",")
}
