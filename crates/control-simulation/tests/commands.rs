//! Commands of operators: commits, conflicts and retries.

mod common;

use common::{ClusterBuilder, SIX, assert_sound, commit, read_generation};
use rstest::rstest;
use std::collections::BTreeSet;
use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;
use woadstall_control_simulation::cluster::Cluster;
use woadstall_control_simulation::network::DELAYED_DELIVERY;
use woadstall_control_simulation::scenario::fixtures::{configuration, put};

/// Seeds of each test.
const SEEDS: u64 = 20;
/// Seeds of the tests of incidents.
const INCIDENT_SEEDS: u64 = 12;

#[rstest]
#[case::at_a_leader_or_not(0)]
#[case::elsewhere(1)]
#[case::third(2)]
fn a_command_is_committed_through_any_node_in_well_under_a_second(#[case] node: usize) {
    let mut cluster = ClusterBuilder::new(1).build();
    let token = cluster.submit(node, put(0, 5));
    // Two round trips between regions: one to forward the command, one to replicate it.
    cluster.run(300);
    assert_eq!(
        cluster.responses.get(&token),
        Some(&CallResponse::Acknowledged)
    );
    for other in 0..3 {
        assert_eq!(read_generation(&mut cluster, other), Some(5));
    }
}

#[test]
fn a_command_before_the_first_election_waits_for_a_leader() {
    let mut cluster = Cluster::new(2, 3);
    let token = cluster.submit(0, put(0, 5));
    cluster.run(2_000);
    assert!(cluster.responses.contains_key(&token));
    let again = cluster.submit(1, put(0, 5));
    cluster.run(1_000);
    assert_eq!(
        cluster.responses.get(&again),
        Some(&CallResponse::Acknowledged),
        "the same command again"
    );
}

#[test]
fn of_two_concurrent_puts_on_one_generation_one_is_committed() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = ClusterBuilder::new(seed).build();
        cluster.submit(0, put(0, 5));
        cluster.run(1_000);
        let (one, other) = (cluster.submit(1, put(5, 7)), cluster.submit(2, put(5, 8)));
        cluster.run(1_000);
        let responses = [&cluster.responses[&one], &cluster.responses[&other]];
        let won = responses
            .iter()
            .filter(|response| ***response == CallResponse::Acknowledged)
            .count();
        let lost = responses
            .iter()
            .filter(|response| matches!(response, CallResponse::Conflict { .. }))
            .count();
        assert_eq!((won, lost), (1, 1), "{responses:?}");
    }
}

/// Incident 2: two operators choose one generation; and a command is retried after its response was
/// lost.
#[test]
fn of_two_rival_configurations_one_is_committed_and_its_retries_are_never_rejected() {
    for seed in 0..INCIDENT_SEEDS * 2 {
        let mut cluster = ClusterBuilder::new(seed)
            .topology(SIX)
            .network(DELAYED_DELIVERY)
            .startup_ms(8_000)
            .build();
        commit(&mut cluster, &put(0, 5));
        let mut generation = 5;
        for round in 0..6 {
            let rivals: Vec<Command> = (0..2)
                .map(|variant| Command::Put {
                    base: generation,
                    body: configuration(generation + 3, variant),
                })
                .collect();
            let nodes: Vec<usize> = rivals.iter().map(|_| cluster.random.usize(..6)).collect();
            let first: Vec<u64> = (0..2)
                .map(|operator| cluster.submit(nodes[operator], rivals[operator].clone()))
                .collect();
            let wait = cluster.random.u64(..300);
            cluster.run(wait);
            // The node between command and response restarts.
            cluster.crash(nodes[round % 2]);
            cluster.start(nodes[round % 2]);
            // The responses are lost: both retry at other nodes.
            let mut committed = BTreeSet::new();
            for (operator, token) in first.iter().enumerate() {
                if cluster.responses.get(token) == Some(&CallResponse::Acknowledged) {
                    committed.insert(operator);
                }
            }
            for attempt in 0..12 {
                for (operator, rival) in rivals.iter().enumerate() {
                    let node = (nodes[operator] + attempt + 1) % 6;
                    let token = cluster.submit(node, rival.clone());
                    cluster.run(700);
                    match cluster.responses.get(&token) {
                        Some(CallResponse::Acknowledged) => drop(committed.insert(operator)),
                        Some(CallResponse::Conflict { .. }) => {
                            assert!(
                                !committed.contains(&operator),
                                "seed {seed}: committed, and rejected when retried"
                            );
                        }
                        _ => {}
                    }
                }
            }
            assert_eq!(
                committed.len(),
                1,
                "seed {seed}, round {round}: {committed:?} were committed"
            );
            generation += 3;
        }
        cluster.clear_faults();
        cluster.run(DELAYED_DELIVERY.delayed_delivery_ms + 5_000);
        assert_sound(&mut cluster);
    }
}

/// Incidents 2 and 5: what the leader responds to a former process of a node confirms nothing that
/// the new one was asked for.
#[test]
fn a_response_to_a_former_process_confirms_no_other_command() {
    let mut confirmed = 0;
    for seed in 0..INCIDENT_SEEDS * 4 {
        let mut cluster = ClusterBuilder::new(seed).build();
        let leader = cluster.leader().unwrap();
        let (forwarder, other) = ((leader + 1) % 3, (leader + 2) % 3);
        // The command waits at the leader for a disk, while the node that forwarded it restarts.
        cluster.stall_disk(other, 900);
        cluster.submit(forwarder, put(0, 5));
        cluster.run(100);
        cluster.crash(forwarder);
        cluster.run(50);
        cluster.start(forwarder);
        cluster.stall_disk(forwarder, 2_000);
        cluster.run(350 + seed);
        let next = cluster.submit(forwarder, put(0, 6));
        cluster.run(2_000);
        let current = cluster.process(leader).unwrap().state().generation();
        let response = cluster.responses.get(&next);
        if current == 5 {
            confirmed += 1;
            assert_ne!(
                response,
                Some(&CallResponse::Acknowledged),
                "seed {seed}: generation 6 was never committed"
            );
        }
        cluster.clear_faults();
        cluster.run(5_000);
        assert_sound(&mut cluster);
    }
    assert!(
        confirmed > INCIDENT_SEEDS,
        "only {confirmed} seeds brought it about"
    );
}
