//! Golden files of scenarios: the serialized form of each library scenario, and the text of every refusal.

mod common;

use common::SMALL;
use std::fmt::Write;
use std::path::Path;
use woadstall_emulator::{Policy, Scenario};

/// One refusal per line: the text of the small scenario to replace (or nothing), its replacement (or the text
/// to append), and the error; line breaks are written as `|`.
const REFUSALS: &str = include_str!("golden/refusals.txt");
const LIBRARY: &str = include_str!("golden/library.txt");

/// Splits a golden line into its three columns.
fn columns(line: &str) -> (String, String, &str) {
    let mut parts = line.split(" => ");
    let mut next = || parts.next().unwrap();
    let (from, to) = (next().replace('|', "\n"), next().replace('|', "\n"));
    (from, to, next())
}

#[test]
fn refusals_are_unchanged() {
    assert!(REFUSALS.lines().count() >= 70);
    for line in REFUSALS.lines() {
        let (from, to, golden) = columns(line);
        let text = match from.is_empty() {
            true => format!("{SMALL}{to}"),
            false => SMALL.replace(&from, &to),
        };
        let refusal = Scenario::read(&text).unwrap_err().to_string();
        assert_eq!(refusal.replace('\n', "|"), golden, "{line}");
    }
}

#[test]
fn refusals_of_policies_are_unchanged() {
    let refusal = |name: &str| name.parse::<Policy>().unwrap_err().to_string();
    assert_eq!(
        refusal("best"),
        "there is no policy \"best\"; there are woadstall, random, round-robin, two-choices, least-connections, \
         peak-ewma, ribbon"
    );
    assert_eq!(
        refusal("random+luck"),
        "there is no addition \"luck\"; there are outlier, aimd, gradient, retries, budget"
    );
}

/// Each library scenario as JSON: the names of the keys, and the values after defaults and expanded
/// repetitions.
#[test]
fn written_scenarios_are_unchanged() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut written = String::new();
    for file in [
        "calm-day.toml",
        "cut-one-way.toml",
        "killed-and-cold.toml",
        "loopback.toml",
        "stale-padron.toml",
        "stalled-balancers.toml",
        "three-tiers.toml",
        "evacuation/flapping.toml",
        "evacuation/liars-own-zone-bad.toml",
        "evacuation/zone-silent.toml",
        "fleet/fleet-herd.toml",
        "fleet/fleet-roll.toml",
        "fleet/fleet-split.toml",
        "fleet/fleet-zone.toml",
    ] {
        let text = std::fs::read_to_string(folder.join(file)).unwrap();
        let scenario = Scenario::read(&text).unwrap();
        writeln!(written, "{}", serde_json::to_string(&scenario).unwrap()).unwrap();
    }
    assert_eq!(written, LIBRARY);
}
