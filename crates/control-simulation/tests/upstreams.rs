//! Registrations of upstreams: draining, heartbeats, and durability under faults.

mod common;

use common::{CATCH_UP_MS, CLIENT_TIMEOUT_MS, ClusterBuilder, assert_invariants};
use rstest::rstest;
use woadstall_control::machine::CallResponse;
use woadstall_control::registry::UpstreamStatus;
use woadstall_control_simulation::scenario::fixtures::registration;

/// Number of seeds of each test.
const SEEDS: u64 = 12;

#[test]
fn draining_is_acknowledged_by_a_majority_and_reaches_all_balancers() {
    let mut cluster = ClusterBuilder::new(4).with_balancers().build();
    cluster.call(0, |process, now_ms, token| {
        process.register(now_ms, token, registration("i-1", 1, UpstreamStatus::Ready))
    });
    cluster.run_for(500);
    let token = cluster.call(2, |process, now_ms, token| {
        process.register(
            now_ms,
            token,
            registration("i-1", 2, UpstreamStatus::Draining),
        );
    });
    assert!(
        !cluster.responses.contains_key(&token),
        "the draining was acknowledged before another node received it"
    );
    cluster.run_for(300);
    assert_eq!(
        cluster.responses.get(&token),
        Some(&CallResponse::Acknowledged)
    );
    for node in 0..3 {
        assert_eq!(
            cluster.balancer(node, 1).statuses.get("i-1"),
            Some(&UpstreamStatus::Draining)
        );
    }
}

#[test]
fn an_isolated_node_does_not_acknowledge_draining() {
    let mut cluster = ClusterBuilder::new(5).build();
    cluster.isolate(1);
    cluster.run_for(100);
    let token = cluster.call(1, |process, now_ms, token| {
        process.register(
            now_ms,
            token,
            registration("i-1", 1, UpstreamStatus::Draining),
        );
    });
    cluster.run_for(1_500);
    assert_eq!(
        cluster.responses.get(&token),
        Some(&CallResponse::Indeterminate)
    );
    // The other nodes receive the draining after the partition ends, although it was not
    // acknowledged.
    cluster.heal();
    cluster.run_for(1_000);
    let registrations = cluster.process(0).unwrap().registrations();
    assert_eq!(registrations[0].status, UpstreamStatus::Draining);
}

#[test]
fn a_timeout_is_detected_by_one_node_and_reported_by_all() {
    let mut cluster = ClusterBuilder::new(6).build();
    cluster.call(0, |process, now_ms, token| {
        process.register(now_ms, token, registration("i-1", 1, UpstreamStatus::Ready))
    });
    cluster.call(0, |process, now_ms, token| {
        process.register(now_ms, token, registration("i-2", 1, UpstreamStatus::Ready))
    });
    for sequence in 2..8 {
        cluster.run_for(1_200);
        cluster.call(1, |process, now_ms, token| {
            process.register(
                now_ms,
                token,
                registration("i-2", sequence, UpstreamStatus::Ready),
            );
        });
    }
    for node in 0..3 {
        let statuses: Vec<UpstreamStatus> = cluster
            .process(node)
            .unwrap()
            .registrations()
            .iter()
            .map(|upstream| upstream.status)
            .collect();
        assert_eq!(
            statuses,
            [UpstreamStatus::TimedOut, UpstreamStatus::Ready],
            "node {node}"
        );
    }
}

#[test]
fn a_restarted_node_learns_all_upstreams_from_its_peers() {
    let mut cluster = ClusterBuilder::new(7).build();
    cluster.call(0, |process, now_ms, token| {
        process.register(now_ms, token, registration("i-1", 1, UpstreamStatus::Ready))
    });
    cluster.run_for(500);
    cluster.stop(1);
    cluster.run_for(500);
    cluster.start(1);
    cluster.run_for(500);
    assert_eq!(cluster.process(1).unwrap().registrations().len(), 1);
}

/// Incident 3: upstreams that have drained or deregistered send no further requests. They must not
/// become active again after a power loss of all nodes and the loss of one disk.
#[rstest]
#[case::drained(true)]
#[case::deregistered_at_once(false)]
fn acknowledged_draining_survives_a_loss_of_power_and_of_one_disk(#[case] drains: bool) {
    for seed in 0..SEEDS {
        for wiped in 0..3 {
            let mut cluster = ClusterBuilder::new(seed).build();
            cluster.register(0, registration("i-1", 1, UpstreamStatus::Ready));
            cluster.run_for(1_000);
            let node = cluster.random.usize(..3);
            let token = match drains {
                true => cluster.register(node, registration("i-1", 2, UpstreamStatus::Draining)),
                false => cluster.deregister(node, "i-1"),
            };
            while !cluster.responses.contains_key(&token) {
                cluster.run_for(10);
            }
            assert_eq!(cluster.responses[&token], CallResponse::Acknowledged);
            (0..3)
                .filter(|node| *node != wiped)
                .for_each(|node| cluster.crash(node));
            cluster.wipe_disk(wiped);
            (0..3).for_each(|node| cluster.start(node));
            cluster.run_for(CATCH_UP_MS);
            for node in 0..3 {
                let registrations = cluster.process(node).unwrap().registrations();
                assert!(
                    registrations[0].status.is_terminating(),
                    "seed {seed}: node {node} has {:?}",
                    registrations[0].status
                );
            }
            assert_invariants(&mut cluster);
        }
    }
}

/// Incident 5: an upstream deregisters at a node that does not know the upstream, because the node
/// was isolated or has just started. The deregistration must reach all nodes and balancers.
#[rstest]
#[case::isolated(true)]
#[case::just_started(false)]
fn deregistration_at_a_node_that_does_not_know_the_upstream_reaches_all(#[case] is_isolated: bool) {
    for seed in 0..SEEDS {
        let mut cluster = ClusterBuilder::new(seed).with_balancers().build();
        if is_isolated {
            cluster.isolate(1);
        } else {
            cluster.stop(1);
        }
        cluster.run_for(3_000);
        cluster.register(0, registration("i-1", 1, UpstreamStatus::Ready));
        cluster.run_for(1_000);
        if !is_isolated {
            cluster.start(1);
        }
        let token = cluster.deregister(1, "i-1");
        cluster.run_for(CLIENT_TIMEOUT_MS);
        if is_isolated {
            assert_eq!(
                cluster.responses.get(&token),
                Some(&CallResponse::Indeterminate),
                "seed {seed}"
            );
            cluster.heal();
        }
        cluster.run_for(2_000);
        for node in 0..3 {
            let registrations = cluster.process(node).unwrap().registrations();
            assert_eq!(
                registrations[0].status,
                UpstreamStatus::Deregistered,
                "seed {seed}, node {node}"
            );
        }
        for node in [0, 2] {
            assert_eq!(
                cluster.balancer(node, 1).statuses["i-1"],
                UpstreamStatus::Deregistered,
                "seed {seed}"
            );
        }
        assert_invariants(&mut cluster);
    }
}
