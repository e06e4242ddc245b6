//! Tests of connection use: reuse, replacement, closing and connection limits.

use crate::common::*;
use woadstall_decisions::api::*;

/// Sends a call one second after the last one, so that each server's connection has been idle for
/// seconds. Returns the server, and whether its idle connections were replaced.
fn sparse_call_to(harness: &mut Harness, class: usize, outcome: Outcome) -> (u32, bool) {
    harness.now += SECOND;
    let (id, actions) = harness.request(class);
    harness.now += 20 * MS;
    if sent_to(&harness.end(id, 0, outcome, 20 * MS)).is_some() {
        harness.end(id, 1, Outcome::Ok, 20 * MS);
    }
    (
        sent_to(&actions).expect("sent"),
        on_new_connection(&actions),
    )
}

/// Sends a sparse call, and returns whether the idle connections of its server were replaced.
fn sparse_call(harness: &mut Harness, class: usize, outcome: Outcome) -> bool {
    sparse_call_to(harness, class, outcome).1
}

/// Whether idle connections were closed before the only attempt was sent.
fn on_new_connection(actions: &[Action]) -> bool {
    let position_of = |wanted: &dyn Fn(&Action) -> bool| actions.iter().position(wanted);
    let (close, send) = (
        position_of(&|a| matches!(a, Action::CloseIdleConnections(_))),
        position_of(&|a| matches!(a, Action::Send { .. })),
    );
    close.is_some_and(|close| close < send.expect("sent"))
}

/// Guards against keeping the idle connections of a burst: they filled the small connection tables
/// of servers, so that other balancers could not connect.
#[test]
fn connections_of_a_burst_are_closed_once_idle() {
    let mut harness = Harness::new(settings(), &zones(1, 2));
    harness.warm_up(50);
    let burst: Vec<(RequestId, u32)> = (0..20)
        .filter_map(|_| {
            let (id, actions) = harness.request(SAFE);
            Some((id, sent_to(&actions)?))
        })
        .collect();
    let mut idle_connections = [0u32; 2];
    harness.now += 30 * MS;
    let mut ends: Vec<_> = burst
        .into_iter()
        .map(|(id, server)| (id, server, 0))
        .collect();
    // In the following seconds, one call at a time is sent.
    for call in 0..40 {
        for (id, server, wait) in std::mem::take(&mut ends) {
            idle_connections[server as usize] += u32::from(wait == 0);
            for action in harness.end(id, 0, Outcome::Ok, 30 * MS) {
                if let Action::CloseIdleConnections(closed) = action {
                    idle_connections[closed.0 as usize] = 0;
                }
            }
        }
        assert!(
            call > 0 || idle_connections.iter().any(|&count| count > 2),
            "connections of the recent peak are kept: {idle_connections:?}"
        );
        harness.now += 100 * MS;
        let (id, actions) = harness.request(SAFE);
        ends.extend(sent_to(&actions).map(|server| (id, server, 1)));
    }
    assert!(
        idle_connections.iter().all(|&count| count <= 2),
        "idle connections left: {idle_connections:?}"
    );
    let closed = (0..20).any(|_| {
        let (id, _) = harness.request(SAFE);
        harness.now += 20 * MS;
        harness
            .end(id, 0, Outcome::Ok, 20 * MS)
            .iter()
            .any(|action| matches!(action, Action::CloseIdleConnections(_)))
    });
    assert!(!closed, "a steady caller keeps its connection");
}

#[test]
fn connections_that_idled_too_long_are_replaced_and_do_not_trip_servers() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    (0..12).for_each(|_| {
        assert!(
            !sparse_call(&mut harness, UNSAFE, Outcome::Ok),
            "idle connections work"
        )
    });
    let fail = |harness: &mut Harness| sparse_call_to(harness, SAFE, Outcome::Reset).0;
    let mut closed: std::collections::BTreeSet<_> = (0..2).map(|_| fail(&mut harness)).collect();
    // A connection on which a call failed is closed already. Every other connection is replaced
    // before it is used.
    for _ in 0..12 {
        let (server, replaced) = sparse_call_to(&mut harness, UNSAFE, Outcome::Ok);
        assert!(
            replaced || closed.remove(&server),
            "server {server} on a connection that would fail"
        );
    }
    let servers: std::collections::BTreeSet<_> =
        (0..8).filter_map(|_| harness.serve(SAFE, MS)).collect();
    assert_eq!(servers.len(), 4, "none is tripped: {servers:?}");
}

#[test]
fn idle_connections_are_used_where_new_ones_fail_as_well() {
    let mut harness = Harness::new(settings(), &zones(1, 1));
    let mut call = |outcome| sparse_call(&mut harness, UNSAFE, outcome);
    (0..12).for_each(|_| assert!(!call(Outcome::Ok)));
    // The first call fails on an idle connection, the others on new connections.
    (0..7).for_each(|_| assert!(!call(Outcome::Reset)));
    assert!(!call(Outcome::Ok), "a new connection is used");
    assert!(
        !call(Outcome::Ok),
        "new connections fail as often as idle ones"
    );
}

