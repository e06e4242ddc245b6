//! Log events of a control machine. Each is written as an event name followed by `key=value`
//! fields.

use crate::command::CommandOutcome;
use crate::registry::Registration;
use std::fmt;
use woadstall_consensus::{Member, Membership, ReplicaId};

/// A log event. Its `Display` form is a single line.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The machine has lost contact with a leader that has a quorum.
    QuorumLost {
        /// The current term.
        term: u64,
    },
    /// This machine has become the leader of the replica group.
    LeaderElected {
        /// The term in which this machine is the leader.
        term: u64,
        /// The identity of this machine's replica.
        id: ReplicaId,
    },
    /// This machine has lost the leadership of the replica group.
    LeadershipEnded {
        /// The current term.
        term: u64,
        /// The identity of this machine's replica.
        id: ReplicaId,
    },
    /// A membership change of the replica group has started or completed.
    MembersChanged {
        /// The log index of the entry.
        index: u64,
        /// The membership in force from this entry on.
        membership: Membership,
    },
    /// A committed command was applied to the state.
    CommandApplied {
        /// The log index of the command.
        index: u64,
        /// The outcome of the command.
        outcome: CommandOutcome,
        /// The generation of the configuration in force after the command.
        generation: u64,
    },
    /// The state in a snapshot of the log could not be decoded.
    SnapshotRejected {
        /// The log index of the last entry that the snapshot covers.
        index: u64,
        /// The decoding error of the state.
        error: String,
    },
    /// The command in a log entry could not be decoded.
    EntryRejected {
        /// The log index of the entry.
        index: u64,
        /// The decoding error of the command.
        error: String,
    },
    /// This machine has received a changed registration, a drain notice or a deregistration from an
    /// upstream.
    RegistrationChanged(Registration),
    /// Another machine has received a heartbeat of an upstream that had timed out here.
    UpstreamRestored(Registration),
    /// An upstream in a shard owned by this machine has stopped sending heartbeats.
    UpstreamTimedOut {
        /// The registration of the upstream.
        registration: Registration,
        /// The time-out in milliseconds that has passed without a heartbeat.
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
            Self::UpstreamRestored(registration) => write!(
                f,
                "upstream_restored upstream={} service={} sequence={}",
                registration.id, registration.service, registration.sequence
            ),
        }
    }
}

fn addresses(members: &[Member]) -> String {
    let addresses: Vec<&str> = members.iter().map(|member| &*member.address).collect();
    addresses.join(",")
}
