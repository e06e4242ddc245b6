//! Fleets in simulated time with faults between their members.

mod common;

use common::{Link, MS, SECOND, SimulatedFleet, name};
use woadstall_membership::{Event, Verdict};

const NO_MEMBERS: [woadstall_membership::Name; 0] = [];

/// Thirty members that know two seeds discover each other. A member that announces its leave is
/// `Left` for all other members and never dead.
#[test]
fn members_discover_each_other_and_leaving_is_no_death() {
    let mut fleet = SimulatedFleet::new(30, 1);
    assert!(fleet.all_alive(0..30));
    assert!(
        fleet
            .nodes
            .iter()
            .flatten()
            .all(|node| node.fleet_size().min == 30)
    );
    let now = fleet.now;
    fleet.node_mut(7).leave(now);
    fleet.flush(7);
    fleet.kill(7);
    fleet.run(2 * SECOND);
    assert!(
        (0..30)
            .filter(|observer| *observer != 7)
            .all(|observer| fleet.verdict(7, observer) == Some(Verdict::Left))
    );
    assert_eq!(fleet.take_deaths(), NO_MEMBERS);
}

/// No member dies when up to half of all messages are lost, one message in five is duplicated and
/// delays reach a quarter of the probe time-out.
#[test]
fn message_loss_causes_no_death() {
    for (seed, loss) in [(1, 0.1), (2, 0.3), (3, 0.5)] {
        let mut fleet = SimulatedFleet::new(18, seed);
        fleet.set_default_link(Link {
            loss,
            duplication: 0.2,
            delay: MS,
            jitter: 50 * MS,
            is_partitioned: false,
        });
        fleet.run(120 * SECOND);
        assert_eq!(fleet.take_deaths(), NO_MEMBERS, "{loss}");
        fleet.set_default_link(Link {
            delay: MS,
            ..Link::default()
        });
        fleet.run(20 * SECOND);
        assert!(fleet.all_alive(0..18), "{loss}");
    }
}

/// All members detect the death of a process: within three seconds if its host refuses connections,
/// otherwise after the suspicion has expired.
#[test]
fn deaths_are_detected_in_time() {
    for (seed, hosts_refuse, within) in [(1, true, 3 * SECOND), (2, false, 30 * SECOND)] {
        let mut fleet = SimulatedFleet::new(36, seed);
        fleet.hosts_refuse = hosts_refuse;
        fleet.kill(5);
        fleet.run(within);
        let detected = (0..36)
            .filter(|observer| *observer != 5 && fleet.verdict(5, *observer) == Some(Verdict::Dead))
            .count();
        assert_eq!(detected, 35, "{hosts_refuse}");
        assert_eq!(fleet.take_deaths(), [name("b-5")]);
    }
}

/// Five of nine members die at once, and their hosts refuse only connections that members attempt,
/// as on sockets. Probes alone would take several rounds, so a member that detects one death checks
/// connections to the other members. All deaths are known within three and a half seconds.
#[test]
fn simultaneous_deaths_are_detected_soon() {
    for seed in 1..41 {
        let mut fleet = SimulatedFleet::new(9, seed);
        fleet.hosts_refuse = false;
        (4..9).for_each(|member| fleet.kill(member));
        for _ in 0..3 {
            fleet.run(SECOND);
            for survivor in 0..4 {
                let now = fleet.now;
                let node = fleet.node_mut(survivor);
                let checked: Vec<_> = node
                    .connection_check_targets(now)
                    .map(|metadata| metadata.address)
                    .collect();
                let refused = checked
                    .into_iter()
                    .filter(|address| (4..9).any(|dead| common::address(dead) == *address));
                refused.for_each(|address| node.report_connection_refused(now, address));
                fleet.flush(survivor);
            }
        }
        fleet.run(SECOND / 2);
        let pairs = (0..4).flat_map(|survivor| (4..9).map(move |dead| (survivor, dead)));
        let detected = pairs
            .filter(|(survivor, dead)| fleet.verdict(*dead, *survivor) == Some(Verdict::Dead))
            .count();
        assert_eq!(detected, 20);
    }
}

