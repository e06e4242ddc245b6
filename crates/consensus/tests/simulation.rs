//! The log under faults, in virtual time. Each seed is a course of its own; a failing one prints itself.

mod support;

use rstest::rstest;
use support::{CALM, Group, ROUGH, Weather};
use woadstall_consensus::LogPosition;

/// Seeds of each scenario, unless `WOADSTALL_SEEDS` names another number.
const SEEDS: u64 = 60;

fn seeds() -> u64 {
    std::env::var("WOADSTALL_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(SEEDS)
}

/// Commands that were taken, and where.
#[derive(Default)]
struct Taken {
    next: u8,
    places: Vec<(u64, u64, u8)>,
}

impl Taken {
    fn propose(&mut self, group: &mut Group) {
        let place = group.random.usize(..group.len());
        let at = group.leader().unwrap_or(place);
        self.next = self.next.wrapping_add(1);
        if let Some(LogPosition { index, term }) = group.propose(at, &[self.next]) {
            self.places.push((index, term, self.next));
        }
    }
}

/// All is well again: one leader, a new command is applied everywhere, and nothing that was committed is missing.
fn assert_recovers(group: &mut Group, taken: &mut Taken) {
    group.cuts.clear();
    group.weather = CALM;
    let committed: Vec<(u64, u64, u8)> = taken
        .places
        .iter()
        .copied()
        .filter(|(index, term, _)| group.is_committed(*index, *term))
        .collect();
    (0..group.len()).for_each(|place| group.start(place));
    group.run(15_000);
    let leader = group.leader().expect("no leader although all are there");
    let place = group
        .propose(leader, &[255])
        .expect("the leader takes a command");
    group.run(3_000);
    assert!(
        group.is_committed(place.index, place.term),
        "a command in a calm time is not committed"
    );
    for machine in 0..group.len() {
        assert_eq!(
            group.state(machine),
            group.state(leader),
            "machine {machine} has another state"
        );
    }
    let mut state = group.state(leader).iter();
    for (index, _, command) in committed {
        assert!(
            state.any(|other| *other == command),
            "the committed command {command} at {index} is lost"
        );
    }
}

#[rstest]
#[case::calm(CALM)]
#[case::rough(ROUGH)]
fn a_group_of_three_is_founded_and_takes_commands(#[case] weather: Weather) {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let (mut group, mut taken) = (Group::new(seed, 3, weather), Taken::default());
        group.run(8_000);
        assert!(group.leader().is_some());
        for _ in 0..60 {
            taken.propose(&mut group);
            group.run(100);
        }
        assert_recovers(&mut group, &mut taken);
    }
}

#[test]
fn machines_that_are_no_seeds_join() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let mut group = Group::new(seed, 5, CALM);
        group.run(6_000);
        let leader = group.leader().expect("a leader");
        let members = group.replica(leader).expect("it runs").membership();
        assert_eq!(members.voters.len(), 5);
    }
}

#[test]
fn nothing_committed_is_lost_over_kills_and_cuts() {
    for seed in 0..seeds() * 2 {
        println!("seed {seed}");
        let (mut group, mut taken) = (Group::new(seed, 5, ROUGH), Taken::default());
        for _ in 0..80 {
            match group.random.u8(..10) {
                0 => {
                    let place = group.random.usize(..5);
                    group.stop(place);
                }
                1 | 2 => (0..5).for_each(|place| group.start(place)),
                3 => {
                    let (from, to) = (group.random.usize(..5), group.random.usize(..5));
                    group.cuts.insert((from, to));
                }
                4 => group.cuts.clear(),
                5 => {
                    let (place, time) = (group.random.usize(..5), group.random.u64(..3_000));
                    group.stall_disk(place, time);
                }
                6 => {
                    if let Some(leader) = group.leader() {
                        group.transfer(leader);
                    }
                }
                _ => taken.propose(&mut group),
            }
            let time = group.random.u64(20..600);
            group.run(time);
        }
        assert_recovers(&mut group, &mut taken);
    }
}

#[test]
fn a_lost_disk_and_a_loss_of_power_everywhere_lose_nothing_committed() {
    for seed in 0..seeds() * 2 {
        println!("seed {seed}");
        let size = if seed % 2 == 0 { 3 } else { 5 };
        let (mut group, mut taken) = (Group::new(seed, size, CALM), Taken::default());
        group.run(6_000);
        for _ in 0..4 {
            for _ in 0..8 {
                taken.propose(&mut group);
                let time = group.random.u64(..40);
                group.run(time);
            }
            let wiped = group.random.usize(..size);
            (0..size)
                .filter(|place| *place != wiped)
                .for_each(|place| group.stop(place));
            group.wipe(wiped);
            (0..size).for_each(|place| group.start(place));
            // As long as the deployment allows until the next loss.
            group.run(8_000);
        }
        assert_recovers(&mut group, &mut taken);
    }
}

