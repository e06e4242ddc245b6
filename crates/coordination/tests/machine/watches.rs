//! Watches on any machine. Events are delivered as they are applied. The absence of events is only
//! reported if the leader has confirmed it.

use crate::calls_support::{HISTORY_MS, acquire, listed, next_number, put, put_at};
use crate::cluster::{Cluster, STEP_MS};
use rstest::rstest;
use woadstall_consensus::MessageBody;
use woadstall_coordination::machine::Response;
use woadstall_coordination::state::GroupEvents;
use woadstall_coordination::wire::Packet;

/// The maximum number of pending watches per machine.
const MAX_WATCHES: u64 = 1_024;
/// The maximum time between the deadline of a watch and its response, in milliseconds.
const CONFIRMATION_TIMEOUT_MS: u64 = 600;
/// The maximum time for a commit on all machines, in milliseconds.
const COMMIT_MS: u64 = 200;

/// The time in milliseconds after which a machine knows that it has applied every earlier commit.
/// It covers two heartbeats of the leader.
const CURRENT_STATE_MS: u64 = 300;

/// A group of three machines with one key at revision 1. Returns the group, its leader and a
/// follower.
fn cluster() -> (Cluster, u64, u64) {
    let (mut cluster, leader) = Cluster::with_leader(3);
    assert_eq!(cluster.execute(leader, put("g.a", "x", None)), put_at(1));
    cluster.run(COMMIT_MS);
    let follower = cluster.follower();
    (cluster, leader, follower)
}

fn without_events(revision: u64) -> Option<Response> {
    let events = Vec::new();
    Some(Response::Events(GroupEvents { events, revision }))
}

fn events(response: Option<Response>) -> GroupEvents {
    match response {
        Some(Response::Events(found)) if !found.events.is_empty() => found,
        other => panic!("no events: {other:?}"),
    }
}

#[test]
fn events_reach_the_watches_of_their_group_on_every_machine() {
    let (mut cluster, leader, _) = cluster();
    let tokens = [1, 2, 3].map(|id| cluster.watch(id, "g", 1, 10_000));
    let others = [1, 2, 3].map(|id| cluster.watch(id, "h", 1, 10_000));
    cluster.run(1_000);
    assert_eq!(
        tokens.map(|token| cluster.response(token)),
        [None, None, None]
    );
    cluster.execute(leader, put("g.b", "y", None));
    cluster.run(COMMIT_MS);
    for token in tokens {
        let found = events(cluster.response(token));
        assert_eq!(listed(&found), [("g.b", "y", 2)]);
        assert_eq!(found.revision, 2);
    }
    assert_eq!(
        others.map(|token| cluster.response(token)),
        [None, None, None]
    );
}

#[test]
fn existing_events_are_returned_once_the_leader_was_heard_from() {
    let (mut cluster, leader, follower) = cluster();
    cluster.execute(leader, put("g.b", "y", None));
    cluster.execute(leader, put("g.a", "z", None));
    cluster.run(COMMIT_MS);
    let token = cluster.watch(follower, "g", 1, 10_000);
    let found = events(cluster.await_response(token, CURRENT_STATE_MS));
    assert_eq!(listed(&found), [("g.b", "y", 2), ("g.a", "z", 3)]);
}

#[rstest]
#[case::zero(0)]
#[case::shorter_than_a_confirmation(10)]
#[case::two_seconds(2_000)]
fn a_watch_without_events_ends_at_its_deadline(#[case] wait_ms: u64) {
    let (mut cluster, _, _) = cluster();
    let started = cluster.now;
    let tokens = [1, 2, 3].map(|id| cluster.watch(id, "g", 1, wait_ms));
    if wait_ms > 0 {
        cluster.run(wait_ms - STEP_MS);
        assert_eq!(
            tokens.map(|token| cluster.response(token)),
            [None, None, None]
        );
    }
    for token in tokens {
        assert_eq!(cluster.await_response(token, COMMIT_MS), without_events(1));
    }
    assert!(cluster.now <= started + wait_ms + COMMIT_MS);
}

#[test]
fn a_watch_from_revision_0_returns_the_revision_only() {
    let (mut cluster, leader, follower) = cluster();
    cluster.execute(leader, put("g.b", "y", None));
    for (group, revision) in [("g", 2), ("h", 0)] {
        let token = cluster.watch(follower, group, 0, 10_000);
        let response = cluster.await_response(token, COMMIT_MS);
        assert_eq!(response, without_events(revision));
    }
}

// The reported revision must include every put that was acknowledged before the watch arrived.
#[test]
fn a_watch_from_revision_0_observes_puts_acknowledged_by_other_machines() {
    let (mut cluster, leader, follower) = cluster();
    for revision in 2..20 {
        let value = revision.to_string();
        assert_eq!(
            cluster.execute(leader, put("g.a", &value, None)),
            put_at(revision)
        );
        let token = cluster.watch(follower, "g", 0, 0);
        let response = cluster.await_response(token, COMMIT_MS);
        assert_eq!(response, without_events(revision));
    }
}

