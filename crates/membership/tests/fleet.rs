//! Members in simulated time, and what goes wrong between them.

mod common;

use common::{Link, MS, Net, SECOND, name};
use woadstall_membership::{Event, Verdict};

const NONE: [woadstall_membership::Name; 0] = [];

/// Thirty that know one or two find each other; the one that leaves is known to have left, not to have died.
#[test]
fn all_find_each_other_and_leave() {
    let mut net = Net::new(30, 1);
    assert!(net.all_alive(0..30));
    assert!(
        net.nodes
            .iter()
            .flatten()
            .all(|node| node.size().least == 30)
    );
    let now = net.now;
    net.nodes[7].as_mut().unwrap().leave(now);
    net.after(7);
    net.kill(7);
    net.run(2 * SECOND);
    assert!(
        (0..30)
            .filter(|by| *by != 7)
            .all(|by| net.state(7, by) == Some(Verdict::Left))
    );
    assert_eq!(net.dead(), NONE);
}

/// Half of all messages lost, one in five doubled, delays up to half of what a probe waits: nobody is called dead.
#[test]
fn losses_kill_nobody() {
    for (seed, loss) in [(1, 0.1), (2, 0.3), (3, 0.5)] {
        let mut net = Net::new(18, seed);
        net.usual(Link {
            loss,
            doubled: 0.2,
            delay: MS,
            jitter: 50 * MS,
            cut: false,
        });
        net.run(120 * SECOND);
        assert_eq!(net.dead(), NONE, "{loss}");
        net.usual(Link {
            delay: MS,
            ..Link::default()
        });
        net.run(20 * SECOND);
        assert!(net.all_alive(0..18), "{loss}");
    }
}

/// A process that is gone while its host is there is known to be by all within three seconds; one whose host says
/// nothing once its suspicion is over.
#[test]
fn deaths_are_known() {
    for (seed, hosts_answer, within) in [(1, true, 3 * SECOND), (2, false, 30 * SECOND)] {
        let mut net = Net::new(36, seed);
        net.hosts_answer = hosts_answer;
        net.kill(5);
        net.run(within);
        let known = (0..36)
            .filter(|by| *by != 5 && net.state(5, *by) == Some(Verdict::Dead))
            .count();
        assert_eq!(known, 35, "{hosts_answer}");
        assert_eq!(net.dead(), [name("b-5")]);
    }
}

/// Five of nine die at once and their machines say so only to those who look, as on sockets: to be probed one by one takes
/// rounds, so whoever has found one looks for the others. All are known within three seconds.
#[test]
fn many_deaths_at_once_are_known_soon() {
    for seed in 1..41 {
        let mut net = Net::new(9, seed);
        net.hosts_answer = false;
        (4..9).for_each(|at| net.kill(at));
        for _ in 0..3 {
            net.run(SECOND);
            for by in 0..4 {
                let now = net.now;
                let node = net.nodes[by].as_mut().unwrap();
                let at: Vec<_> = node.to_look_for(now).map(|card| card.at).collect();
                let gone = at
                    .into_iter()
                    .filter(|at| (4..9).any(|of| common::address(of) == *at));
                gone.for_each(|at| node.refused(now, at));
                net.after(by);
            }
        }
        net.run(SECOND / 2);
        let known = (0..4).flat_map(|by| (4..9).map(move |of| (by, of)));
        let known = known
            .filter(|(by, of)| net.state(*of, *by) == Some(Verdict::Dead))
            .count();
        assert_eq!(known, 20);
    }
}

/// Members that stand still, for less and for more than a suspicion lasts, one, a third, all but one: those that wake
/// accuse nobody, and are back with all within three seconds.
#[test]
fn those_that_slept_kill_nobody() {
    for (seed, time, who) in [
        (1, 200 * MS, 0..1),
        (2, SECOND, 0..1),
        (3, 5 * SECOND, 0..1),
        (4, 5 * SECOND, 0..12),
        (5, 5 * SECOND, 0..35),
        (6, 30 * SECOND, 0..35),
        (7, 30 * SECOND, 0..12),
    ] {
        let mut net = Net::new(36, seed);
        who.clone().for_each(|at| net.pause(at, true));
        net.run(time);
        assert_eq!(net.dead(), NONE, "{who:?} for {} ms", time / MS);
        who.clone().for_each(|at| net.pause(at, false));
        net.run(3 * SECOND);
        assert_eq!(net.dead(), NONE, "after {who:?} for {} ms", time / MS);
        assert!(net.all_alive(0..36), "{who:?} for {} ms", time / MS);
    }
}

