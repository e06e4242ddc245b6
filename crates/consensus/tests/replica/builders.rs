//! Replicas, entries and messages for the tests of single replicas.

use woadstall_consensus::{
    AppendEntriesRequest, AppendEntriesResponse, DurableState, Entry, EntryPayload, LogPosition,
    Member, Membership, Message, MessageBody, Output, Record, Replica, ReplicaId, Settings,
    Snapshot, Timing, VoteRequest, VoteResponse,
};

/// As in the shipped control plane.
pub const SETTINGS: Settings = Settings {
    timing: Timing {
        heartbeat_interval: 150,
        election_timeout_min: 900,
        election_timeout_max: 1_500,
    },
    min_voters: 3,
};

/// The term of [`leader`].
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

/// The snapshot of a group that these replicas found.
pub fn founding_snapshot(ids: impl IntoIterator<Item = ReplicaId>) -> Snapshot {
    Snapshot {
        index: 1,
        term: 1,
        membership: Membership::new(members(ids)),
        state: Vec::new(),
    }
}

/// The state of replica 1 of three, in term 5, with entries up to index 4 of terms 2, 2 and 4 after
/// the founding snapshot.
pub fn durable_state() -> DurableState {
    let mut state = DurableState::new(1, founding_snapshot(1..=3));
    state.apply_record(&Record::Term {
        term: 5,
        voted_for: 0,
    });
    state.apply_record(&Record::Append(vec![entry(2, 2), entry(3, 2), entry(4, 4)]));
    state
}

/// Replica 1, just started.
pub fn replica() -> Replica {
    let mut replica = Replica::new(durable_state(), SETTINGS, 0, 1);
    replica.take_outputs();
    replica
}

/// A replica that has nothing yet: an empty snapshot at index 0, as one that joins a group has.
pub fn empty_replica() -> Replica {
    let state = DurableState::new(1, Snapshot::default());
    let mut replica = Replica::new(state, SETTINGS, 0, 1);
    replica.take_outputs();
    replica
}

/// Replica 1 as the leader of term 6, with its blank entry at index 5.
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

/// A message to replica 1.
pub fn message(from: ReplicaId, term: u64, body: MessageBody) -> Message {
    Message {
        from,
        to: 1,
        term,
        body,
    }
}

/// A request for a vote.
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

/// A request for a pre-vote.
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

/// Entries from replica 2 as the leader of term 5.
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

/// The response of a follower of [`leader`] that has all entries up to an index.
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

/// Makes all records durable; the messages sent so far.
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

/// The messages that are sent before any further record is durable.
pub fn sent_immediately(replica: &mut Replica) -> Vec<Message> {
    let outputs = replica.take_outputs().into_iter();
    let sent = outputs.filter_map(|output| match output {
        Output::Send(message) => Some(message),
        _ => None,
    });
    sent.collect()
}

/// Whether the vote was granted; `None` if there is no response.
pub fn granted_vote(sent: &[Message]) -> Option<bool> {
    sent.iter().find_map(|message| match message.body {
        MessageBody::VoteResponse(VoteResponse { granted, .. }) => Some(granted),
        _ => None,
    })
}
