//! Simulations of a group under faults, in virtual time. The seed determines the run. A test that
//! runs several seeds prints each seed first, so that a failing run can be repeated.

mod support;

use rstest::rstest;
use support::{ADVERSE, Conditions, Group, HEALTHY};
use woadstall_consensus::LogPosition;

/// The number of seeds of each scenario, unless `WOADSTALL_SEEDS` sets another number.
const SEEDS: u64 = 60;

fn seeds() -> u64 {
    std::env::var("WOADSTALL_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(SEEDS)
}

/// A command that a leader has appended to its log.
#[derive(Clone, Copy)]
struct AcceptedCommand {
    position: LogPosition,
    command: u8,
}

/// The commands that leaders have appended to their logs, in order.
#[derive(Default)]
struct AcceptedCommands {
    last_command: u8,
    commands: Vec<AcceptedCommand>,
}

impl AcceptedCommands {
    fn propose(&mut self, group: &mut Group) {
        let random_host = group.random.usize(..group.len());
        let host = group.leader().unwrap_or(random_host);
        self.last_command = self.last_command.wrapping_add(1);
        let command = self.last_command;
        if let Some(position) = group.propose(host, &[command]) {
            self.commands.push(AcceptedCommand { position, command });
        }
    }
}

/// Removes all faults. Asserts that a leader is elected, that a new command is committed, that all
/// replicas have the leader's state, and that no committed command is lost.
fn assert_recovers(group: &mut Group, accepted: &mut AcceptedCommands) {
    group.partitions.clear();
    group.conditions = HEALTHY;
    let is_committed = |accepted: &AcceptedCommand| group.is_committed(accepted.position);
    let committed: Vec<AcceptedCommand> = accepted
        .commands
        .iter()
        .copied()
        .filter(is_committed)
        .collect();
    (0..group.len()).for_each(|host| group.start(host));
    group.run(15_000);
    let leader = group.leader().expect("a leader in a healthy group");
    let position = group
        .propose(leader, &[255])
        .expect("the leader accepts a command");
    group.run(3_000);
    assert!(
        group.is_committed(position),
        "a command is not committed in a healthy group"
    );
    for machine in 0..group.len() {
        assert_eq!(
            group.state(machine),
            group.state(leader),
            "the state of machine {machine} differs from the leader's state"
        );
    }
    let mut state = group.state(leader).iter();
    for AcceptedCommand { position, command } in committed {
        assert!(
            state.any(|other| *other == command),
            "the committed command {command} at {position:?} is lost"
        );
    }
}

#[rstest]
#[case::healthy_network(HEALTHY)]
#[case::adverse_network(ADVERSE)]
fn a_group_of_three_is_founded_and_accepts_commands(#[case] conditions: Conditions) {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let (mut group, mut accepted) =
            (Group::new(seed, 3, conditions), AcceptedCommands::default());
        group.run(8_000);
        assert!(group.leader().is_some());
        for _ in 0..60 {
            accepted.propose(&mut group);
            group.run(100);
        }
        assert_recovers(&mut group, &mut accepted);
    }
}

#[test]
fn replicas_that_are_not_founders_join() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let mut group = Group::new(seed, 5, HEALTHY);
        group.run(6_000);
        let leader = group.leader().expect("a leader");
        let members = group
            .replica(leader)
            .expect("a running replica")
            .membership();
        assert_eq!(members.voters.len(), 5);
    }
}

#[rstest]
#[case::without_reports(false)]
#[case::with_reports(true)]
fn no_committed_command_is_lost_over_crashes_and_partitions(#[case] sends_reports: bool) {
    for seed in 0..seeds() * 2 {
        println!("seed {seed}");
        let (mut group, mut accepted) = (Group::new(seed, 5, ADVERSE), AcceptedCommands::default());
        group.sends_reports = sends_reports;
        for _ in 0..80 {
            match group.random.u8(..10) {
                0 => {
                    let host = group.random.usize(..5);
                    group.stop(host);
                }
                1 | 2 => (0..5).for_each(|host| group.start(host)),
                3 => {
                    let (from, to) = (group.random.usize(..5), group.random.usize(..5));
                    group.partitions.insert((from, to));
                }
                4 => group.partitions.clear(),
                5 => {
                    let (host, duration_ms) = (group.random.usize(..5), group.random.u64(..3_000));
                    group.stall_disk(host, duration_ms);
                }
                6 => {
                    if let Some(leader) = group.leader() {
                        group.transfer(leader);
                    }
                }
                _ => accepted.propose(&mut group),
            }
            let duration_ms = group.random.u64(20..600);
            group.run(duration_ms);
        }
        assert_recovers(&mut group, &mut accepted);
    }
}

#[rstest]
#[case::without_reports(false)]
#[case::with_reports(true)]
fn no_committed_command_is_lost_over_a_lost_disk_and_a_power_loss_everywhere(
    #[case] sends_reports: bool,
) {
    for seed in 0..seeds() * 2 {
        println!("seed {seed}");
        let size = if seed % 2 == 0 { 3 } else { 5 };
        let (mut group, mut accepted) =
            (Group::new(seed, size, HEALTHY), AcceptedCommands::default());
        group.sends_reports = sends_reports;
        group.run(6_000);
        for _ in 0..4 {
            for _ in 0..8 {
                accepted.propose(&mut group);
                let duration_ms = group.random.u64(..40);
                group.run(duration_ms);
            }
            let lost_host = group.random.usize(..size);
            (0..size)
                .filter(|host| *host != lost_host)
                .for_each(|host| group.stop(host));
            group.lose_disk(lost_host);
            (0..size).for_each(|host| group.start(host));
            // The shortest time between two losses that the deployment tolerates.
            group.run(8_000);
        }
        assert_recovers(&mut group, &mut accepted);
    }
}

