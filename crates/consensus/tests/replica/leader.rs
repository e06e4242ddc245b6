//! Commits, linearizable reads and the quorum check on a leader.

use super::builders::{acknowledgement, flush, leader};
use woadstall_consensus::{Output, Replica};

#[test]
fn a_leader_commits_entries_of_former_terms_only_with_one_of_its_own() {
    let mut replica = leader();
    replica.handle_message(30, acknowledgement(2, 4, 1));
    assert_eq!(replica.commit_index(), 1);
    replica.handle_message(40, acknowledgement(2, 5, 1));
    assert_eq!(replica.commit_index(), 5);
}

#[test]
fn a_leader_counts_itself_only_for_durable_entries() {
    let mut replica = leader();
    replica.handle_message(30, acknowledgement(2, 5, 1));
    flush(&mut replica);
    replica.propose(vec![1]).unwrap();
    replica.handle_message(40, acknowledgement(2, 6, 2));
    assert_eq!(replica.commit_index(), 5);
    flush(&mut replica);
    assert_eq!(replica.commit_index(), 6);
}

#[test]
fn a_read_waits_for_responses_to_heartbeats_sent_after_it() {
    let mut replica = leader();
    replica.handle_message(30, acknowledgement(2, 5, 1));
    flush(&mut replica);
    replica.request_read(77);
    let is_ready = |replica: &mut Replica| {
        replica
            .take_outputs()
            .contains(&Output::ReadReady { read_id: 77 })
    };
    replica.handle_message(40, acknowledgement(2, 5, 2));
    assert!(!is_ready(&mut replica), "a response to an earlier round");
    replica.handle_message(50, acknowledgement(3, 5, 3));
    assert!(is_ready(&mut replica));
}

#[test]
fn reads_fail_before_a_commit_in_the_term() {
    let mut replica = leader();
    replica.request_read(77);
    for round in 1..5 {
        replica.handle_message(30, acknowledgement(2, 4, round));
    }
    let outputs = replica.take_outputs();
    assert!(outputs.contains(&Output::ReadFailed { read_id: 77 }));
    assert!(!outputs.contains(&Output::ReadReady { read_id: 77 }));
}

#[test]
fn contact_counts_from_the_start_of_the_acknowledged_heartbeat() {
    let mut replica = leader();
    // Both responses to the first heartbeat round are delayed, as after a partition.
    for now in (50..1_500).step_by(50) {
        replica.tick(now);
        flush(&mut replica);
    }
    assert!(replica.is_leader());
    for follower in [2, 3] {
        replica.handle_message(1_500, acknowledgement(follower, 5, 1));
    }
    flush(&mut replica);
    replica.tick(1_600);
    assert!(
        !replica.is_leader(),
        "no follower has responded to a heartbeat that was sent within the last 1.5 s"
    );
}
