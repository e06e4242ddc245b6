//! Watches on machines that have not applied all committed entries.

use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command};
use woadstall_coordination::machine::WatchRequest;
use woadstall_coordination_simulation::checks;
use woadstall_coordination_simulation::clients::{FinalClient, FinalGoal};
use woadstall_coordination_simulation::cluster::{Cluster, Direction, SIX_IN_THREE_REGIONS};
use woadstall_coordination_simulation::history::Request;

/// Time for the machines to form their consensus group, in milliseconds.
const STARTUP_MS: u64 = 6_000;
/// Time for a put to be executed, in milliseconds.
const CALL_MS: u64 = 1_500;
/// Duration of the partition, in milliseconds; longer than all requests take.
const PARTITION_MS: u64 = 20_000;
/// Time for the watch to reach the last revision, in milliseconds.
const WATCH_MS: u64 = 5_000;
/// Number of puts before the partition.
const PUTS_BEFORE_PARTITION: u64 = 2;
/// Number of all puts.
const TOTAL_PUTS: u64 = 5;
/// Number of seeds.
const SEEDS: u64 = 5;

fn put(cluster: &mut Cluster, node: NodeIndex, number: u64) {
    let call = Call::Command(Command::Put {
        key: "group.key".to_owned(),
        value: format!("value-{number}"),
        if_revision: None,
    });
    FinalClient::add(cluster, Request::Call(call), FinalGoal::Executed, node);
    cluster.run_for(CALL_MS);
}

/// Incident LOST: a partitioned machine answered a resumed watch from its outdated state, without
/// events that had been acknowledged. The machine must answer only once its state is current.
#[test]
fn a_resumed_watch_does_not_lag_on_a_partitioned_machine() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, SIX_IN_THREE_REGIONS);
        cluster.run_for(STARTUP_MS);
        let leader = cluster.leader().expect("there is a leader");
        (0..PUTS_BEFORE_PARTITION).for_each(|number| put(&mut cluster, leader, number));
        let partitioned = (leader + 1) % SIX_IN_THREE_REGIONS.nodes;
        cluster.partition(&[partitioned], Direction::Inbound, PARTITION_MS);
        (PUTS_BEFORE_PARTITION..TOTAL_PUTS).for_each(|number| put(&mut cluster, leader, number));
        let watch = Request::Watch {
            watch: WatchRequest {
                group: "group".to_owned(),
                after: 1,
                wait_ms: 1_000,
            },
            received_ms: cluster.now_ms,
        };
        FinalClient::add(
            &mut cluster,
            watch,
            FinalGoal::EventsUpTo(TOTAL_PUTS),
            partitioned,
        );
        cluster.run_for(WATCH_MS);
        let result = checks::check(&cluster.history);
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}
