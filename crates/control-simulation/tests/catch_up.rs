//! Nodes and balancers catch up after an absence, by log entries, snapshots or the feed.

mod common;

use common::{ClusterBuilder, assert_invariants, commit, commit_at, read_generation};
use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;
use woadstall_control_simulation::network::{NetworkConditions, STEADY};
use woadstall_control_simulation::scenario::fixtures::{configuration, put};

/// Number of seeds of the test of balancers.
const SEEDS: u64 = 20;
/// Number of seeds of the incident tests.
const INCIDENT_SEEDS: u64 = 12;

#[test]
fn balancers_never_go_back_and_converge() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = ClusterBuilder::new(seed).with_balancers().build();
        let mut generation = 0;
        for _ in 0..30 {
            let node = cluster.random.usize(..3);
            let token = cluster.submit(node, put(generation, generation + 2));
            let wait_ms = cluster.random.u64(50..500);
            cluster.run_for(wait_ms);
            if cluster.responses.get(&token) == Some(&CallResponse::Acknowledged) {
                generation += 2;
            }
            if cluster.random.u8(..6) == 0 {
                cluster.heal();
                let isolated = cluster.random.usize(..3);
                cluster.isolate(isolated);
            } else if cluster.random.u8(..3) == 0 {
                cluster.heal();
            }
        }
        cluster.heal();
        cluster.run_for(6_000);
        let newest = read_generation(&mut cluster, 0);
        for node in 0..3 {
            let balancer = cluster.balancer(node, 1);
            assert!(
                balancer.generations.is_sorted(),
                "the generation of a balancer decreased"
            );
            assert_eq!(Some(balancer.state.generation()), newest);
        }
    }
}

#[test]
fn a_long_log_is_compacted_and_installed_on_a_new_disk_as_a_snapshot() {
    const COMMANDS: u64 = 1_200;
    let mut cluster = ClusterBuilder::new(8).build();
    for command in 0..COMMANDS {
        cluster.submit(0, put(command * 2, (command + 1) * 2));
        cluster.run_for(300);
    }
    let log = cluster.process(0).unwrap().replica().log();
    assert!(
        log.entries().len() <= 1_000,
        "{} entries",
        log.entries().len()
    );
    cluster.wipe_disk(2);
    cluster.start(2);
    cluster.run_for(8_000);
    assert_eq!(read_generation(&mut cluster, 2), Some(COMMANDS * 2));
}

/// Incident 4: a member is isolated during 900 of 1,000 changes, receives a snapshot over a link
/// with little bandwidth, and crashes during the transfer. Afterwards the group needs this member
/// for a quorum.
#[test]
fn a_member_that_missed_hundreds_of_changes_catches_up_over_a_low_bandwidth_link() {
    const CHANGES: u64 = 1_000;
    const ISOLATED_CHANGES: std::ops::Range<u64> = 50..950;
    let low_bandwidth = NetworkConditions {
        bytes_per_ms: 100,
        ..STEADY
    };
    let mut cluster = ClusterBuilder::new(1).network(low_bandwidth).build();
    let leader = cluster.leader().unwrap();
    let (isolated, third) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.subscribe(isolated, 1);
    for change in 0..CHANGES {
        if change == ISOLATED_CHANGES.start {
            cluster.isolate(isolated);
        }
        if change == ISOLATED_CHANGES.end {
            cluster.heal();
        }
        commit_at(
            &mut cluster,
            leader,
            large_put(change * 2, (change + 1) * 2, change),
        );
    }
    let newest = CHANGES * 2;
    // The isolated member crashes several times while its snapshot is in flight.
    for _ in 0..3 {
        cluster.run_for(1_000);
        cluster.crash(isolated);
        cluster.run_for(300);
        cluster.start(isolated);
    }
    cluster.run_for(20_000);
    assert_eq!(
        cluster.process(isolated).unwrap().state().generation(),
        newest,
        "the isolated member has not caught up"
    );
    // The third node loses its disk and restarts. Then the leader crashes and stays down.
    cluster.wipe_disk(third);
    cluster.start(third);
    cluster.run_for(20_000);
    cluster.crash(leader);
    cluster.run_for(5_000);
    assert_eq!(read_generation(&mut cluster, isolated), Some(newest));
    commit(&mut cluster, &put(newest, newest + 1));
    assert_invariants(&mut cluster);
}

/// A put of a configuration. One in 100 changes contains 40 kB of random text, which is hard to
/// compress.
fn large_put(base: u64, generation: u64, change: u64) -> Command {
    let mut document: serde_json::Value =
        serde_json::from_slice(&configuration(generation, 0)).unwrap();
    if change % 100 == 99 {
        let mut random = fastrand::Rng::with_seed(change);
        let padding: String = std::iter::repeat_with(|| random.alphanumeric())
            .take(40_000)
            .collect();
        document["note"] = serde_json::Value::String(padding);
    }
    Command::Put {
        base,
        body: serde_json::to_vec(&document).unwrap(),
    }
}

/// Incident 4: a balancer resubscribes at a node that installed a snapshot after the balancer had
/// unsubscribed. The balancer must receive the changes that the node got by the snapshot.
#[test]
fn a_balancer_that_resubscribes_misses_no_change_that_its_node_got_as_a_snapshot() {
    for seed in 0..INCIDENT_SEEDS {
        let mut cluster = ClusterBuilder::new(seed).build();
        commit(&mut cluster, &put(0, 2));
        let leader = cluster.leader().unwrap();
        let isolated = (leader + 1) % 3;
        cluster.subscribe(isolated, 1);
        let balancer = cluster.unsubscribe(isolated, 1).unwrap();
        cluster.isolate(isolated);
        for change in 1..1_100 {
            commit_at(&mut cluster, leader, put(change * 2, (change + 1) * 2));
        }
        cluster.heal();
        cluster.run_for(4_000);
        cluster.resubscribe(isolated, 1, balancer);
        let newest = 1_100 * 2;
        commit_at(&mut cluster, leader, put(newest, newest + 2));
        cluster.run_for(500);
        assert_eq!(
            cluster.balancer(isolated, 1).state.generation(),
            newest + 2,
            "seed {seed}"
        );
        assert_invariants(&mut cluster);
    }
}
