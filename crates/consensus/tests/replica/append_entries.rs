//! The handling of appended entries and heartbeats on a follower.

use super::builders::{append_entries, empty_replica, entry, flush, replica, sent_immediately};
use rstest::rstest;
use woadstall_consensus::{AppendEntriesResponse, Message, MessageBody, Replica};

/// Returns `success` and `last_index` of each response to appended entries.
fn append_responses(sent: &[Message]) -> Vec<(bool, u64)> {
    let responses = sent.iter().filter_map(|message| match &message.body {
        MessageBody::AppendEntriesResponse(response) => {
            Some((response.success, response.last_index))
        }
        _ => None,
    });
    responses.collect()
}

/// Returns the indices that the replica acknowledges before any further record is durable.
fn acknowledged_immediately(replica: &mut Replica) -> Vec<u64> {
    let responses = append_responses(&sent_immediately(replica)).into_iter();
    responses
        .filter(|(success, _)| *success)
        .map(|(_, last_index)| last_index)
        .collect()
}

#[test]
fn entries_are_acknowledged_only_as_far_as_they_are_durable() {
    let mut replica = replica();
    replica.handle_message(
        10,
        append_entries((4, 4), vec![entry(5, 5), entry(6, 5)], 1),
    );
    let sent = sent_immediately(&mut replica);
    let immediate: Vec<MessageBody> = sent.into_iter().map(|message| message.body).collect();
    assert_eq!(
        immediate,
        [MessageBody::AppendEntriesResponse(AppendEntriesResponse {
            success: true,
            last_index: 4,
            heartbeat_round: 7
        })]
    );
    replica.handle_persisted(1);
    assert_eq!(append_responses(&flush(&mut replica)), [(true, 6)]);
}

#[test]
fn entries_that_replace_durable_ones_are_not_durable_yet() {
    let mut replica = replica();
    replica.handle_message(
        10,
        append_entries((2, 2), vec![entry(3, 5), entry(4, 5)], 1),
    );
    replica.take_outputs();
    replica.handle_message(20, append_entries((4, 5), Vec::new(), 1));
    assert_eq!(acknowledged_immediately(&mut replica), [2]);
}

#[test]
fn entries_replaced_before_they_were_durable_are_not_acknowledged() {
    let mut replica = replica();
    replica.handle_message(10, append_entries((4, 4), vec![entry(5, 5)], 1));
    replica.handle_message(
        20,
        Message {
            term: 6,
            ..append_entries((4, 4), vec![entry(5, 6)], 1)
        },
    );
    replica.take_outputs();
    const FIRST_RECORD: u64 = 1;
    replica.handle_persisted(FIRST_RECORD);
    replica.take_outputs();
    replica.handle_message(
        30,
        Message {
            term: 6,
            ..append_entries((5, 6), Vec::new(), 1)
        },
    );
    assert_eq!(acknowledged_immediately(&mut replica), [4]);
}

#[rstest]
#[case::a_gap(append_entries((7, 5), vec![entry(8, 5)], 1), 4)]
#[case::another_term_before(append_entries((4, 3), vec![entry(5, 5)], 1), 3)]
fn entries_that_do_not_match_are_rejected_with_the_index_to_retry_from(
    #[case] message: Message,
    #[case] index: u64,
) {
    let mut replica = replica();
    replica.handle_message(10, message);
    assert_eq!(append_responses(&flush(&mut replica)), [(false, index)]);
    assert_eq!(replica.log().last_index(), 4);
}

#[test]
fn matching_entries_are_not_truncated_by_an_older_request() {
    let mut replica = replica();
    replica.handle_message(10, append_entries((2, 2), vec![entry(3, 2)], 1));
    flush(&mut replica);
    assert_eq!(replica.log().last_index(), 4);
}

#[test]
fn entries_of_another_term_replace_conflicting_ones() {
    let mut replica = replica();
    replica.handle_message(10, append_entries((2, 2), vec![entry(3, 5)], 1));
    flush(&mut replica);
    assert_eq!(
        (replica.log().last_index(), replica.log().last_term()),
        (3, 5)
    );
}

#[test]
fn only_matching_entries_are_committed() {
    let mut replica = replica();
    replica.handle_message(10, append_entries((2, 2), Vec::new(), 4));
    flush(&mut replica);
    assert_eq!(replica.commit_index(), 2);
}

#[test]
fn a_stale_leader_learns_the_current_term() {
    let mut replica = replica();
    let stale = append_entries((4, 4), vec![entry(5, 4)], 4);
    replica.handle_message(10, Message { term: 4, ..stale });
    let sent = flush(&mut replica);
    assert_eq!(
        sent.iter()
            .map(|message| (message.to, message.term))
            .collect::<Vec<_>>(),
        [(2, 5)]
    );
    assert_eq!((replica.log().last_index(), replica.commit_index()), (4, 1));
}

/// Guards against malformed requests. A correct leader never sends entries that leave a gap after
/// the previous position. It never sends an entry with index 0, which is the index of the empty
/// snapshot.
#[rstest]
#[case::index_0(0, vec![entry(0, 1)])]
#[case::index_0_and_more(0, vec![entry(0, 1), entry(1, 1)])]
#[case::a_gap_after_the_position(0, vec![entry(2, 1)])]
#[case::a_gap_between_entries(0, vec![entry(1, 1), entry(3, 1)])]
#[case::the_greatest_possible_index(u64::MAX, vec![entry(0, 1)])]
fn entries_that_are_not_contiguous_are_ignored(
    #[case] previous: u64,
    #[case] entries: Vec<woadstall_consensus::Entry>,
) {
    let mut replica = empty_replica();
    replica.handle_message(10, append_entries((previous, 0), entries, 1));
    assert_eq!(append_responses(&sent_immediately(&mut replica)), []);
    assert_eq!(replica.log().last_index(), 0);
    replica.handle_message(20, append_entries((0, 0), vec![entry(1, 1)], 1));
    let responses = append_responses(&flush(&mut replica));
    assert_eq!(responses.last(), Some(&(true, 1)));
    assert_eq!(replica.log().last_index(), 1);
}
