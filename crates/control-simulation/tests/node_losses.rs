//! Losses of disks, power and nodes, and the membership changes that repair them.

mod common;

use common::{CATCH_UP_MS, ClusterBuilder, SIX, THREE, assert_sound, commit, read_generation};
use rstest::rstest;
use woadstall_control::machine::CallResponse;
use woadstall_control_simulation::cluster::{Cluster, Topology};
use woadstall_control_simulation::scenario::fixtures::put;

/// Seeds of each test.
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
                cluster.run(50);
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
            cluster.run(8_000);
            let read = read_generation(&mut cluster, wiped).expect("a quorum is there");
            assert!(
                read >= generation,
                "round {round}: {read} instead of {generation}"
            );
            generation = read;
        }
    }
}

/// What happens to a node first.
#[derive(Clone, Copy, Debug)]
enum FirstLoss {
    Wipe,
    Replace,
    ReplacePlanned,
}

/// What happens to the others then.
#[derive(Clone, Copy, Debug)]
enum SecondLoss {
    /// All crash at any moment.
    Power,
    /// Once the first has caught up, another one loses its disk.
    Wipe,
    /// The same, and at that moment all others crash.
    WipeAndPower,
    /// Once the first has caught up, another one crashes and stays down.
    Down,
}

fn apply_first(cluster: &mut Cluster, first: FirstLoss, node: usize) -> usize {
    match first {
        FirstLoss::Wipe => {
            cluster.wipe_disk(node);
            cluster.start(node);
            node
        }
        FirstLoss::Replace => {
            cluster.remove(node);
            cluster.run(1_000);
            cluster.add()
        }
        FirstLoss::ReplacePlanned => {
            let added = cluster.add();
            cluster.run(1_000);
            cluster.announce_shutdown(node);
            cluster.run(600);
            cluster.remove(node);
            added
        }
    }
}

fn apply_second(cluster: &mut Cluster, second: SecondLoss, node: usize) {
    let all: Vec<usize> = (0..cluster.len()).collect();
    match second {
        SecondLoss::Power => all.iter().for_each(|node| cluster.crash(*node)),
        SecondLoss::Wipe => cluster.wipe_disk(node),
        SecondLoss::WipeAndPower => {
            all.iter()
                .filter(|other| **other != node)
                .for_each(|other| cluster.crash(*other));
            cluster.wipe_disk(node);
        }
        SecondLoss::Down => {
            cluster.crash(node);
            return;
        }
    }
    all.iter().for_each(|node| cluster.start(*node));
}

/// The number of moments of the second loss; `WOADSTALL_SEEDS` sets another one.
fn steps() -> u64 {
    std::env::var("WOADSTALL_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(16)
}

/// Incident 3: every order of losses, around each step of the membership change.
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
    let is_any_moment = matches!(second, SecondLoss::Power);
    for step in 0..steps() {
        for lost in 0..topology.nodes {
            let mut cluster = ClusterBuilder::new(step)
                .topology(topology)
                .startup_ms(9_000)
                .build();
            commit(&mut cluster, &put(0, 5));
            // The command is in flight while the node is lost, which may have the only copy of what
            // is not acknowledged yet.
            cluster.submit(lost, put(5, 6));
            cluster.run(step * 13);
            let newcomer = apply_first(&mut cluster, first, lost);
            let wait = if is_any_moment {
                step * 120
            } else {
                CATCH_UP_MS + step * 17
            };
            cluster.run(wait);
            let victims =
                (0..cluster.len()).filter(|node| *node != newcomer && cluster.is_present(*node));
            let victim = victims.cycle().nth(step as usize % 3).unwrap();
            let known = cluster.submit(victim, put(5, 6));
            cluster.run(500);
            let acknowledged = cluster.responses.get(&known) == Some(&CallResponse::Acknowledged);
            apply_second(&mut cluster, second, victim);
            cluster.run(CATCH_UP_MS);
            let requests = (0..cluster.len())
                .find(|node| cluster.process(*node).is_some())
                .unwrap();
            let Some(read) = read_generation(&mut cluster, requests) else {
                let course = cluster.describe();
                panic!(
                    "no quorum: {first:?}, {second:?}, step {step}, node {lost}, then {victim}\n{course}"
                );
            };
            assert!(
                read >= if acknowledged { 6 } else { 5 },
                "{first:?}, {second:?}, step {step}: generation {read}"
            );
            commit(&mut cluster, &put(read, read + 1));
            assert_sound(&mut cluster);
        }
    }
}