#[test]
fn a_member_without_its_disk_never_votes_under_its_old_identity() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let mut group = Group::new(seed, 3, HEALTHY);
        group.run(5_000);
        group.lose_disk(1);
        group.start(1);
        group.run(5_000);
        let leader = group.leader().expect("a leader");
        let members = group
            .replica(leader)
            .expect("a running replica")
            .membership()
            .clone();
        assert_eq!(members.voters.len(), 3);
        assert!(!members.is_voter(2), "the lost identity is still a voter");
        let new_id = group.replica(1).expect("a running replica").id();
        assert!(members.is_voter(new_id));
    }
}

#[test]
fn a_lost_member_loses_its_vote_while_enough_members_remain() {
    let mut group = Group::new(7, 4, HEALTHY);
    group.run(5_000);
    group.stop(3);
    group.run(10_000);
    let leader = group.leader().expect("a leader");
    assert_eq!(
        group
            .replica(leader)
            .expect("a running replica")
            .membership()
            .voters
            .len(),
        3
    );
    group.stop((leader + 1) % 3);
    group.run(10_000);
    let leader = group.leader().expect("two of three are a quorum");
    let members = group
        .replica(leader)
        .expect("a running replica")
        .membership();
    assert_eq!(
        members.voters.len(),
        3,
        "a voter was removed although too few members remain"
    );
}

#[test]
fn a_partitioned_leader_steps_down_and_another_is_elected() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let mut group = Group::new(seed, 5, HEALTHY);
        group.run(5_000);
        let old = group.leader().expect("a leader");
        for other in (0..5).filter(|other| *other != old) {
            group.partitions.insert((old, other));
            group.partitions.insert((other, old));
        }
        group.run(5_000);
        assert!(!group.replica(old).expect("a running replica").is_leader());
        let new = group.leader().expect("the others have a quorum");
        assert_ne!(new, old);
    }
}

#[test]
fn a_leadership_transfer_is_faster_than_an_election() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let mut group = Group::new(seed, 3, HEALTHY);
        group.run(5_000);
        let old = group.leader().expect("a leader");
        group.transfer(old);
        group.run(200);
        let new = group.leader().expect("a leader after the transfer");
        assert_ne!(new, old, "no other replica became the leader");
    }
}

#[test]
fn a_restarted_replica_applies_its_committed_entries_before_there_is_a_leader() {
    let mut group = Group::new(3, 3, HEALTHY);
    group.run(5_000);
    let leader = group.leader().expect("a leader");
    group.propose(leader, &[9]);
    group.run(1_000);
    (0..3).for_each(|host| group.stop(host));
    group.start(1);
    assert_eq!(group.state(1), &[9]);
    assert!(group.leader().is_none());
}

#[rstest]
#[case::without_reports(false)]
#[case::with_reports(true)]
fn followers_commit_ahead_of_their_leader_only_by_its_reports(#[case] sends_reports: bool) {
    let mut early_commits = 0;
    for seed in 0..seeds() {
        println!("seed {seed}");
        let (mut group, mut accepted) = (Group::new(seed, 5, HEALTHY), AcceptedCommands::default());
        group.run(6_000);
        group.sends_reports = sends_reports;
        for _ in 0..20 {
            accepted.propose(&mut group);
            group.run(50);
        }
        early_commits += group.early_commits;
        assert_recovers(&mut group, &mut accepted);
    }
    assert_eq!(early_commits > 0, sends_reports, "{early_commits}");
}

/// Runs a group under every kind of fault, with membership changes and reads. Returns the checksum
/// over all outputs of the replicas.
fn run_trace(seed: u64) -> u32 {
    const SIZE: usize = 6;
    let (mut group, mut accepted) = (Group::new(seed, SIZE, ADVERSE), AcceptedCommands::default());
    for step in 0..150 {
        let host = group.random.usize(..SIZE);
        match group.random.u8(..14) {
            0 if step % 2 == 0 => group.stop(host),
            0..=3 => (0..SIZE).for_each(|host| group.start(host)),
            4 => {
                let to = group.random.usize(..SIZE);
                group.partitions.insert((host, to));
            }
            5 => group.partitions.clear(),
            6 => group.stall_disk(host, 800),
            7 => group.transfer(group.leader().unwrap_or(host)),
            8 if step % 4 == 0 => {
                group.lose_disk(host);
                group.start(host);
            }
            8 | 9 => group.read(group.leader().unwrap_or(host), step),
            _ => accepted.propose(&mut group),
        }
        let duration_ms = group.random.u64(20..600);
        group.run(duration_ms);
    }
    group.trace()
}

/// Guards against unintended changes of the replicas' decisions, their order and their random
/// draws.
#[test]
fn recorded_runs_have_the_same_outputs() {
    const TRACES: [u32; 8] = [
        3650748897, 4033664841, 3141416959, 2656014343, 519440317, 4082559295, 2966888331,
        1028522739,
    ];
    let traces: Vec<u32> = (0..TRACES.len() as u64).map(run_trace).collect();
    assert_eq!(traces, TRACES);
}
