//! Tests of the assignment of shards and monitors to machines.

use std::collections::{BTreeMap, BTreeSet};
use woadstall_control::shards::{SHARD_COUNT, monitors, replica_group, shard_of};

fn machines(count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("10.0.{number}.1:7720"))
        .collect()
}

fn owners(machines: &[String]) -> Vec<&str> {
    (0..SHARD_COUNT)
        .map(|shard| replica_group(shard, machines.iter().map(String::as_str), 3)[0])
        .collect()
}

#[test]
fn shards_are_balanced_and_only_those_of_a_lost_machine_move() {
    let nine = machines(9);
    let before = owners(&nine);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    before
        .iter()
        .for_each(|owner| *counts.entry(owner).or_default() += 1);
    let max_owned = *counts.values().max().unwrap();
    assert!(
        max_owned <= 3 * SHARD_COUNT as usize / 9,
        "one machine owns {max_owned} of {SHARD_COUNT}"
    );
    let lost = &nine[4];
    let eight: Vec<String> = nine
        .iter()
        .filter(|machine| *machine != lost)
        .cloned()
        .collect();
    for (old, new) in before.iter().zip(owners(&eight)) {
        assert!(
            old == lost || *old == new,
            "a shard moved although its owner is still there"
        );
    }
    assert!(shard_of("any") < SHARD_COUNT);
}

#[test]
fn monitors_are_stable_when_other_machines_leave() {
    let nine = machines(9);
    let monitors_of = |name: &str, machines: &[String]| -> Vec<String> {
        monitors(name, machines.iter().map(String::as_str), 3)
            .into_iter()
            .map(str::to_owned)
            .collect()
    };
    let before = monitors_of("front-1", &nine);
    assert_eq!(before.len(), 3);
    let other = nine
        .iter()
        .find(|machine| !before.contains(machine))
        .unwrap();
    let eight: Vec<String> = nine
        .iter()
        .filter(|machine| *machine != other)
        .cloned()
        .collect();
    assert_eq!(monitors_of("front-1", &eight), before);
    let used: BTreeSet<String> = (0..60)
        .flat_map(|number| monitors_of(&format!("front-{number}"), &nine))
        .collect();
    assert!(used.len() >= 7, "too few machines are used as monitors");
}
