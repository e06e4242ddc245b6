//! Isolated nodes, and packets that arrive late.

mod common;

use common::{
    CLIENT_TIMEOUT_MS, ClusterBuilder, assert_invariants, commit, end_evacuation, evacuate,
    read_generation,
};
use rstest::rstest;
use woadstall_control::machine::CallResponse;
use woadstall_control::registry::UpstreamStatus;
use woadstall_control_simulation::cluster::Cluster;
use woadstall_control_simulation::network::{DELAYED_DELIVERY, NetworkConditions, STEADY};
use woadstall_control_simulation::scenario::fixtures::{put, registration};

/// Number of seeds of each test.
const SEEDS: u64 = 20;
/// Base number of seeds of the incident tests.
const INCIDENT_SEEDS: u64 = 12;

#[test]
fn an_isolated_node_gives_no_wrong_response_and_catches_up() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = ClusterBuilder::new(seed).build();
        let isolated = cluster.leader().unwrap();
        let other = (isolated + 1) % 3;
        cluster.isolate(isolated);
        let isolated_put = cluster.submit(isolated, put(0, 5));
        cluster.run_for(5_000);
        assert_eq!(
            cluster.responses.get(&isolated_put),
            Some(&CallResponse::Indeterminate)
        );
        assert_eq!(
            read_generation(&mut cluster, isolated),
            None,
            "an isolated node cannot know the newest generation"
        );
        let committed_put = cluster.submit(other, put(0, 9));
        cluster.run_for(1_000);
        assert_eq!(
            cluster.responses.get(&committed_put),
            Some(&CallResponse::Acknowledged)
        );
        cluster.heal();
        cluster.run_for(5_000);
        assert_eq!(read_generation(&mut cluster, isolated), Some(9));
    }
}

/// Sends one request of each kind to a node. Returns the tokens of the requests.
fn send_all_requests(cluster: &mut Cluster, node: usize, generation: u64, second: u64) -> Vec<u64> {
    let rival = put(generation, generation + 100 + second);
    let evacuation = match second % 2 {
        0 => evacuate(),
        _ => end_evacuation(),
    };
    let draining = registration("i-1", second + 1, UpstreamStatus::Draining);
    vec![
        cluster.submit(node, rival),
        cluster.submit(node, evacuation),
        cluster.read(node),
        cluster.register(node, draining),
        cluster.deregister(node, "i-unknown"),
    ]
}

/// Incident 1: an isolated node receives commands and reads for 20 s. The packets that it sent
/// arrive after the partition ends. The node must neither confirm nor reject a request, and no
/// command that it received may take effect.
#[rstest]
#[case::the_leader(true, STEADY)]
#[case::a_follower(false, STEADY)]
#[case::the_leader_with_delayed_delivery(true, DELAYED_DELIVERY)]
#[case::a_follower_with_delayed_delivery(false, DELAYED_DELIVERY)]
fn an_isolated_node_confirms_and_rejects_nothing(
    #[case] is_leader: bool,
    #[case] conditions: NetworkConditions,
) {
    const PARTITION_S: u64 = 20;
    for seed in 0..INCIDENT_SEEDS {
        let mut cluster = ClusterBuilder::new(seed).network(conditions).build();
        commit(&mut cluster, &put(0, 5));
        let leader = cluster.leader().unwrap();
        let isolated = if is_leader { leader } else { (leader + 1) % 3 };
        let others: Vec<usize> = (0..3).filter(|node| *node != isolated).collect();
        cluster.subscribe(isolated, 1);
        cluster.isolate(isolated);
        let mut generation = 5;
        for second in 0..PARTITION_S {
            let requests = send_all_requests(&mut cluster, isolated, generation, second);
            let node = others[second as usize % 2];
            let next_put = cluster.submit(node, put(generation, generation + 2));
            cluster.run_for(CLIENT_TIMEOUT_MS);
            if cluster.responses.get(&next_put) == Some(&CallResponse::Acknowledged) {
                generation += 2;
            }
            for token in requests {
                assert_eq!(
                    cluster.responses.get(&token),
                    Some(&CallResponse::Indeterminate),
                    "seed {seed}, second {second}"
                );
            }
            // With delayed delivery, a follower can't distinguish packets that arrive after their
            // connection was closed from those of a new leader, and may report a quorum.
            if second >= 2 && conditions.delayed_delivery_ms == 0 {
                assert!(
                    !cluster.balancer(isolated, 1).in_quorum,
                    "seed {seed}, second {second}: the isolated node reports a quorum"
                );
            }
        }
        assert!(
            generation > 5 + PARTITION_S,
            "seed {seed}: the other nodes only reached generation {generation}"
        );
        cluster.heal();
        cluster.run_for(3_000);
        for node in 0..3 {
            assert_eq!(
                read_generation(&mut cluster, node),
                Some(generation),
                "seed {seed}, node {node}"
            );
        }
        cluster.run_for(conditions.delayed_delivery_ms);
        let evacuated = &cluster.process(others[0]).unwrap().state().evacuated_zones;
        assert!(
            evacuated.is_empty(),
            "seed {seed}: the unacknowledged evacuation of {evacuated:?} took effect"
        );
        assert_invariants(&mut cluster);
    }
}

/// Incident 1: a late packet with an evacuation command must not evacuate a zone again after its
/// evacuation was ended.
#[test]
fn a_delayed_evacuation_does_not_undo_later_commands() {
    for seed in 0..INCIDENT_SEEDS * 4 {
        let mut cluster = ClusterBuilder::new(seed).network(DELAYED_DELIVERY).build();
        commit(&mut cluster, &put(0, 5));
        let leader = cluster.leader().unwrap();
        let other = (leader + 1) % 3;
        // Packets from this node to the leader are held back.
        cluster.network.partition_direction(other, leader);
        let delayed = cluster.submit(other, evacuate());
        cluster.run_for(CLIENT_TIMEOUT_MS);
        assert_eq!(
            cluster.responses.get(&delayed),
            Some(&CallResponse::Indeterminate),
            "seed {seed}"
        );
        let evacuation = cluster.submit(leader, evacuate());
        cluster.run_for(400);
        assert_eq!(
            cluster.responses.get(&evacuation),
            Some(&CallResponse::Acknowledged),
            "seed {seed}"
        );
        let ending = cluster.submit(leader, end_evacuation());
        cluster.run_for(400);
        assert_eq!(
            cluster.responses.get(&ending),
            Some(&CallResponse::Acknowledged),
            "seed {seed}"
        );
        // The delayed command arrives, in the same term.
        cluster.heal();
        cluster.run_for(DELAYED_DELIVERY.delayed_delivery_ms + 3_000);
        let state = cluster.process(leader).unwrap().state();
        assert!(
            state.evacuated_zones.is_empty(),
            "seed {seed}: the delayed command evacuated the zone again"
        );
        assert_invariants(&mut cluster);
    }
}
