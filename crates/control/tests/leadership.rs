//! Tests of the detection of a leader with a quorum.

mod support;

use support::*;

#[test]
fn delayed_messages_of_a_leader_do_not_prove_a_quorum() {
    let mut machine = follower();
    assert!(machine.in_quorum());
    // After ten seconds without messages, a delayed message arrives that the leader sent 0.2 s
    // after the previous one.
    receive_from_leader(&mut machine, 11_000, LEADER_CLOCK + 200);
    assert!(!machine.in_quorum());
    receive_from_leader(&mut machine, 11_010, LEADER_CLOCK + 10_010);
    assert!(machine.in_quorum());
}
