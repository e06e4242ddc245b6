//! Losses of disks, power and nodes, and the membership changes that repair the group.

mod common;

use common::{CATCH_UP_MS, ClusterBuilder, SIX, THREE, assert_invariants, commit, read_generation};
use rstest::rstest;
use woadstall_control::machine::CallResponse;
use woadstall_control_simulation::cluster::{Cluster, Topology};
use woadstall_control_simulation::scenario::fixtures::put;

/// Number of seeds.
const SEEDS: u64 = 20;

#[test]
fn acknowledged_configurations_survive_a_restart_of_all_and_the_loss_of_one_disk() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = ClusterBuilder::new(seed).build();
        let mut generation = 0;
        for round in 0..5 {
            let node = cluster.random.usize(..3);
            let token = cluster.submit(node, put(generation, generation + 3));
            while !cluster.responses.contains_key(&token) {
                cluster.run_for(50);
            }
            if cluster.responses[&token] == CallResponse::Acknowledged {
                generation += 3;
            }
            let wiped = cluster.random.usize(..3);
            (0..3)
                .filter(|node| *node != wiped)
                .for_each(|node| cluster.stop(node));
            cluster.wipe_disk(wiped);
            (0..3).for_each(|node| cluster.start(node));
            cluster.run_for(8_000);
            let read = read_generation(&mut cluster, wiped).expect("a quorum is available");
            assert!(
                read >= generation,
                "round {round}: read generation {read} after {generation} was acknowledged"
            );
            generation = read;
        }
    }
}

/// The loss of the first node.
#[derive(Clone, Copy, Debug)]
enum FirstLoss {
    /// The node loses its disk and restarts.
    Wipe,
    /// The node is removed and replaced by a new one.
    Replace,
    /// A new node is added before the old one gets notice and is removed.
    ReplacePlanned,
}

/// The loss that follows the first one.
#[derive(Clone, Copy, Debug)]
enum SecondLoss {
    /// All nodes crash at the same time, possibly before the first node has caught up.
    Power,
    /// Another node loses its disk after the first node has caught up.
    Wipe,
    /// Another node loses its disk after the first node has caught up, and all others crash at the
    /// same time.
    WipeAndPower,
    /// Another node crashes after the first node has caught up, and stays down.
    Down,
}

/// Applies the first loss to a node. Returns the node that replaces it, or the node itself.
fn apply_first_loss(cluster: &mut Cluster, first: FirstLoss, node: usize) -> usize {
    match first {
        FirstLoss::Wipe => {
            cluster.wipe_disk(node);
            cluster.start(node);
            node
        }
        FirstLoss::Replace => {
            cluster.remove_node(node);
            cluster.run_for(1_000);
            cluster.add_node()
        }
        FirstLoss::ReplacePlanned => {
            let added = cluster.add_node();
            cluster.run_for(1_000);
            cluster.announce_shutdown(node);
            cluster.run_for(600);
            cluster.remove_node(node);
            added
        }
    }
}

/// Applies the second loss to a node, and restarts all nodes except one that stays down.
fn apply_second_loss(cluster: &mut Cluster, second: SecondLoss, node: usize) {
    let all_nodes: Vec<usize> = (0..cluster.len()).collect();
    match second {
        SecondLoss::Power => all_nodes.iter().for_each(|node| cluster.crash(*node)),
        SecondLoss::Wipe => cluster.wipe_disk(node),
        SecondLoss::WipeAndPower => {
            all_nodes
                .iter()
                .filter(|other| **other != node)
                .for_each(|other| cluster.crash(*other));
            cluster.wipe_disk(node);
        }
        SecondLoss::Down => {
            cluster.crash(node);
            return;
        }
    }
    all_nodes.iter().for_each(|node| cluster.start(*node));
}

/// Number of points in time at which each combination of losses is tried; `WOADSTALL_SEEDS`
/// overrides the default.
fn steps() -> u64 {
    std::env::var("WOADSTALL_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(16)
}

/// Incident 3: a second loss after the repair of a first one must leave a quorum with all
/// acknowledged configurations. The test tries all combinations of losses at different times of the
/// membership change.
#[rstest]
fn a_second_loss_after_a_repair_keeps_a_quorum_with_all_that_was_acknowledged(
    #[values(FirstLoss::Wipe, FirstLoss::Replace, FirstLoss::ReplacePlanned)] first: FirstLoss,
    #[values(
        SecondLoss::Power,
        SecondLoss::Wipe,
        SecondLoss::WipeAndPower,
        SecondLoss::Down
    )]
    second: SecondLoss,
    #[values(THREE, SIX)] topology: Topology,
) {
    let is_during_repair = matches!(second, SecondLoss::Power);
    for step in 0..steps() {
        for lost in 0..topology.nodes {
            let mut cluster = ClusterBuilder::new(step)
                .topology(topology)
                .startup_ms(9_000)
                .build();
            commit(&mut cluster, &put(0, 5));
            // The command is in flight while the node is lost. The node may have the only copy of
            // the command, which is not acknowledged yet.
            cluster.submit(lost, put(5, 6));
            cluster.run_for(step * 13);
            let repaired = apply_first_loss(&mut cluster, first, lost);
            let wait_ms = if is_during_repair {
                step * 120
            } else {
                CATCH_UP_MS + step * 17
            };
            cluster.run_for(wait_ms);
            let candidates =
                (0..cluster.len()).filter(|node| *node != repaired && cluster.is_present(*node));
            let second_lost = candidates.cycle().nth(step as usize % 3).unwrap();
            let token = cluster.submit(second_lost, put(5, 6));
            cluster.run_for(500);
            let acknowledged = cluster.responses.get(&token) == Some(&CallResponse::Acknowledged);
            apply_second_loss(&mut cluster, second, second_lost);
            cluster.run_for(CATCH_UP_MS);
            let running = (0..cluster.len())
                .find(|node| cluster.process(*node).is_some())
                .unwrap();
            let Some(read) = read_generation(&mut cluster, running) else {
                let description = cluster.describe();
                panic!(
                    "no quorum: {first:?} of node {lost}, then {second:?} of node {second_lost}, \
                     step {step}\n{description}"
                );
            };
            assert!(
                read >= if acknowledged { 6 } else { 5 },
                "{first:?}, {second:?}, step {step}: read generation {read}"
            );
            commit(&mut cluster, &put(read, read + 1));
            assert_invariants(&mut cluster);
        }
    }
}