#[rstest]
#[case::from_revision_0(0, 0)]
#[case::at_its_deadline(1, 400)]
fn an_isolated_machine_never_reports_the_absence_of_events(
    #[case] after: u64,
    #[case] wait_ms: u64,
) {
    let (mut cluster, leader, follower) = cluster();
    cluster.isolate(follower);
    let token = cluster.watch(follower, "g", after, wait_ms);
    let end = wait_ms + CONFIRMATION_TIMEOUT_MS + STEP_MS;
    cluster.execute(leader, put("g.b", "y", None));
    let response = cluster.await_response(token, end.max(1_000));
    assert_eq!(response, Some(Response::NotExecuted));
}

#[test]
fn a_watch_waits_on_a_machine_that_is_behind_its_revision() {
    let (mut cluster, leader, follower) = cluster();
    cluster.isolate(follower);
    cluster.execute(leader, put("g.b", "y", None));
    cluster.execute(leader, put("g.b", "z", None));
    let token = cluster.watch(follower, "g", 2, 5_000);
    cluster.run(500);
    assert_eq!(cluster.response(token), None);
    cluster.heal(follower);
    let found = events(cluster.await_response(token, 1_000));
    assert_eq!(listed(&found), [("g.b", "z", 3)]);
}

#[test]
fn a_watch_from_a_compacted_revision_is_rejected() {
    let (mut cluster, leader, _) = cluster();
    cluster.execute(leader, put("g.b", "y", None));
    cluster.run(HISTORY_MS + 1);
    cluster.execute(leader, next_number("n"));
    cluster.execute(leader, put("g.a", "z", None));
    cluster.run(COMMIT_MS);
    for id in [1, 2, 3] {
        let late = cluster.watch(id, "g", 1, 5_000);
        assert_eq!(cluster.response(late), Some(Response::HistoryCompacted));
        let in_time = cluster.watch(id, "g", 2, 5_000);
        let found = events(cluster.await_response(in_time, CURRENT_STATE_MS));
        assert_eq!(listed(&found), [("g.a", "z", 3)]);
    }
}

#[test]
fn a_watch_from_a_revision_that_never_existed_is_rejected() {
    let (mut cluster, _, follower) = cluster();
    let token = cluster.watch(follower, "g", 9, 1_000);
    cluster.run(1_000 - STEP_MS);
    assert_eq!(cluster.response(token), None);
    let response = cluster.await_response(token, COMMIT_MS);
    assert_eq!(response, Some(Response::HistoryCompacted));
}

#[test]
fn the_number_of_watches_is_limited() {
    let (mut cluster, leader, follower) = cluster();
    for _ in 0..MAX_WATCHES {
        let token = cluster.watch(follower, "g", 1, 20_000);
        assert_eq!(cluster.response(token), None);
    }
    let surplus = cluster.watch(follower, "g", 1, 20_000);
    assert_eq!(cluster.response(surplus), Some(Response::Overloaded));
    cluster.execute(leader, put("g.b", "y", None));
    cluster.run(COMMIT_MS);
    assert_eq!(cluster.machine(follower).status().watches, 0);
    let next = cluster.watch(follower, "g", 2, 20_000);
    assert_eq!(cluster.response(next), None);
}

#[test]
fn a_shutdown_responds_to_all_watches() {
    let (mut cluster, _, follower) = cluster();
    let tokens = [0, 1, 1].map(|after| cluster.watch(follower, "g", after, 20_000));
    cluster.begin_shutdown(follower);
    for token in tokens {
        assert_eq!(cluster.response(token), Some(Response::NotExecuted));
    }
    assert_eq!(cluster.machine(follower).status().watches, 0);
}

#[test]
fn a_leadership_change_skips_no_event() {
    let (mut cluster, leader, follower) = cluster();
    let token = cluster.watch(follower, "g", 1, 20_000);
    cluster.stop(leader);
    let next = cluster.await_leader();
    cluster.execute(next, put("g.b", "y", None));
    cluster.execute(next, put("g.b", "z", None));
    let found = events(cluster.await_response(token, COMMIT_MS));
    let mut after = found.revision;
    let mut revisions: Vec<u64> = found.events.iter().map(|event| event.revision).collect();
    while after < 3 {
        let token = cluster.watch(follower, "g", after, 1_000);
        let found = events(cluster.await_response(token, 1_000));
        after = found.revision;
        revisions.extend(found.events.iter().map(|event| event.revision));
    }
    assert_eq!(revisions, [2, 3]);
}

#[test]
fn a_restored_snapshot_advances_the_watches_of_a_machine_that_was_behind() {
    let (mut cluster, leader, follower) = cluster();
    cluster.isolate(follower);
    cluster.execute(leader, acquire("l", "a", 600_000));
    let large = "v".repeat(60 << 10);
    for round in 0..24 {
        let value = format!("{round}{large}");
        cluster.execute(leader, put("h.a", &value, None));
    }
    cluster.execute(leader, put("g.b", "y", None));
    assert!(cluster.machine(leader).replica().log().snapshot().index > 1);
    let token = cluster.watch(follower, "g", 1, 20_000);
    cluster.run(100);
    cluster.heal(follower);
    let found = events(cluster.await_response(token, 3_000));
    assert_eq!(listed(&found), [("g.b", "y", 2)]);
    assert!(cluster.machine(follower).replica().log().snapshot().index > 1);
}

