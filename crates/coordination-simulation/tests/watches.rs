//! Watches at machines that lag.

use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command};
use woadstall_coordination::machine::WatchRequest;
use woadstall_coordination_simulation::checks;
use woadstall_coordination_simulation::clients::{FinalClient, FinalGoal};
use woadstall_coordination_simulation::cluster::{Cluster, Direction, SIX_IN_THREE_REGIONS};
use woadstall_coordination_simulation::history::Request;

/// How long the machines have to form their group, in milliseconds.
const STARTUP_MS: u64 = 6_000;
/// How long a call may take, in milliseconds.
const CALL_MS: u64 = 1_500;
/// How long the partition lasts: longer than all calls, in milliseconds.
const PARTITION_MS: u64 = 20_000;
/// How long the watch may take, in milliseconds.
const WATCH_MS: u64 = 5_000;
const PUTS_BEFORE: u64 = 2;
const PUTS_AFTER: u64 = 5;
/// The greatest seed.
const SEEDS: u64 = 5;

fn put(cluster: &mut Cluster, node: NodeIndex, number: u64) {
    let call = Call::Command(Command::Put {
        key: "group.key".to_owned(),
        value: format!("value-{number}"),
        if_revision: None,
    });
    FinalClient::add(cluster, Request::Call(call), FinalGoal::Executed, node);
    cluster.run(CALL_MS);
}

/// Incident LOST: a machine that was cut off answered a resumed watch with what it had.
#[test]
fn a_resumed_watch_does_not_lag_at_a_machine_that_was_cut_off() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, SIX_IN_THREE_REGIONS);
        cluster.run(STARTUP_MS);
        let leader = cluster.leader().expect("there is a leader");
        (0..PUTS_BEFORE).for_each(|number| put(&mut cluster, leader, number));
        let cut_off = (leader + 1) % SIX_IN_THREE_REGIONS.nodes;
        cluster.partition(&[cut_off], Direction::Inbound, PARTITION_MS);
        (PUTS_BEFORE..PUTS_AFTER).for_each(|number| put(&mut cluster, leader, number));
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
            FinalGoal::EventsUpTo(PUTS_AFTER),
            cut_off,
        );
        cluster.run(WATCH_MS);
        let result = checks::check(&cluster.history);
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}
