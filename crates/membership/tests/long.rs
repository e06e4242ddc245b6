//! Hours in simulated time: `cargo test --release -p woadstall-membership --test long -- --ignored --nocapture`.
//! `MEMBERS`, `MINUTES` and `SEED` say how many, how long and which; `ASLEEP=30` that one in 30 sleeps at any time, 0 none.

mod common;

use common::{Link, MS, Net, SECOND};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woadstall_membership::{Event, Verdict};

fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(usual)
}

/// A tenth of all messages lost, and one member in thirty asleep at any time, for up to five seconds; now and then one
/// is killed and comes back. Tells false deaths, and how long true ones took until all knew.
#[test]
#[ignore = "a measurement"]
fn hours_of_losses_and_pauses() {
    let (members, minutes, seed) = (
        number("MEMBERS", 60) as usize,
        number("MINUTES", 60),
        number("SEED", 1),
    );
    let one_in = number("ASLEEP", 30);
    let mut net = Net::new(members, seed);
    net.usual(Link {
        loss: 0.1,
        delay: MS,
        jitter: 5 * MS,
        ..Link::default()
    });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut asleep: Vec<(u64, usize)> = Vec::new();
    let (mut false_deaths, mut pauses, mut known, mut suspicions) = (0, 0, Vec::new(), 0);
    let mut former = None;
    net.bytes = 0;
    let began = net.now;
    for minute in 0..minutes {
        let victim = rng.random_range(2..members);
        let mut dies_at = Some(net.now + 20 * SECOND);
        let (mut died_at, mut all_know) = (0, None);
        for _ in 0..600 {
            net.run(SECOND / 10);
            let over: Vec<usize> = asleep
                .iter()
                .filter(|(until, _)| *until <= net.now)
                .map(|(_, at)| *at)
                .collect();
            asleep.retain(|(until, _)| *until > net.now);
            over.into_iter().for_each(|at| net.pause(at, false));
            let at = rng.random_range(0..members);
            let may = at != victim && !asleep.iter().any(|(_, other)| *other == at);
            if may
                && one_in > 0
                && rng.random::<f64>() < members as f64 / one_in as f64 / 2.5 / 10.0
            {
                asleep.push((net.now + rng.random_range(50 * MS..5 * SECOND), at));
                net.pause(at, true);
                pauses += 1;
            }
            if dies_at.is_some_and(|at| net.now >= at) {
                (dies_at, died_at) = (None, net.now);
                net.kill(victim);
            }
            if died_at > 0 && all_know.is_none() {
                let awake =
                    |by: &usize| *by != victim && !asleep.iter().any(|(_, other)| other == by);
                let mut others = (0..members).filter(awake);
                if others.all(|by| matches!(net.state(victim, by), Some(Verdict::Dead))) {
                    all_know = Some((net.now - died_at) as f64 / 1e9);
                }
            }
        }
        known.extend(all_know);
        net.start(victim, 2_000_000 + minute, 1_000_000 + minute);
        let name = net.names[victim].clone();
        // One that slept through the end of the minute before may hear of that one's death only now.
        let before = former.replace(name.clone());
        for (at, who, event) in net.events.drain(..) {
            match event {
                Event::Dead { name: dead, .. } if Some(&dead) == before.as_ref() => {}
                Event::Dead { name: dead, by } if dead != name => {
                    println!(
                        "{:.1} s: member {who} holds {dead} for dead, first said by {by:?}",
                        at as f64 / 1e9
                    );
                    false_deaths += 1;
                }
                Event::Suspected { .. } => suspicions += 1,
                _ => {}
            }
        }
    }
    known.sort_by(f64::total_cmp);
    let seconds = (net.now - began) / SECOND;
    println!(
        "{members} members, {minutes} minutes, {pauses} pauses: {false_deaths} false deaths, {suspicions} words of \
         suspicion, {} of {minutes} deaths known by all who were awake after {:.1} s in the median, {:.1} s at most; \
         {} bytes a second each",
        known.len(),
        known.get(known.len() / 2).unwrap_or(&f64::NAN),
        known.last().unwrap_or(&f64::NAN),
        net.bytes / seconds / members as u64
    );
    assert_eq!(false_deaths, 0);
}

/// One member after another says something: how long until all others have it, without losses and with a tenth lost.
#[test]
#[ignore = "a measurement"]
fn facts_reach_all() {
    let (members, seed) = (number("MEMBERS", 300) as usize, number("SEED", 1));
    for loss in [0.0, 0.1] {
        let mut net = Net::new(members, seed);
        net.usual(Link {
            loss,
            delay: MS,
            jitter: 2 * MS,
            ..Link::default()
        });
        net.run(20 * SECOND);
        let key = common::name("evidence");
        let mut times = Vec::new();
        for round in 0..20_u8 {
            let owner = usize::from(round) * 7 % members;
            let now = net.now;
            net.nodes[owner]
                .as_mut()
                .unwrap()
                .say(now, key.clone(), 200, vec![round; 64])
                .unwrap();
            net.after(owner);
            let mut left: Vec<usize> = (0..members).filter(|of| *of != owner).collect();
            while !left.is_empty() && net.now < now + 60 * SECOND {
                net.run(10 * MS);
                let (owner, took) = (&net.names[owner], net.now - now);
                left.retain(|of| {
                    let fact = net.nodes[*of].as_ref().unwrap().fact(owner, &key);
                    let missing = fact.is_none_or(|fact| fact.bytes[0] != round);
                    if !missing {
                        times.push(took / MS);
                    }
                    missing
                });
            }
            times.extend(left.iter().map(|_| 60_000));
            net.run(SECOND);
        }
        times.sort_unstable();
        let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
        println!(
            "{members} members, {loss} lost: a fact after {} ms (p50), {} (p99), {} at most",
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
}
