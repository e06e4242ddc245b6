//! Processes that evacuate a zone together.

mod common;

use common::{assert_passed, run_exclusively, run_scenario};

const NINE_IN_THREE_ZONES: [&str; 4] = [
    "--set",
    "tier.0.balancers=9",
    "--set",
    "zones=[\"a\",\"b\",\"c\"]",
];

/// A zone does not respond to nine processes: those that call there and those that do not evacuate it together, three that
/// restart meanwhile learn it, no other zone is evacuated, and unsafe calls that were in flight there ran once at most.
#[test]
fn an_unresponsive_zone_is_evacuated_by_all_processes() {
    let _exclusive = run_exclusively();
    let more = r#"
[members]

[evacuation]

[[fault]]
at = "6 s"
until = "19 s"
zone = "a"
what = "silent"

[[fault]]
at = "12 s"
until = "13 s"
part = 0.34
what = { restart = {} }

[[bound]]
name = "all leave it"
what = { out = { zone = "a", from = "6 s", part = 0.99, within = "5 s" } }

[[bound]]
name = "those that restart as well"
what = { out = { zone = "a", from = "13500 ms", part = 0.99, within = "4 s" } }

[[bound]]
name = "b stays"
what = { stays = { zone = "b", from = "0 s", until = "20 s", most = 0.0 } }

"#;
    let result = run_scenario(20, more, &NINE_IN_THREE_ZONES);
    assert_passed(&result);
    assert!(
        result["evacuated"]["moves"].as_u64().unwrap() >= 9,
        "{}",
        result["evacuated"]
    );
}

/// Halves that are partitioned from each other, and errors in all zones: each half does what it can prove, and no zone is
/// evacuated for what fails everywhere.
#[test]
fn what_fails_everywhere_is_evacuated_by_no_process() {
    let _exclusive = run_exclusively();
    let more = r#"
[members]

[evacuation]

[[fault]]
at = "3 s"
until = "9 s"
part = 0.5
what = { between = { cut = true, way = "both" } }

[[fault]]
at = "5 s"
until = "12 s"
what = { errors = { share = 0.5 } }

[[bound]]
name = "a stays"
what = { stays = { zone = "a", from = "0 s", until = "14 s", most = 0.12 } }

[[bound]]
name = "b stays"
what = { stays = { zone = "b", from = "0 s", until = "14 s", most = 0.12 } }

"#;
    assert_passed(&run_scenario(14, more, &NINE_IN_THREE_ZONES));
}