/// One that sleeps for half a minute alone is gone for all others, and back without a second story.
#[test]
fn a_long_sleep_is_a_death_that_can_be_contradicted() {
    let mut net = Net::new(36, 9);
    net.pause(3, true);
    net.run(30 * SECOND);
    assert_eq!(net.dead(), [name("b-3")]);
    net.pause(3, false);
    net.run(3 * SECOND);
    assert!(net.all_alive(0..36));
    assert_eq!(net.dead(), NONE);
    assert_eq!(net.nodes[3].as_ref().unwrap().tallies().stalls, 1);
}

/// One way between two, between one and half of the others, between two zones: each side names its cut, and nobody
/// is suspected for long.
#[test]
fn one_way_cuts_are_no_deaths() {
    let zone = |of: usize| of % 3;
    let pair: Vec<(usize, usize)> = vec![(0, 1)];
    let half: Vec<(usize, usize)> = (1..18).map(|to| (0, to)).collect();
    let zones: Vec<(usize, usize)> = (0..36)
        .flat_map(|from| (0..36).map(move |to| (from, to)))
        .filter(|(from, to)| zone(*from) == 0 && zone(*to) == 1)
        .collect();
    for (seed, cuts) in [(1, pair), (2, half), (3, zones)] {
        let mut net = Net::new(36, seed);
        cuts.iter()
            .for_each(|(from, to)| net.way(*from, *to).cut = true);
        net.run(120 * SECOND);
        assert_eq!(net.dead(), NONE, "{} cuts", cuts.len());
        assert!(net.all_alive(0..36));
        use woadstall_membership::PathState::{Open, Partitioned};
        let named = |from: usize, to: usize| {
            let there = net.nodes[from]
                .as_ref()
                .unwrap()
                .ways(&net.names[to], net.now)
                .0;
            let back = net.nodes[to]
                .as_ref()
                .unwrap()
                .ways(&net.names[from], net.now)
                .1;
            (there == Partitioned, back == Partitioned)
        };
        let both = cuts
            .iter()
            .filter(|(from, to)| named(*from, *to) == (true, true))
            .count();
        assert!(
            both * 100 >= cuts.len() * 95,
            "{both} of {} cuts are named by both sides",
            cuts.len()
        );
        let sound = (0..36).flat_map(|a| (0..36).map(move |b| (a, b)));
        let sound =
            sound.filter(|(a, b)| a != b && !cuts.contains(&(*a, *b)) && !cuts.contains(&(*b, *a)));
        for (from, to) in sound {
            let ways = net.nodes[from]
                .as_ref()
                .unwrap()
                .ways(&net.names[to], net.now);
            assert!(
                ways.0 != Partitioned && ways.1 != Partitioned,
                "{from} to {to}: {ways:?}"
            );
        }
        net.heal();
        net.run(120 * SECOND);
        let (from, to) = cuts[0];
        assert_eq!(
            net.nodes[from]
                .as_ref()
                .unwrap()
                .ways(&net.names[to], net.now),
            (Open, Open)
        );
    }
}

/// Two halves for a minute, then healed: nobody is called dead across the cut, as too many vanished at once, and all
/// are together again.
#[test]
fn halves_come_together_again() {
    let mut net = Net::new(36, 4);
    for (a, b) in (0..18).flat_map(|a| (18..36).map(move |b| (a, b))) {
        net.way(a, b).cut = true;
        net.way(b, a).cut = true;
    }
    net.run(60 * SECOND);
    assert_eq!(net.dead(), NONE);
    assert!(
        matches!(net.state(20, 3), Some(Verdict::UnknownSince(_))),
        "{:?}",
        net.state(20, 3)
    );
    let size = net.nodes[3].as_ref().unwrap().size();
    assert_eq!((size.least, size.most), (18, 36));
    net.heal();
    net.run(40 * SECOND);
    assert!(net.all_alive(0..36));
}

