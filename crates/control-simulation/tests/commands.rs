//! Commands of operators: commits, conflicts and retries of commands.

mod common;

use common::{ClusterBuilder, SIX, assert_invariants, commit, read_generation};
use rstest::rstest;
use std::collections::BTreeSet;
use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;
use woadstall_control_simulation::cluster::Cluster;
use woadstall_control_simulation::network::DELAYED_DELIVERY;
use woadstall_control_simulation::scenario::fixtures::{configuration, put};

/// Number of seeds of each test.
const SEEDS: u64 = 20;
/// Base number of seeds of the incident tests.
const INCIDENT_SEEDS: u64 = 12;

#[rstest]
#[case::node_0(0)]
#[case::node_1(1)]
#[case::node_2(2)]
fn a_command_is_committed_through_any_node_within_300_ms(#[case] node: usize) {
    let mut cluster = ClusterBuilder::new(1).build();
    let token = cluster.submit(node, put(0, 5));
    // Two round trips between regions: one to forward the command, one to replicate it.
    cluster.run_for(300);
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
    cluster.run_for(2_000);
    assert!(cluster.responses.contains_key(&token));
    let retry = cluster.submit(1, put(0, 5));
    cluster.run_for(1_000);
    assert_eq!(
        cluster.responses.get(&retry),
        Some(&CallResponse::Acknowledged),
        "response to the same command at another node"
    );
}

#[test]
fn of_two_concurrent_puts_on_one_generation_one_is_committed() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = ClusterBuilder::new(seed).build();
        cluster.submit(0, put(0, 5));
        cluster.run_for(1_000);
        let tokens = [cluster.submit(1, put(5, 7)), cluster.submit(2, put(5, 8))];
        cluster.run_for(1_000);
        let responses = tokens.map(|token| &cluster.responses[&token]);
        let acknowledged = responses
            .iter()
            .filter(|response| ***response == CallResponse::Acknowledged)
            .count();
        let conflicts = responses
            .iter()
            .filter(|response| matches!(response, CallResponse::Conflict { .. }))
            .count();
        assert_eq!((acknowledged, conflicts), (1, 1), "{responses:?}");
    }
}

/// Incident 2: two operators submit different configurations of the same generation, and both retry
/// their commands after the responses were lost. Retries of the committed command must not be
/// rejected.
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
            let first_tokens: Vec<u64> = (0..2)
                .map(|operator| cluster.submit(nodes[operator], rivals[operator].clone()))
                .collect();
            let wait_ms = cluster.random.u64(..300);
            cluster.run_for(wait_ms);
            // One of the nodes that received the commands restarts before it responds.
            cluster.crash(nodes[round % 2]);
            cluster.start(nodes[round % 2]);
            // The operators treat the responses as lost, and both retry at other nodes.
            let mut committed = BTreeSet::new();
            for (operator, token) in first_tokens.iter().enumerate() {
                if cluster.responses.get(token) == Some(&CallResponse::Acknowledged) {
                    committed.insert(operator);
                }
            }
            for attempt in 0..12 {
                for (operator, rival) in rivals.iter().enumerate() {
                    let node = (nodes[operator] + attempt + 1) % 6;
                    let token = cluster.submit(node, rival.clone());
                    cluster.run_for(700);
                    match cluster.responses.get(&token) {
                        Some(CallResponse::Acknowledged) => drop(committed.insert(operator)),
                        Some(CallResponse::Conflict { .. }) => {
                            assert!(
                                !committed.contains(&operator),
                                "seed {seed}: a retry of the committed command was rejected"
                            );
                        }
                        _ => {}
                    }
                }
            }
            assert_eq!(
                committed.len(),
                1,
                "seed {seed}, round {round}: commands of operators {committed:?} were committed"
            );
            generation += 3;
        }
        cluster.clear_faults();
        cluster.run_for(DELAYED_DELIVERY.delayed_delivery_ms + 5_000);
        assert_invariants(&mut cluster);
    }
}

/// Incidents 2 and 5: a node restarts while a command that it forwarded is pending at the leader.
/// The leader's response to the old process must not confirm a command of the new process.
#[test]
fn a_response_to_an_old_process_confirms_no_command_of_the_new_one() {
    let mut relevant_seeds = 0;
    for seed in 0..INCIDENT_SEEDS * 4 {
        let mut cluster = ClusterBuilder::new(seed).build();
        let leader = cluster.leader().unwrap();
        let (forwarder, other) = ((leader + 1) % 3, (leader + 2) % 3);
        // The command waits at the leader for the stalled disk, while the forwarding node restarts.
        cluster.stall_disk(other, 900);
        cluster.submit(forwarder, put(0, 5));
        cluster.run_for(100);
        cluster.crash(forwarder);
        cluster.run_for(50);
        cluster.start(forwarder);
        cluster.stall_disk(forwarder, 2_000);
        cluster.run_for(350 + seed);
        let next = cluster.submit(forwarder, put(0, 6));
        cluster.run_for(2_000);
        let current = cluster.process(leader).unwrap().state().generation();
        let response = cluster.responses.get(&next);
        if current == 5 {
            relevant_seeds += 1;
            assert_ne!(
                response,
                Some(&CallResponse::Acknowledged),
                "seed {seed}: generation 6 was never committed"
            );
        }
        cluster.clear_faults();
        cluster.run_for(5_000);
        assert_invariants(&mut cluster);
    }
    assert!(
        relevant_seeds > INCIDENT_SEEDS,
        "only {relevant_seeds} seeds committed the command of the old process"
    );
}
