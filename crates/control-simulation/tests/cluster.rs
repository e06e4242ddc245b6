//! Control machines together, in virtual time: orders, reads, registrations and feeds under faults.

use rstest::rstest;
use woadstall_control::machine::CallResponse;
use woadstall_control::registry::UpstreamStatus;
use woadstall_control_simulation::cluster::Cluster;
use woadstall_control_simulation::scenario::{put, registration};

const SEEDS: u64 = 20;

/// The version that a machine reads back, as an operator would.
fn read_back(cluster: &mut Cluster, place: usize) -> Option<u64> {
    let token = cluster.call(place, |machine, now, token| {
        machine.read_configuration(now, token)
    });
    cluster.run(1_000);
    match cluster.answers.get(&token) {
        Some(CallResponse::Document(document)) => {
            let document: serde_json::Value = serde_json::from_slice(document).unwrap();
            document["generation"].as_u64()
        }
        _ => None,
    }
}

#[rstest]
#[case::at_a_leader_or_not(0)]
#[case::elsewhere(1)]
#[case::third(2)]
fn an_order_is_taken_at_any_machine_in_well_under_a_second(#[case] place: usize) {
    let mut cluster = Cluster::new(1, 3);
    cluster.run(5_000);
    let token = cluster.order(place, put(0, 5));
    // Two ways between regions for the order, two for the log.
    cluster.run(300);
    assert_eq!(
        cluster.answers.get(&token),
        Some(&CallResponse::Acknowledged)
    );
    for other in 0..3 {
        assert_eq!(read_back(&mut cluster, other), Some(5));
    }
}

#[test]
fn an_order_that_comes_before_there_is_a_leader_waits_for_it() {
    let mut cluster = Cluster::new(2, 3);
    let token = cluster.order(0, put(0, 5));
    cluster.run(2_000);
    assert!(cluster.answers.contains_key(&token));
    let again = cluster.order(1, put(0, 5));
    cluster.run(1_000);
    assert_eq!(
        cluster.answers.get(&again),
        Some(&CallResponse::Acknowledged),
        "the same order again"
    );
}

#[test]
fn two_orders_on_one_version_have_one_winner() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, 3);
        cluster.run(5_000);
        cluster.order(0, put(0, 5));
        cluster.run(1_000);
        let (one, other) = (cluster.order(1, put(5, 7)), cluster.order(2, put(5, 8)));
        cluster.run(1_000);
        let answers = [&cluster.answers[&one], &cluster.answers[&other]];
        let won = answers
            .iter()
            .filter(|answer| ***answer == CallResponse::Acknowledged)
            .count();
        let lost = answers
            .iter()
            .filter(|answer| matches!(answer, CallResponse::Conflict { .. }))
            .count();
        assert_eq!((won, lost), (1, 1), "{answers:?}");
    }
}

#[test]
fn a_machine_that_is_cut_off_answers_nothing_wrong_and_catches_up() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, 3);
        cluster.run(5_000);
        let cut = cluster.leader().unwrap();
        let other = (cut + 1) % 3;
        cluster.cut_off(cut);
        let lost = cluster.order(cut, put(0, 5));
        cluster.run(5_000);
        assert_eq!(
            cluster.answers.get(&lost),
            Some(&CallResponse::Indeterminate)
        );
        assert_eq!(read_back(&mut cluster, cut), None, "it cannot know");
        let taken = cluster.order(other, put(0, 9));
        cluster.run(1_000);
        assert_eq!(
            cluster.answers.get(&taken),
            Some(&CallResponse::Acknowledged)
        );
        cluster.heal();
        cluster.run(5_000);
        assert_eq!(read_back(&mut cluster, cut), Some(9));
    }
}

#[test]
fn what_was_acknowledged_is_there_after_a_loss_of_all_and_of_one_disk() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, 3);
        cluster.run(5_000);
        let mut generation = 0;
        for round in 0..5 {
            let place = cluster.random.usize(..3);
            let token = cluster.order(place, put(generation, generation + 3));
            while !cluster.answers.contains_key(&token) {
                cluster.run(50);
            }
            if cluster.answers[&token] == CallResponse::Acknowledged {
                generation += 3;
            }
            let wiped = cluster.random.usize(..3);
            (0..3)
                .filter(|place| *place != wiped)
                .for_each(|place| cluster.stop(place));
            cluster.wipe(wiped);
            (0..3).for_each(|place| cluster.start(place));
            cluster.run(8_000);
            let read = read_back(&mut cluster, wiped).expect("a quorum is there");
            assert!(
                read >= generation,
                "round {round}: {read} instead of {generation}"
            );
            generation = read;
        }
    }
}

