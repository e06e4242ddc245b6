//! All senders together never send more than the place has proven, grown once, and the trying: whatever becomes of the
//! messages between them, and whoever takes whom for gone.

use proptest::prelude::*;
use std::collections::VecDeque;
use woadstall_slow_start::{Leases, Pace, Report, Settings, Work};

const MS: u64 = 1_000_000;
const STEP: u64 = 10 * MS;

/// Plays senders that ask for so much each, at a place that can end so many calls a second, twice as many each 4 s. `fate` says
/// of each report to each other sender whether it is lost, late or doubled; `halves` that two parts never hear each other and
/// each takes itself for all. The most that was sent in any 3 s, as part of what could be ended then, and what was sent in the
/// last second, as part of what was asked for.
fn play(needs: &[f64], capacity: f64, fate: &[u8], halves: bool) -> (f64, f64) {
    let settings = Settings {
        trying: 0.4 * capacity,
        ..Settings::default()
    };
    let known = if halves {
        needs.len().div_ceil(2)
    } else {
        needs.len()
    };
    let mut senders: Vec<Pace> = needs
        .iter()
        .map(|_| Pace::new(0, known, settings).unwrap())
        .collect();
    let (mut due, mut queue, mut free) = (vec![0.0; needs.len()], Vec::new(), 0.0_f64);
    let (mut sent, mut asked, mut under_way, mut draws) = (Vec::new(), 0_u32, Vec::new(), 0_usize);
    let mut proven = VecDeque::new();
    let can = |now: u64| capacity * (now as f64 / 4e9).exp2();
    for now in (0..10_000 * MS).step_by(STEP as usize) {
        // What the place ends now, first come first served; an answer after 200 ms is late.
        free = (free + can(now) * STEP as f64 / 1e9).min(can(now) * 0.05 + 1.0);
        while free >= 1.0 && !queue.is_empty() {
            let (from, at): (usize, u64) = queue.remove(0);
            senders[from].ended(now, now - at <= 200 * MS);
            free -= 1.0;
        }
        for (at, need) in needs.iter().enumerate() {
            due[at] += need * STEP as f64 / 1e9;
            while due[at] >= 1.0 {
                due[at] -= 1.0;
                asked += u32::from(now >= 9_000 * MS);
                if senders[at].may_send(now, Work::Light) {
                    queue.push((at, now));
                    sent.push(now);
                }
            }
        }
        if now % (100 * MS) == 0 {
            // All that may be sent is what each was given to send by its own answers, while a lease of it may hold.
            let floor = settings.trying / known as f64;
            proven.push_front(
                senders
                    .iter()
                    .map(|of| settings.growth * of.rates().in_time + floor)
                    .collect(),
            );
            proven.truncate(36);
            let most = |of: usize| {
                proven
                    .iter()
                    .map(|then: &Vec<f64>| then[of])
                    .fold(0.0, f64::max)
            };
            let (may, most): (f64, f64) = (
                senders.iter().map(|of| of.allowance(now)).sum(),
                (0..needs.len()).map(most).sum(),
            );
            assert!(may <= most + 1e-6, "{may} of {most} at {now}");
        }
        if now % (200 * MS) == 0 {
            let lacking: Vec<(u64, f64)> = senders
                .iter()
                .enumerate()
                .map(|(at, sender)| (at as u64, sender.unmet(now)))
                .collect();
            for (from, sender) in senders.iter_mut().enumerate() {
                sender.lend(now, &lacking);
                let report = Report::read(&sender.report(now).write(256)).unwrap();
                for to in (0..needs.len()).filter(|to| !halves || to % 2 == from % 2) {
                    let times = [1, 0, 2, 1][usize::from(fate[draws % fate.len()] % 4)];
                    let late = u64::from(fate[(draws + 1) % fate.len()]) * 12 * MS;
                    draws += 1;
                    (0..times).for_each(|time| {
                        under_way.push((now + late * (time + 1), now, from, to, report.clone()))
                    });
                }
            }
        }
        let (here, later): (Vec<_>, Vec<_>) =
            under_way.into_iter().partition(|(at, ..)| *at <= now);
        under_way = later;
        for (_, told, from, to, report) in here {
            // Its age is known but for what a message takes.
            senders[to].hear(
                now,
                from as u64,
                to as u64,
                &report,
                (now - told).saturating_sub(900 * MS),
            );
        }
    }
    let worst = (0..sent.len()).map(|first| {
        let window = sent[first..]
            .iter()
            .take_while(|at| **at < sent[first] + 3_000 * MS)
            .count();
        let can = (0..30)
            .map(|tenth| can(sent[first] + tenth * 100 * MS) / 10.0)
            .sum::<f64>();
        // Each sender's first call comes by itself.
        (window as f64 - needs.len() as f64) / can
    });
    let last = sent.iter().filter(|at| **at >= 9_000 * MS).count();
    (
        worst.fold(0.0, f64::max),
        last as f64 / f64::from(asked.max(1)),
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn the_sum_is_bounded(
        needs in prop::collection::vec(0.5_f64..40.0, 2..24),
        capacity in 20.0_f64..200.0,
        fate in prop::collection::vec(any::<u8>(), 1..64),
        halves: bool,
    ) {
        let (worst, _) = play(&needs, capacity, &fate, halves);
        prop_assert!(worst < 2.5, "{worst}");
    }
}

/// With messages that arrive, what one needs less the others use: most of what is asked for is sent once the place can end it.
#[test]
fn the_pace_reaches_what_is_asked_for() {
    let needs: Vec<f64> = (0..20).map(|at| if at < 4 { 20.0 } else { 2.0 }).collect();
    let (worst, last) = play(&needs, 60.0, &[0], false);
    println!("{worst:.2} of what could be ended at most, {last:.2} of what was asked for at last");
    assert!(worst < 2.5 && last > 0.85, "{worst} {last}");
}

/// Who gives does without before anybody uses it and until nobody can any more; what comes twice, late or to another life is
/// not used.
#[test]
fn what_is_lent_never_counts_twice() {
    let settings = Settings::default();
    let (mut giver, mut taker) = (Leases::default(), Leases::default());
    let lease = giver.give(0, 7, 6.0, &settings);
    assert_eq!(giver.told(0), [lease]);
    assert!(taker.take(300 * MS, 1, &lease, 200 * MS, &settings));
    assert!(
        !taker.take(400 * MS, 1, &lease, 0, &settings),
        "had before, whatever age it says"
    );
    for now in (0..4_000).map(|ms| ms * MS) {
        let all = taker.taken(now) + (6.0 - giver.given(now));
        assert!(all <= 6.0, "{all} at {now}");
    }
    assert!(taker.taken(1_900 * MS) > 5.9 && giver.given(3_100 * MS) == 0.0);
    let mut late = Leases::default();
    assert!(!late.take(9_000 * MS, 1, &lease, 2_500 * MS, &settings));
}

/// Pins the decisions of all senders: the most that was sent and what was sent at last, in runs with every fate of messages.
#[test]
fn recorded_runs_have_the_same_results() {
    const RESULTS: [(f64, f64); 6] = [
        (1.148525564, 0.581081081),
        (0.814985198, 1.000000000),
        (0.837635943, 1.000000000),
        (0.960725543, 1.000000000),
        (1.080266997, 1.000000000),
        (0.973554585, 1.000000000),
    ];
    let run = |seed: usize| {
        let needs: Vec<f64> = (0..3 + 4 * seed)
            .map(|sender| 0.5 + ((sender * 37 + seed * 11) % 39) as f64)
            .collect();
        let fate: Vec<u8> = (0..17 + seed)
            .map(|index| ((index * 73 + seed * 29) % 256) as u8)
            .collect();
        play(&needs, 20.0 + 30.0 * seed as f64, &fate, seed % 2 == 1)
    };
    for (seed, (worst, last)) in RESULTS.into_iter().enumerate() {
        let result = run(seed);
        let is_same = (result.0 - worst).abs() < 1e-9 && (result.1 - last).abs() < 1e-9;
        assert!(is_same, "{seed}: {result:?}");
    }
}