#[test]
fn a_member_without_its_disk_never_votes_under_its_old_identity() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let mut group = Group::new(seed, 3, CALM);
        group.run(5_000);
        group.wipe(1);
        group.start(1);
        group.run(5_000);
        let leader = group.leader().expect("a leader");
        let members = group.replica(leader).expect("it runs").membership().clone();
        assert_eq!(members.voters.len(), 3);
        assert!(!members.is_voter(2), "the lost identity still votes");
        let own = group.replica(1).expect("it runs").id();
        assert!(members.is_voter(own));
    }
}

#[test]
fn a_member_that_never_comes_back_loses_its_vote_where_enough_are_there() {
    let mut group = Group::new(7, 4, CALM);
    group.run(5_000);
    group.stop(3);
    group.run(10_000);
    let leader = group.leader().expect("a leader");
    assert_eq!(
        group
            .replica(leader)
            .expect("it runs")
            .membership()
            .voters
            .len(),
        3
    );
    group.stop((leader + 1) % 3);
    group.run(10_000);
    let leader = group.leader().expect("two of three are a quorum");
    let members = group.replica(leader).expect("it runs").membership();
    assert_eq!(
        members.voters.len(),
        3,
        "a vote was taken although too few are left"
    );
}

#[test]
fn a_cut_off_leader_steps_down_and_a_new_one_is_there_soon() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let mut group = Group::new(seed, 5, CALM);
        group.run(5_000);
        let old = group.leader().expect("a leader");
        for other in (0..5).filter(|other| *other != old) {
            group.cuts.insert((old, other));
            group.cuts.insert((other, old));
        }
        group.run(5_000);
        assert!(!group.replica(old).expect("it runs").is_leader());
        let new = group.leader().expect("the others have a quorum");
        assert_ne!(new, old);
    }
}

#[test]
fn leadership_moves_within_a_fraction_of_an_election_when_it_is_handed_over() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let mut group = Group::new(seed, 3, CALM);
        group.run(5_000);
        let old = group.leader().expect("a leader");
        group.transfer(old);
        group.run(200);
        let new = group.leader().expect("a leader at once");
        assert_ne!(new, old, "nobody took over");
    }
}

#[test]
fn a_replica_applies_what_it_knew_to_be_committed_before_there_is_a_leader() {
    let mut group = Group::new(3, 3, CALM);
    group.run(5_000);
    let leader = group.leader().expect("a leader");
    group.propose(leader, &[9]);
    group.run(1_000);
    (0..3).for_each(|place| group.stop(place));
    group.start(1);
    assert_eq!(group.state(1), &[9]);
    assert!(group.leader().is_none());
}

/// One course with every kind of fault, change and read; the checksum over all that the replicas wanted done.
fn trace_of_course(seed: u64) -> u32 {
    const SIZE: usize = 6;
    let (mut group, mut taken) = (Group::new(seed, SIZE, ROUGH), Taken::default());
    for step in 0..150 {
        let place = group.random.usize(..SIZE);
        match group.random.u8(..14) {
            0 if step % 2 == 0 => group.stop(place),
            0..=3 => (0..SIZE).for_each(|place| group.start(place)),
            4 => {
                let to = group.random.usize(..SIZE);
                group.cuts.insert((place, to));
            }
            5 => group.cuts.clear(),
            6 => group.stall_disk(place, 800),
            7 => group.transfer(group.leader().unwrap_or(place)),
            8 if step % 4 == 0 => {
                group.wipe(place);
                group.start(place);
            }
            8 | 9 => group.read(group.leader().unwrap_or(place), step),
            _ => taken.propose(&mut group),
        }
        let time = group.random.u64(20..600);
        group.run(time);
    }
    group.trace()
}

/// The decisions of the replicas, their order and their draws, as they were when these checksums were taken.
#[test]
fn each_course_has_the_outputs_that_it_had() {
    const TRACES: [u32; 8] = [
        1605864060, 4033664841, 3564011847, 442339125, 519440317, 4082559295, 2547960029, 210885475,
    ];
    let traces: Vec<u32> = (0..TRACES.len() as u64).map(trace_of_course).collect();
    assert_eq!(traces, TRACES);
}