/// Guards against connecting beyond a server's connection limit: each such call cost the time of a
/// failed connection.
#[test]
fn server_that_refused_a_connection_is_at_its_connection_limit() {
    let mut harness = Harness::new(settings(), &zones(1, 2));
    harness.warm_up(40);
    let send = |harness: &mut Harness| -> (u32, RequestId) {
        let (id, actions) = harness.request(SAFE);
        (sent_to(&actions).expect("sent"), id)
    };
    let pending: Vec<_> = (0..4).map(|_| send(&mut harness)).collect();
    let (limited, last) = pending[3];
    harness.now += 30 * MS;
    harness.end(last, 0, Outcome::ConnectFailed, 250 * MS);
    harness.now += 30 * MS;
    let next: Vec<_> = (0..4).map(|_| send(&mut harness).0).collect();
    assert!(
        next.iter().all(|&server| server != limited),
        "the server is at its connection limit"
    );
    let (_, first) = *pending
        .iter()
        .find(|(server, _)| *server == limited)
        .expect("a call was sent there before");
    harness.end(first, 0, Outcome::Ok, 60 * MS);
    assert_eq!(
        send(&mut harness).0,
        limited,
        "its connection is free again"
    );
}

/// Guards against applying the connection limit of a process to the process that replaced it.
#[test]
fn restarted_server_has_no_connection_limit() {
    let mut harness = Harness::new(
        Settings {
            slow_start_window: SECOND,
            ..settings()
        },
        &zones(1, 2),
    );
    harness.warm_up(40);
    // Both servers have calls in flight; server 1 accepts no further connection.
    let pending: Vec<_> = (0..8).map(|_| harness.request(SAFE)).collect();
    let calls_at_server_1 = |pending: &[(RequestId, Vec<Action>)]| -> Vec<RequestId> {
        pending
            .iter()
            .filter(|(_, actions)| sent_to(actions) == Some(1))
            .map(|(id, _)| *id)
            .collect()
    };
    let refused = calls_at_server_1(&pending);
    refused
        .iter()
        .for_each(|&id| drop(harness.end(id, 0, Outcome::ConnectFailed, MS)));
    harness.now += 60 * MS;
    let next: Vec<_> = (0..4).map(|_| harness.request(SAFE)).collect();
    assert!(
        calls_at_server_1(&next).is_empty(),
        "server 1 is at its connection limit"
    );
    let restarted = ServerEntry {
        started: Some(1),
        ..entry(1, 0)
    };
    harness.now += 2 * SECOND;
    harness.handle(Event::ServerListChange(&[restarted]));
    let again: Vec<_> = (0..4).map(|_| harness.request(SAFE)).collect();
    assert!(
        !calls_at_server_1(&again).is_empty(),
        "the new process takes calls"
    );
}

/// Guards against counting connections that the idle timeout has closed: the next call opens a new
/// connection, so there is nothing to replace, and its failure is not due to an idle connection.
#[test]
fn connections_closed_as_idle_are_new_ones() {
    let mut harness = Harness::new(
        Settings {
            idle_timeout: SECOND,
            ..settings()
        },
        &zones(1, 4),
    );
    (0..12).for_each(|_| assert!(!sparse_call(&mut harness, SAFE, Outcome::Ok)));
    (0..2).for_each(|_| assert!(!sparse_call(&mut harness, SAFE, Outcome::Reset)));
    (0..4).for_each(|_| {
        assert!(
            !sparse_call(&mut harness, UNSAFE, Outcome::Ok),
            "closed by the idle timeout"
        )
    });
}

/// Guards against closing connections at each low of the calls in flight. The number of calls of
/// many callers varies by chance; closing idle connections at each low cost a handshake per call,
/// and half of a daemon's time at 64 callers.
#[test]
fn connections_needed_again_at_once_stay_open() {
    let mut harness = Harness::new(settings(), &zones(1, 1));
    harness.warm_up(50);
    let mut closed = 0;
    let pending: Vec<_> = (0..3).map(|_| harness.request(SAFE)).collect();
    assert!(
        pending
            .iter()
            .all(|(_, actions)| sent_to(actions) == Some(0))
    );
    for _ in 0..100 {
        let calls: Vec<RequestId> = (0..30).map(|_| harness.request(SAFE).0).collect();
        harness.now += 3 * MS;
        for id in calls {
            let actions = harness.end(id, 0, Outcome::Ok, 3 * MS);
            closed += actions
                .iter()
                .filter(|action| matches!(action, Action::CloseIdleConnections(_)))
                .count();
        }
    }
    assert_eq!(closed, 0, "idle connections are closed");
}
