//! Whether a machine hears of a leader with a quorum.

mod support;

use support::*;

#[test]
fn delayed_messages_of_a_leader_do_not_prove_a_quorum() {
    let mut machine = follower();
    assert!(machine.in_quorum());
    // Nothing for ten seconds; then what the leader sent 0.2 s after the last message arrives.
    receive_from_leader(&mut machine, 11_000, LEADER_CLOCK + 200);
    assert!(!machine.in_quorum());
    receive_from_leader(&mut machine, 11_010, LEADER_CLOCK + 10_010);
    assert!(machine.in_quorum());
}
