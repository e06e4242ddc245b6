//! Coordinated evacuation of a zone by several processes.

mod common;

use common::{assert_passed, run_exclusively, run_scenario};

const NINE_IN_THREE_ZONES: [&str; 4] = [
    "--set",
    "tier.0.balancers=9",
    "--set",
    "zones=[\"a\",\"b\",\"c\"]",
];

/// The upstreams of zone a stop responding to nine balancers. All balancers evacuate the zone, whether they send calls to
/// it or not. Three balancers that restart during the fault learn of the evacuation. No other zone is evacuated, and
/// unsafe calls in flight in the zone are executed at most once.
#[test]
fn an_unresponsive_zone_is_evacuated_by_all_processes() {
    let _exclusive = run_exclusively();
    let additions = r#"
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
name = "all balancers evacuate a"
what = { out = { zone = "a", from = "6 s", part = 0.99, within = "5 s" } }

[[bound]]
name = "restarted balancers evacuate a"
what = { out = { zone = "a", from = "13500 ms", part = 0.99, within = "4 s" } }

[[bound]]
name = "b is not evacuated"
what = { stays = { zone = "b", from = "0 s", until = "20 s", most = 0.0 } }

"#;
    let result = run_scenario(20, additions, &NINE_IN_THREE_ZONES);
    assert_passed(&result);
    assert!(
        result["evacuated"]["moves"].as_u64().unwrap() >= 9,
        "{}",
        result["evacuated"]
    );
}

/// The members are partitioned into two halves while upstreams in all zones return errors. Each half acts only on its
/// own evidence, and no zone is evacuated because of errors that occur in all zones.
#[test]
fn errors_in_all_zones_cause_no_evacuation() {
    let _exclusive = run_exclusively();
    let additions = r#"
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
name = "a is not evacuated"
what = { stays = { zone = "a", from = "0 s", until = "14 s", most = 0.12 } }

[[bound]]
name = "b is not evacuated"
what = { stays = { zone = "b", from = "0 s", until = "14 s", most = 0.12 } }

"#;
    assert_passed(&run_scenario(14, additions, &NINE_IN_THREE_ZONES));
}