/// One member, a third of the members or all but one are paused, for less or for more than a
/// suspicion lasts. Resumed members declare no member dead and are alive for all members within
/// three seconds.
#[test]
fn paused_members_cause_no_death() {
    for (seed, duration, paused) in [
        (1, 200 * MS, 0..1),
        (2, SECOND, 0..1),
        (3, 5 * SECOND, 0..1),
        (4, 5 * SECOND, 0..12),
        (5, 5 * SECOND, 0..35),
        (6, 30 * SECOND, 0..35),
        (7, 30 * SECOND, 0..12),
    ] {
        let mut fleet = SimulatedFleet::new(36, seed);
        paused.clone().for_each(|member| fleet.pause(member));
        fleet.run(duration);
        assert_eq!(
            fleet.take_deaths(),
            NO_MEMBERS,
            "{paused:?} for {} ms",
            duration / MS
        );
        paused.clone().for_each(|member| fleet.resume(member));
        fleet.run(3 * SECOND);
        assert_eq!(
            fleet.take_deaths(),
            NO_MEMBERS,
            "after {paused:?} for {} ms",
            duration / MS
        );
        assert!(
            fleet.all_alive(0..36),
            "{paused:?} for {} ms",
            duration / MS
        );
    }
}

/// A single member that is paused for half a minute is declared dead by all others, refutes its
/// death once and is alive again.
#[test]
fn a_long_pause_is_a_death_that_is_refuted() {
    let mut fleet = SimulatedFleet::new(36, 9);
    fleet.pause(3);
    fleet.run(30 * SECOND);
    assert_eq!(fleet.take_deaths(), [name("b-3")]);
    fleet.resume(3);
    fleet.run(3 * SECOND);
    assert!(fleet.all_alive(0..36));
    assert_eq!(fleet.take_deaths(), NO_MEMBERS);
    assert_eq!(fleet.node(3).counters().process_pauses, 1);
}

/// One direction is partitioned between two members, between one member and half of the others, or
/// between two zones. Both sides observe the partition, and no member stays suspected.
#[test]
fn one_way_partitions_are_observed_and_cause_no_death() {
    let zone = |member: usize| member % 3;
    let pair: Vec<(usize, usize)> = vec![(0, 1)];
    let half: Vec<(usize, usize)> = (1..18).map(|to| (0, to)).collect();
    let zones: Vec<(usize, usize)> = (0..36)
        .flat_map(|from| (0..36).map(move |to| (from, to)))
        .filter(|(from, to)| zone(*from) == 0 && zone(*to) == 1)
        .collect();
    for (seed, partitions) in [(1, pair), (2, half), (3, zones)] {
        let mut fleet = SimulatedFleet::new(36, seed);
        partitions
            .iter()
            .for_each(|(from, to)| fleet.link(*from, *to).is_partitioned = true);
        fleet.run(120 * SECOND);
        assert_eq!(
            fleet.take_deaths(),
            NO_MEMBERS,
            "{} partitions",
            partitions.len()
        );
        assert!(fleet.all_alive(0..36));
        use woadstall_membership::PathState::{Open, Partitioned};
        let is_observed = |from: usize, to: usize| {
            let observations = [fleet.outbound(from, to), fleet.inbound(from, to)];
            observations == [Partitioned; 2]
        };
        let observed = partitions
            .iter()
            .filter(|(from, to)| is_observed(*from, *to))
            .count();
        assert!(
            observed * 100 >= partitions.len() * 95,
            "{observed} of {} partitions are observed by both sides",
            partitions.len()
        );
        let intact = (0..36).flat_map(|a| (0..36).map(move |b| (a, b)));
        let intact = intact.filter(|(a, b)| {
            a != b && !partitions.contains(&(*a, *b)) && !partitions.contains(&(*b, *a))
        });
        for (from, to) in intact {
            let (outbound, inbound) = fleet.node(from).path_states(&fleet.names[to], fleet.now);
            assert!(
                outbound != Partitioned && inbound != Partitioned,
                "{from} to {to}: {outbound:?}, {inbound:?}"
            );
        }
        fleet.restore_links();
        fleet.run(120 * SECOND);
        let (from, to) = partitions[0];
        assert_eq!(
            fleet.node(from).path_states(&fleet.names[to], fleet.now),
            (Open, Open)
        );
    }
}

/// A fleet is split into two halves for a minute. No member is declared dead across the partition,
/// since too many members vanish at once, and all members are alive for each other afterwards.
#[test]
fn a_split_fleet_heals_without_deaths() {
    let mut fleet = SimulatedFleet::new(36, 4);
    for (a, b) in (0..18).flat_map(|a| (18..36).map(move |b| (a, b))) {
        fleet.link(a, b).is_partitioned = true;
        fleet.link(b, a).is_partitioned = true;
    }
    fleet.run(60 * SECOND);
    assert_eq!(fleet.take_deaths(), NO_MEMBERS);
    assert!(
        matches!(fleet.verdict(20, 3), Some(Verdict::UnknownSince(_))),
        "{:?}",
        fleet.verdict(20, 3)
    );
    let size = fleet.node(3).fleet_size();
    assert_eq!((size.min, size.max), (18, 36));
    fleet.restore_links();
    fleet.run(40 * SECOND);
    assert!(fleet.all_alive(0..36));
}

