//! Processes that leave a zone together.

mod common;

use common::{all_kept, alone, play};

const NINE: [&str; 4] = [
    "--set",
    "tier.0.balancers=9",
    "--set",
    "zones=[\"a\",\"b\",\"c\"]",
];

/// A zone falls silent under nine processes: those that call there and those that do not are out of it together, three
/// that restart meanwhile know it, nobody leaves another, and unsafe calls that stood there ran once at most.
#[test]
fn a_silent_zone_is_left_by_all_processes() {
    let _alone = alone();
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
    let told = play(20, more, &NINE);
    all_kept(&told);
    assert!(
        told["evacuated"]["moves"].as_u64().unwrap() >= 9,
        "{}",
        told["evacuated"]
    );
}

/// Halves that do not hear each other, and what all zones depend on ill: each half does what it can prove, and nobody
/// leaves anything for what fails everywhere.
#[test]
fn what_fails_everywhere_is_left_by_no_process() {
    let _alone = alone();
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
    all_kept(&play(14, more, &NINE));
}