#[test]
fn draining_is_acknowledged_once_a_majority_knows_and_reaches_all_readers() {
    let mut cluster = Cluster::new(4, 3);
    cluster.run(5_000);
    (0..3).for_each(|place| cluster.subscribe(place, 1));
    cluster.call(0, |machine, now, token| {
        machine.register(now, token, registration("i-1", 1, UpstreamStatus::Ready))
    });
    cluster.run(500);
    let token = cluster.call(2, |machine, now, token| {
        machine.register(now, token, registration("i-1", 2, UpstreamStatus::Draining));
    });
    assert!(
        !cluster.answers.contains_key(&token),
        "nobody else has it yet"
    );
    cluster.run(300);
    assert_eq!(
        cluster.answers.get(&token),
        Some(&CallResponse::Acknowledged)
    );
    for place in 0..3 {
        assert_eq!(
            cluster.reader(place, 1).statuses.get("i-1"),
            Some(&UpstreamStatus::Draining)
        );
    }
}

#[test]
fn draining_told_to_a_machine_that_is_cut_off_is_not_acknowledged() {
    let mut cluster = Cluster::new(5, 3);
    cluster.run(5_000);
    cluster.cut_off(1);
    cluster.run(100);
    let token = cluster.call(1, |machine, now, token| {
        machine.register(now, token, registration("i-1", 1, UpstreamStatus::Draining));
    });
    cluster.run(1_500);
    assert_eq!(
        cluster.answers.get(&token),
        Some(&CallResponse::Indeterminate)
    );
    // Once the link is back, the others hear of it all the same.
    cluster.heal();
    cluster.run(1_000);
    let known = cluster.machine(0).unwrap().registrations();
    assert_eq!(known[0].status, UpstreamStatus::Draining);
}

#[test]
fn an_upstream_that_falls_silent_is_judged_by_one_machine_and_believed_by_all() {
    let mut cluster = Cluster::new(6, 3);
    cluster.run(5_000);
    cluster.call(0, |machine, now, token| {
        machine.register(now, token, registration("i-1", 1, UpstreamStatus::Ready))
    });
    cluster.call(0, |machine, now, token| {
        machine.register(now, token, registration("i-2", 1, UpstreamStatus::Ready))
    });
    for beat in 2..8 {
        cluster.run(1_200);
        cluster.call(1, |machine, now, token| {
            machine.register(now, token, registration("i-2", beat, UpstreamStatus::Ready));
        });
    }
    for place in 0..3 {
        let statuses: Vec<UpstreamStatus> = cluster
            .machine(place)
            .unwrap()
            .registrations()
            .iter()
            .map(|upstream| upstream.status)
            .collect();
        assert_eq!(
            statuses,
            [UpstreamStatus::TimedOut, UpstreamStatus::Ready],
            "machine {place}"
        );
    }
}

#[test]
fn a_machine_that_starts_again_hears_of_all_upstreams_from_the_others() {
    let mut cluster = Cluster::new(7, 3);
    cluster.run(5_000);
    cluster.call(0, |machine, now, token| {
        machine.register(now, token, registration("i-1", 1, UpstreamStatus::Ready))
    });
    cluster.run(500);
    cluster.stop(1);
    cluster.run(500);
    cluster.start(1);
    cluster.run(500);
    assert_eq!(cluster.machine(1).unwrap().registrations().len(), 1);
}

#[test]
fn readers_never_go_back_and_come_to_the_same_state() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, 3);
        cluster.run(5_000);
        (0..3).for_each(|place| cluster.subscribe(place, 1));
        let mut generation = 0;
        for _ in 0..30 {
            let place = cluster.random.usize(..3);
            let token = cluster.order(place, put(generation, generation + 2));
            let time = cluster.random.u64(50..500);
            cluster.run(time);
            if cluster.answers.get(&token) == Some(&CallResponse::Acknowledged) {
                generation += 2;
            }
            if cluster.random.u8(..6) == 0 {
                cluster.heal();
                let cut = cluster.random.usize(..3);
                cluster.cut_off(cut);
            } else if cluster.random.u8(..3) == 0 {
                cluster.heal();
            }
        }
        cluster.heal();
        cluster.run(6_000);
        let newest = read_back(&mut cluster, 0);
        for place in 0..3 {
            let reader = cluster.reader(place, 1);
            assert!(reader.generations.is_sorted(), "a reader went back");
            assert_eq!(Some(reader.state.generation()), newest);
        }
    }
}

#[test]
fn a_log_of_hundreds_of_orders_is_compacted_and_a_new_disk_gets_it_as_a_snapshot() {
    const ORDERS: u64 = 1_200;
    let mut cluster = Cluster::new(8, 3);
    cluster.run(5_000);
    for order in 0..ORDERS {
        cluster.order(0, put(order * 2, (order + 1) * 2));
        cluster.run(300);
    }
    let log = cluster.machine(0).unwrap().replica().log();
    assert!(
        log.entries().len() <= 1_000,
        "{} entries",
        log.entries().len()
    );
    cluster.wipe(2);
    cluster.start(2);
    cluster.run(8_000);
    assert_eq!(read_back(&mut cluster, 2), Some(ORDERS * 2));
}