/// A group with a follower whose state is older than the history of the other machines. The
/// follower was isolated, or was stopped and then restarted in isolation.
fn cluster_with_outdated_follower(is_restarted: bool) -> (Cluster, u64, u64) {
    let (mut cluster, leader, follower) = cluster();
    cluster.execute(leader, put("g.b", "y", None));
    cluster.run(COMMIT_MS);
    if is_restarted {
        cluster.stop(follower);
    } else {
        cluster.isolate(follower);
    }
    cluster.execute(leader, put("g.a", "z", None));
    cluster.run(HISTORY_MS + 1);
    cluster.execute(leader, next_number("n"));
    if is_restarted {
        // The follower has loaded its disk and has received no packet from the other machines.
        cluster.restart(follower);
        cluster.isolate(follower);
    }
    (cluster, leader, follower)
}

// A client that receives events from an outdated machine would resume on another machine from a
// revision that the history no longer contains.
#[rstest]
#[case::isolated(false)]
#[case::restarted(true)]
fn an_outdated_machine_returns_no_events(#[case] is_restarted: bool) {
    let (mut cluster, _, follower) = cluster_with_outdated_follower(is_restarted);
    let token = cluster.watch(follower, "g", 1, 1_000);
    let response = cluster.await_response(token, 2_000);
    assert_eq!(response, Some(Response::NotExecuted));
}

fn is_consensus_with_entries(packet: &Packet) -> bool {
    let Packet::Consensus { message, .. } = packet else {
        return false;
    };
    matches!(&message.body, MessageBody::AppendEntriesRequest(request) if !request.entries.is_empty())
}

// The outdated machine receives messages of the leader, but the missing entries are dropped.
#[test]
fn a_machine_returns_no_events_before_it_has_caught_up() {
    let (mut cluster, _, follower) = cluster_with_outdated_follower(false);
    cluster.drop_packets(move |_, to, packet| to == follower && is_consensus_with_entries(packet));
    cluster.heal(follower);
    cluster.run(300);
    assert!(cluster.machine(follower).in_quorum());
    let token = cluster.watch(follower, "g", 1, 20_000);
    cluster.run(1_000);
    assert_eq!(cluster.response(token), None);
    cluster.clear_packet_filter();
    cluster.reset_connection(
        follower,
        cluster.machine(follower).replica().leader().unwrap(),
    );
    let response = cluster.await_response(token, 1_000);
    assert_eq!(response, Some(Response::HistoryCompacted));
}

#[rstest]
#[case::a_delayed_heartbeat(0)]
#[case::a_new_leader_with_an_outdated_commit_index(1)]
fn a_single_heartbeat_does_not_prove_that_a_state_is_recent(#[case] later_terms: u64) {
    let (mut cluster, leader, follower) = cluster_with_outdated_follower(false);
    let heartbeat = cluster
        .sent
        .iter()
        .rev()
        .find_map(|(from, to, packet)| match packet {
            Packet::Consensus { message, clock }
                if (*from, *to) == (leader, follower)
                    && !is_consensus_with_entries(packet)
                    && matches!(message.body, MessageBody::AppendEntriesRequest(_)) =>
            {
                Some((message.clone(), *clock))
            }
            _ => None,
        });
    let (mut message, mut clock) = heartbeat.unwrap();
    let commit = cluster.machine(follower).replica().commit_index();
    let MessageBody::AppendEntriesRequest(request) = &mut message.body else {
        unreachable!()
    };
    request.previous = cluster.machine(follower).replica().log().last_position();
    request.leader_commit = commit;
    let term = cluster.machine(follower).replica().term();
    message.term = term + later_terms;
    if later_terms == 0 {
        // The heartbeat was sent when the machine was isolated and has been delayed since.
        clock -= HISTORY_MS;
    }
    cluster.deliver_packet(leader, follower, Packet::Consensus { message, clock });
    let token = cluster.watch(follower, "g", 1, 1_000);
    assert_eq!(cluster.response(token), None);
}

#[test]
fn a_former_leader_returns_no_events_before_it_has_caught_up() {
    let (mut cluster, former, _) = cluster();
    cluster.execute(former, put("g.b", "y", None));
    cluster.isolate(former);
    let leader = cluster.await_leader();
    cluster.execute(leader, put("g.a", "z", None));
    cluster.run(HISTORY_MS + 1);
    cluster.execute(leader, next_number("n"));
    cluster.drop_packets(move |_, to, packet| to == former && is_consensus_with_entries(packet));
    cluster.heal(former);
    cluster.run(300);
    assert!(cluster.machine(former).in_quorum());
    let token = cluster.watch(former, "g", 1, 20_000);
    cluster.run(1_000);
    assert_eq!(cluster.response(token), None);
}