/// In a fleet of two zones, one zone receives nothing from the other, and no member of a third zone
/// reaches both. No member is declared dead, and the members of the sending zone observe the
/// partition.
#[test]
fn a_partition_between_the_only_two_zones_causes_no_death() {
    for seed in 11..15 {
        let mut fleet = SimulatedFleet::in_zones(24, seed, 2);
        let pairs = (0..24)
            .step_by(2)
            .flat_map(|from| (1..24).step_by(2).map(move |to| (from, to)));
        pairs
            .clone()
            .for_each(|(from, to)| fleet.link(from, to).is_partitioned = true);
        fleet.run(120 * SECOND);
        assert_eq!(fleet.take_deaths(), NO_MEMBERS);
        let is_partitioned = |(from, to): &(usize, usize)| {
            let is_partitioned =
                matches!(fleet.verdict(*to, *from), Some(Verdict::Partitioned { .. }));
            let outbound = fleet.outbound(*from, *to);
            is_partitioned && outbound == woadstall_membership::PathState::Partitioned
        };
        let observed = pairs.filter(is_partitioned).count();
        assert!(observed * 100 >= 144 * 90, "{observed} of 144");
        fleet.restore_links();
        fleet.run(60 * SECOND);
        assert!(fleet.all_alive(0..24));
    }
}

/// A single member reaches both halves of a split fleet. No member is declared dead, and records of
/// one half reach the other half.
#[test]
fn one_member_bridges_two_halves() {
    for seed in 12..20 {
        let mut fleet = SimulatedFleet::new(25, seed);
        for (a, b) in (1..13).flat_map(|a| (13..25).map(move |b| (a, b))) {
            fleet.link(a, b).is_partitioned = true;
            fleet.link(b, a).is_partitioned = true;
        }
        fleet.run(60 * SECOND);
        assert_eq!(fleet.take_deaths(), NO_MEMBERS);
        let (key, now) = (name("zone-left"), fleet.now);
        fleet
            .node_mut(5)
            .publish(now, key.clone(), 200, b"sur".to_vec())
            .unwrap();
        fleet.flush(5);
        let owner = fleet.names[5].clone();
        let holder_count = |fleet: &SimulatedFleet| {
            fleet
                .nodes
                .iter()
                .flatten()
                .filter(|node| node.record(&owner, &key).is_some())
                .count()
        };
        fleet.run(SECOND);
        // Almost all members receive the record by gossip, the remaining ones by anti-entropy.
        assert!(holder_count(&fleet) >= 20, "{} of 25", holder_count(&fleet));
        fleet.run(19 * SECOND);
        assert_eq!(holder_count(&fleet), 25);
        fleet.restore_links();
        fleet.run(20 * SECOND);
        assert!(fleet.all_alive(0..25));
    }
}

/// A member stops and starts every two seconds for a minute. No other member is declared dead, the
/// traffic is bounded, and the flapping member is alive for all once it keeps running.
#[test]
fn a_flapping_member_costs_bounded_traffic() {
    let mut fleet = SimulatedFleet::new(24, 13);
    fleet.bytes_sent = 0;
    fleet.run(30 * SECOND);
    let usual_bytes = std::mem::take(&mut fleet.bytes_sent);
    for restart in 0..15 {
        fleet.kill(7);
        fleet.run(2 * SECOND);
        fleet.start(7, 2_000_000 + restart, 500 + restart);
        fleet.run(2 * SECOND);
    }
    assert!(fleet.take_deaths().iter().all(|dead| *dead == name("b-7")));
    let bytes_per_second = fleet.bytes_sent / 60 / 24;
    println!(
        "{bytes_per_second} bytes/s per member, {} without the flapping member",
        usual_bytes / 30 / 24
    );
    assert!(bytes_per_second < 2_000, "{bytes_per_second}");
    fleet.run(10 * SECOND);
    assert!(fleet.all_alive(0..24));
}