/// Two zones alone, one not heard by the other: there is no third that finds both sides. Nobody is called dead; those that
/// hear the others name the cut, and none of them is called gone for good.
#[test]
fn a_cut_between_two_zones_alone_kills_nobody() {
    for seed in 11..15 {
        let mut net = Net::in_zones(24, seed, 2);
        let pairs = (0..24)
            .step_by(2)
            .flat_map(|from| (1..24).step_by(2).map(move |to| (from, to)));
        pairs
            .clone()
            .for_each(|(from, to)| net.way(from, to).cut = true);
        net.run(120 * SECOND);
        assert_eq!(net.dead(), NONE);
        let cut = |(from, to): &(usize, usize)| {
            let is_cut = matches!(net.state(*to, *from), Some(Verdict::Partitioned { .. }));
            let there = net.nodes[*from]
                .as_ref()
                .unwrap()
                .ways(&net.names[*to], net.now)
                .0;
            is_cut && there == woadstall_membership::PathState::Partitioned
        };
        let named = pairs.filter(cut).count();
        assert!(named * 100 >= 144 * 90, "{named} of 144");
        net.heal();
        net.run(60 * SECOND);
        assert!(net.all_alive(0..24));
    }
}

/// Two halves that only one member sees both of: nobody is called dead, and what one half says the other hears by it.
#[test]
fn a_bridge_holds_two_halves_together() {
    for seed in 12..20 {
        let mut net = Net::new(25, seed);
        for (a, b) in (1..13).flat_map(|a| (13..25).map(move |b| (a, b))) {
            net.way(a, b).cut = true;
            net.way(b, a).cut = true;
        }
        net.run(60 * SECOND);
        assert_eq!(net.dead(), NONE);
        let (key, now) = (name("zone-left"), net.now);
        net.nodes[5]
            .as_mut()
            .unwrap()
            .say(now, key.clone(), 200, b"sur".to_vec())
            .unwrap();
        net.after(5);
        let owner = net.names[5].clone();
        let know = |net: &Net| {
            net.nodes
                .iter()
                .flatten()
                .filter(|of| of.fact(&owner, &key).is_some())
                .count()
        };
        net.run(SECOND);
        // All beyond it or almost; the last ones when they compare what they hold.
        assert!(know(&net) >= 20, "{} of 25", know(&net));
        net.run(19 * SECOND);
        assert_eq!(know(&net), 25);
        net.heal();
        net.run(20 * SECOND);
        assert!(net.all_alive(0..25));
    }
}

/// A member that comes and goes every two seconds, for a minute: nobody else is called dead, what it costs is bounded, and
/// it is there once it stays.
#[test]
fn one_that_flaps_has_a_price_that_is_bounded() {
    let mut net = Net::new(24, 13);
    net.bytes = 0;
    net.run(30 * SECOND);
    let calm = std::mem::take(&mut net.bytes);
    for turn in 0..15 {
        net.kill(7);
        net.run(2 * SECOND);
        net.start(7, 2_000_000 + turn, 500 + turn);
        net.run(2 * SECOND);
    }
    assert!(net.dead().iter().all(|dead| *dead == name("b-7")));
    let each = net.bytes / 60 / 24;
    println!("{each} bytes a second each, {} in calm", calm / 30 / 24);
    assert!(each < 2_000, "{each}");
    net.run(10 * SECOND);
    assert!(net.all_alive(0..24));
}

