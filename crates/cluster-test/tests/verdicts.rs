//! Verdicts: violated rules and bounds are detected, and an intact run passes.

mod common;

use common::{
    SMALL_SCENARIO, assert_passed, breaches, folder_with, run_exclusively, run_in, run_scenario,
};

const ROLL: &str = "\n[[fault]]\nat = \"500 ms\"\nuntil = \"2 s\"\npart = 0.34\nwhat = \"roll\"\n";

/// A rolling restart of a third of the upstreams, once without a violation and once with each of the four injected
/// violations. Each violation is detected by its own rule, and no other rule reports it.
#[test]
fn each_violation_is_found_by_its_rule_alone() {
    let _exclusive = run_exclusively();
    let without_delays =
        |additions: &str| format!("{additions}\n[network]\nwithin = \"0 s\"\nacross = \"0 s\"\n");
    let intact = run_scenario(4, &without_delays(ROLL), &[]);
    assert_passed(&intact);
    assert_eq!(
        (intact["lost"].as_u64(), intact["doubled"].as_u64()),
        (Some(0), Some(0))
    );
    assert!(
        intact["served"].as_f64().unwrap() > 0.95,
        "{}",
        intact["served"]
    );
    // A flood violates its rule only if upstreams are cold, and takes three seconds to overload an upstream.
    for (kind, rule, seconds, set) in [
        ("swallow", "one-answer", 2, "tier.0.cold=false"),
        ("repeat", "no-effect-twice", 2, "tier.0.cold=false"),
        ("deaf", "drained", 3, "tier.0.cold=false"),
        ("flood", "cold", 5, "tier.0.cold=true"),
    ] {
        let result = run_scenario(
            seconds,
            &without_delays(ROLL),
            &["--sabotage", kind, "--set", set],
        );
        assert!(
            breaches(&result, rule) > 0,
            "{kind}: {}",
            result["breaches"]
        );
        assert_eq!(result["kept"], false);
        let others = ["one-answer", "no-effect-twice", "drained", "cold"]
            .into_iter()
            .filter(|other| *other != rule);
        // An upstream that a flood has overloaded does not respond for a while, which violates no other rule.
        others.for_each(|other| {
            assert_eq!(
                breaches(&result, other),
                0,
                "{kind}: {}",
                result["first-breaches"]
            )
        });
    }
}

/// Half of the balancers are suspended while calls are in flight. Late calls at suspended balancers do not violate a
/// rule, and calls to the other balancers are served.
#[test]
fn calls_at_a_suspended_balancer_are_excused() {
    let _exclusive = run_exclusively();
    let stall = "\n[[fault]]\nat = \"500 ms\"\nuntil = \"3500 ms\"\npart = 0.5\nwhat = \"stall\"\n";
    let result = run_scenario(4, stall, &[]);
    assert_passed(&result);
    let (unanswered, overdue_at_suspended) = (
        result["lost"].as_u64().unwrap(),
        result["stood-still"].as_u64().unwrap(),
    );
    assert!(
        overdue_at_suspended > 0 && unanswered <= overdue_at_suspended,
        "{unanswered} calls without a response, {overdue_at_suspended} overdue at suspended balancers"
    );
    let counts = &result["counts"];
    assert!(
        counts["on-time"].as_u64() > counts["offered"].as_u64().map(|offered| offered / 3),
        "{counts}"
    );
}

/// Two runs with the same seed have the same calls, the same faults at the same times, and the same verdict.
#[test]
fn a_seed_reproduces_a_run() {
    let _exclusive = run_exclusively();
    let faults = "\n[[fault]]\nat = \"1500 ms\"\nuntil = \"2500 ms\"\npart = 0.34\nwhat = { kill = {} }\n\
        [[fault]]\nat = \"1500 ms\"\nuntil = \"2500 ms\"\npart = 0.5\nwhat = { restart = { stale = \"1 s\" } }\n\
        [[bound]]\nname = \"back\"\nwhat = { back = { from = \"3 s\", part = 0.9, within = \"1 s\" } }\n";
    let [first, second] = [
        run_scenario(4, faults, &["--seed", "7"]),
        run_scenario(4, faults, &["--seed", "7"]),
    ];
    for result in [&first, &second] {
        assert_passed(result);
        assert_eq!(
            result["processes"]["starts"], 6,
            "two of four balancers restarted"
        );
        assert_eq!(result["bounds"][0]["name"], "back");
    }
    assert_eq!(first["counts"]["offered"], second["counts"]["offered"]);
    let running_by_step = |result: &serde_json::Value| {
        result["steps"]
            .as_array()
            .unwrap()
            .iter()
            .map(|step| step["up"].clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        running_by_step(&first)[1],
        serde_json::json!([2, 4]),
        "{:?}",
        running_by_step(&first)
    );
    assert_eq!(running_by_step(&first)[..4], running_by_step(&second)[..4]);
}

/// Deadline of a call in the test of bounds, in milliseconds. Logs are read at whole seconds, so the deadline is chosen
/// such that calls time out between two reads rather than at a read.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Maximum number of consecutive failures that trip a circuit breaker: the value of `MAX_FAILURES_TO_TRIP` in the crate
/// `woadstall-decisions`.
const MAX_FAILURES_TO_TRIP: u64 = 6;
/// Time limit for a balancer to report that it leaves its zone, in milliseconds; also the duration of the run. In the
/// worst case no two failing calls overlap, so each call fails one deadline after the previous one, and the log is read up
/// to a second later.
const REPORT_WITHIN_MS: u64 = MAX_FAILURES_TO_TRIP * CALL_TIMEOUT_MS + 1_000;

/// A violated bound is reported and fails the run.
#[test]
fn a_broken_bound_fails_the_run() {
    let _exclusive = run_exclusively();
    let silent = format!(
        "\n[[fault]]\nat = \"0 s\"\nwhat = \"silent\"\n[[bound]]\nname = \"served\"\n\
        what = {{ served = {{ from = \"0 s\", until = \"2 s\", least = 0.5 }} }}\n\
        [[bound]]\nname = \"told\"\nwhat = {{ told = {{ topic = \"zone_left\", from = \"0 s\", least = 1, \
        within = \"{REPORT_WITHIN_MS} ms\" }} }}\n"
    );
    let scenario = SMALL_SCENARIO
        .replace(
            "time = \"4 s\"",
            &format!("time = \"{REPORT_WITHIN_MS} ms\""),
        )
        .replace(
            "deadline = \"2 s\"",
            &format!("deadline = \"{CALL_TIMEOUT_MS} ms\""),
        );
    let result = run_in(&folder_with(&(scenario + &silent)), &[]);
    assert_eq!(
        (&result["kept"], &result["bounds"][0]["kept"]),
        (&false.into(), &false.into())
    );
    assert_eq!(result["bounds"][0]["seen"], 0.0);
    assert_eq!(
        result["bounds"][1]["kept"], true,
        "a balancer reports that it leaves its zone: {}",
        result["bounds"]
    );
    let rules = result["breaches"].as_object().unwrap();
    assert!(
        rules.values().all(|count| count == 0),
        "{}",
        result["first-breaches"]
    );
}