/// A member that reaches no other member, or that no other member reaches, detects its isolation
/// and declares no member dead.
#[test]
fn an_isolated_member_declares_nobody_dead() {
    for is_outbound in [true, false] {
        let mut fleet = SimulatedFleet::new(18, 6);
        for other in 1..18 {
            let (from, to) = if is_outbound { (0, other) } else { (other, 0) };
            fleet.link(from, to).is_partitioned = true;
        }
        fleet.run(60 * SECOND);
        let now = fleet.now;
        assert!(fleet.node(0).confidence(now).is_isolated, "{is_outbound}");
        let deaths_observed = fleet
            .events
            .iter()
            .filter(|(_, observer, event)| *observer == 0 && matches!(event, Event::Dead { .. }));
        assert_eq!(deaths_observed.count(), 0, "{is_outbound}");
        assert!(fleet.take_deaths().iter().all(|dead| *dead == name("b-0")));
        fleet.restore_links();
        fleet.run(60 * SECOND);
        assert!(fleet.all_alive(0..18), "{is_outbound}");
    }
}

/// 25 of 36 members die at once and restart under the same names in new generations two seconds
/// later.
#[test]
fn restarted_members_are_new_generations() {
    let mut fleet = SimulatedFleet::new(36, 8);
    (5..30).for_each(|member| fleet.kill(member));
    fleet.run(2 * SECOND);
    (5..30).for_each(|member| fleet.start(member, 2_000_000, 1_000 + member as u64));
    fleet.run(10 * SECOND);
    assert!(fleet.all_alive(0..36));
    let generations = |observer: usize| {
        fleet
            .node(observer)
            .observations(fleet.now)
            .map(|observation| observation.metadata.generation.started_ms)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        generations(0)
            .iter()
            .filter(|started_ms| **started_ms == 2_000_000)
            .count(),
        25
    );
}

/// A new generation is recognized although the clock was set back before its start. Two processes
/// that use one name at the same time both report a conflict.
#[test]
fn generations_and_conflicting_names_are_distinguished() {
    let mut fleet = SimulatedFleet::new(12, 3);
    fleet.kill(4);
    fleet.run(SECOND);
    fleet.start(4, 500, 77);
    fleet.run(10 * SECOND);
    assert!(fleet.all_alive(0..12));
    let observation = fleet
        .node(0)
        .observations(fleet.now)
        .find(|observation| observation.metadata.name == fleet.names[4]);
    assert_eq!(observation.unwrap().metadata.generation.id, 77);
    // The last member takes the name of another running member.
    fleet.names[11] = fleet.names[2].clone();
    fleet.start(11, 9_000_000, 99);
    fleet.events.clear();
    fleet.run(60 * SECOND);
    let is_reported = |member: usize| {
        fleet.events.iter().any(|(_, observer, event)| {
            *observer == member && matches!(event, Event::NameConflict { .. })
        })
    };
    assert!(
        is_reported(2) && is_reported(11),
        "{} {}",
        is_reported(2),
        is_reported(11)
    );
}

/// A record reaches all members within a second, a later version replaces it everywhere, and no
/// record outlives its owner for long.
#[test]
fn records_reach_all_and_expire_with_their_owner() {
    let mut fleet = SimulatedFleet::new(60, 5);
    let (key, owner) = (name("zone-left"), fleet.names[9].clone());
    for (version, value) in [(1, b"norte".to_vec()), (2, b"sur".to_vec())] {
        let now = fleet.now;
        fleet
            .node_mut(9)
            .publish(now, key.clone(), 200, value.clone())
            .unwrap();
        fleet.flush(9);
        fleet.run(SECOND);
        let known = |node: &&woadstall_membership::Node| {
            node.record(&owner, &key)
                .is_some_and(|record| record.value == value && record.version == version)
        };
        assert_eq!(fleet.nodes.iter().flatten().filter(known).count(), 60);
    }
    fleet.kill(9);
    fleet.run(60 * SECOND);
    assert!(
        fleet
            .nodes
            .iter()
            .flatten()
            .all(|node| node.record(&owner, &key).is_none())
    );
}

/// A member sends less than 2,500 bytes a second while all members publish records.
#[test]
fn traffic_is_bounded() {
    for count in [12, 48] {
        let mut fleet = SimulatedFleet::new(count, 2);
        fleet.run(20 * SECOND);
        fleet.bytes_sent = 0;
        for owner in 0..count {
            let now = fleet.now;
            for number in 0..4 {
                let key = name(&format!("k-{number}"));
                fleet
                    .node_mut(owner)
                    .publish(now, key, 1, vec![7; 64])
                    .unwrap();
            }
            fleet.flush(owner);
        }
        fleet.run(30 * SECOND);
        let bytes_per_second = fleet.bytes_sent / 30 / count as u64;
        println!("{count} members: {bytes_per_second} bytes/s per member");
        assert!(bytes_per_second < 2_500, "{count}: {bytes_per_second}");
    }
}
