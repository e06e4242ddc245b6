//! Builders of replicas, entries and messages for the tests of single replicas.

use woadstall_consensus::{
    AppendEntriesRequest, AppendEntriesResponse, DurableState, Entry, EntryPayload, LogPosition,
    Member, Membership, Message, MessageBody, Output, Record, Replica, ReplicaId, Settings,
    Snapshot, Timing, VoteRequest, VoteResponse,
};

/// The settings of the control plane.
pub const SETTINGS: Settings = Settings {
    timing: Timing {
        heartbeat_interval: 150,
        election_timeout_min: 900,
        election_timeout_max: 1_500,
    },
    min_voters: 3,
};

/// The term of the leader that [`leader`] returns.
const LEADER_TERM: u64 = 6;

pub fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Command(vec![index as u8]),
    }
}

pub fn members(ids: impl IntoIterator<Item = ReplicaId>) -> Vec<Member> {
    ids.into_iter()
        .map(|id| Member {
            id,
            address: format!("machine-{id}"),
        })
        .collect()
}

/// Creates the initial snapshot of a group whose founding members have these identities.
pub fn founding_snapshot(ids: impl IntoIterator<Item = ReplicaId>) -> Snapshot {
    Snapshot {
        index: 1,
        term: 1,
        membership: Membership::new(members(ids)),
        state: Vec::new(),
    }
}

/// Creates the state of replica 1 in a group of three, in term 5. After the founding snapshot at
/// index 1, the log has entries of terms 2, 2 and 4 at indices 2 to 4.
pub fn durable_state() -> DurableState {
    let mut state = DurableState::new(1, founding_snapshot(1..=3));
    state.apply_record(&Record::Term {
        term: 5,
        voted_for: 0,
    });
    state.apply_record(&Record::Append(vec![entry(2, 2), entry(3, 2), entry(4, 4)]));
    state
}

/// Starts replica 1 with [`durable_state`].
pub fn replica() -> Replica {
    let mut replica = Replica::new(durable_state(), SETTINGS, 0, 1);
    replica.take_outputs();
    replica
}

/// Starts a replica with an empty snapshot at index 0, like a replica that joins a group.
pub fn empty_replica() -> Replica {
    let state = DurableState::new(1, Snapshot::default());
    let mut replica = Replica::new(state, SETTINGS, 0, 1);
    replica.take_outputs();
    replica
}

/// Creates replica 1 as the leader of term 6. Its blank entry is at index 5.
pub fn leader() -> Replica {
    let mut replica = replica();
    replica.handle_message(10, message(2, 5, MessageBody::TimeoutNow));
    flush(&mut replica);
    let vote = VoteResponse {
        pre_vote: false,
        granted: true,
    };
    replica.handle_message(20, message(2, LEADER_TERM, MessageBody::VoteResponse(vote)));
    assert!(replica.is_leader());
    flush(&mut replica);
    replica
}

/// Creates a message to replica 1.
pub fn message(from: ReplicaId, term: u64, body: MessageBody) -> Message {
    Message {
        from,
        to: 1,
        term,
        body,
    }
}

/// Creates a vote request of a candidate whose last entry has this term and index.
pub fn vote_request(last_term: u64, last_index: u64) -> MessageBody {
    MessageBody::VoteRequest(VoteRequest {
        pre_vote: false,
        last_log: LogPosition {
            index: last_index,
            term: last_term,
        },
        leadership_transfer: false,
    })
}

/// Creates a pre-vote request of a candidate whose last entry has this term and index.
pub fn pre_vote_request(last_term: u64, last_index: u64) -> MessageBody {
    MessageBody::VoteRequest(VoteRequest {
        pre_vote: true,
        last_log: LogPosition {
            index: last_index,
            term: last_term,
        },
        leadership_transfer: false,
    })
}

/// Creates a request to append entries after a position, from replica 2 as the leader of term 5.
pub fn append_entries(
    (index, term): (u64, u64),
    entries: Vec<Entry>,
    leader_commit: u64,
) -> Message {
    let request = AppendEntriesRequest {
        previous: LogPosition { index, term },
        entries,
        leader_commit,
        heartbeat_round: 7,
    };
    message(2, 5, MessageBody::AppendEntriesRequest(request))
}

/// Creates the response of a follower to the leader that [`leader`] returns. The follower holds all
/// entries up to `last_index` durably.
pub fn acknowledgement(from: ReplicaId, last_index: u64, heartbeat_round: u64) -> Message {
    let response = AppendEntriesResponse {
        success: true,
        last_index,
        heartbeat_round,
    };
    message(
        from,
        LEADER_TERM,
        MessageBody::AppendEntriesResponse(response),
    )
}

/// Completes all writes, and returns the messages that the replica has sent.
pub fn flush(replica: &mut Replica) -> Vec<Message> {
    let mut sent = Vec::new();
    loop {
        let outputs = replica.take_outputs();
        if outputs.is_empty() {
            return sent;
        }
        for output in outputs {
            match output {
                Output::Persist { sequence, .. } => replica.handle_persisted(sequence),
                Output::Send(message) => sent.push(message),
                _ => {}
            }
        }
    }
}

/// Returns the messages that the replica sends before any further record is durable.
pub fn sent_immediately(replica: &mut Replica) -> Vec<Message> {
    let outputs = replica.take_outputs().into_iter();
    let sent = outputs.filter_map(|output| match output {
        Output::Send(message) => Some(message),
        _ => None,
    });
    sent.collect()
}

/// Returns whether a vote was granted; `None` if no vote response was sent.
pub fn granted_vote(sent: &[Message]) -> Option<bool> {
    sent.iter().find_map(|message| match message.body {
        MessageBody::VoteResponse(VoteResponse { granted, .. }) => Some(granted),
        _ => None,
    })
}