/// A member that nobody hears, or that hears nobody, knows that it is cut off and judges none; the others go on.
#[test]
fn one_that_is_cut_off_judges_nobody() {
    for there in [true, false] {
        let mut net = Net::new(18, 6);
        for other in 1..18 {
            let (from, to) = if there { (0, other) } else { (other, 0) };
            net.way(from, to).cut = true;
        }
        net.run(60 * SECOND);
        let now = net.now;
        assert!(net.nodes[0].as_ref().unwrap().sure(now).cut_off, "{there}");
        let by_it = net
            .events
            .iter()
            .filter(|(_, by, event)| *by == 0 && matches!(event, Event::Dead { .. }));
        assert_eq!(by_it.count(), 0, "{there}");
        assert!(net.dead().iter().all(|dead| *dead == name("b-0")));
        net.heal();
        net.run(60 * SECOND);
        assert!(net.all_alive(0..18), "{there}");
    }
}

/// 25 of 36 die in one instant and the same names are back two seconds later, in new lives.
#[test]
fn a_power_loss_is_a_new_life() {
    let mut net = Net::new(36, 8);
    (5..30).for_each(|at| net.kill(at));
    net.run(2 * SECOND);
    (5..30).for_each(|at| net.start(at, 2_000_000, 1_000 + at as u64));
    net.run(10 * SECOND);
    assert!(net.all_alive(0..36));
    let lives = |by: usize| {
        net.nodes[by]
            .as_ref()
            .unwrap()
            .members(net.now)
            .map(|seen| seen.card.life.started)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        lives(0)
            .iter()
            .filter(|started| **started == 2_000_000)
            .count(),
        25
    );
}

/// A clock that stepped back by an hour does not hide a new life behind a former one; two that use one name at once
/// are told so, both.
#[test]
fn names_are_told_apart() {
    let mut net = Net::new(12, 3);
    net.kill(4);
    net.run(SECOND);
    net.start(4, 500, 77);
    net.run(10 * SECOND);
    assert!(net.all_alive(0..12));
    let seen = net.nodes[0]
        .as_ref()
        .unwrap()
        .members(net.now)
        .find(|seen| seen.card.name == net.names[4]);
    assert_eq!(seen.unwrap().card.life.id, 77);
    // The last takes the name of the first.
    net.names[11] = net.names[2].clone();
    net.start(11, 9_000_000, 99);
    net.events.clear();
    net.run(60 * SECOND);
    let told = |at: usize| {
        net.events
            .iter()
            .any(|(_, by, event)| *by == at && matches!(event, Event::NameConflict { .. }))
    };
    assert!(told(2) && told(11), "{} {}", told(2), told(11));
}

/// A fact reaches all within a second; a changed one replaces it everywhere; none outlives its owner for long.
#[test]
fn facts_reach_all_and_end_with_their_owner() {
    let mut net = Net::new(60, 5);
    let (key, owner) = (name("zone-left"), net.names[9].clone());
    for (counter, text) in [(1, b"norte".to_vec()), (2, b"sur".to_vec())] {
        let now = net.now;
        net.nodes[9]
            .as_mut()
            .unwrap()
            .say(now, key.clone(), 200, text.clone())
            .unwrap();
        net.after(9);
        net.run(SECOND);
        let known = |node: &&woadstall_membership::Node| {
            node.fact(&owner, &key)
                .is_some_and(|fact| fact.bytes == text && fact.counter == counter)
        };
        assert_eq!(net.nodes.iter().flatten().filter(known).count(), 60);
    }
    net.kill(9);
    net.run(60 * SECOND);
    assert!(
        net.nodes
            .iter()
            .flatten()
            .all(|node| node.fact(&owner, &key).is_none())
    );
}

/// With all of a large fleet silent or telling, a member sends less than two kilobytes a second.
#[test]
fn traffic_is_bounded() {
    for count in [12, 48] {
        let mut net = Net::new(count, 2);
        net.run(20 * SECOND);
        net.bytes = 0;
        for at in 0..count {
            let now = net.now;
            for number in 0..4 {
                let key = name(&format!("k-{number}"));
                net.nodes[at]
                    .as_mut()
                    .unwrap()
                    .say(now, key, 1, vec![7; 64])
                    .unwrap();
            }
            net.after(at);
        }
        net.run(30 * SECOND);
        let each = net.bytes / 30 / count as u64;
        println!("{count} members: {each} bytes a second each");
        assert!(each < 2_500, "{count}: {each}");
    }
}
