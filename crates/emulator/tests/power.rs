//! Faults of whole machines and of paths between zones, and bounds.

mod common;

use common::small;
use woadstall_emulator::{Policy, RunResult, Scenario, run};

fn run_small(more: &str) -> RunResult {
    let end = run(&small(more), Policy::Woadstall, 3);
    assert_eq!(end.breach_count(), 0, "{:?}", end.first_breaches);
    end
}

/// Fraction of the value offered between two times in seconds that was served.
fn served(end: &RunResult, from: f64, until: f64) -> f64 {
    let steps = end
        .timeline
        .iter()
        .filter(|step| step.end_seconds > from && step.end_seconds <= until);
    let (value, offered) = steps.fold((0.0, 0.0), |(value, offered), step| {
        (
            value + step.counts.value,
            offered + step.counts.value_offered,
        )
    });
    value / offered
}

/// Upstreams suspended for less than the callers' deadline answer their requests late; upstreams suspended for
/// longer answer none.
#[test]
fn suspended_upstreams_respond_once_they_are_resumed() {
    let suspension =
        |until: &str| format!("[[fault]]\nat = \"3 s\"\nuntil = \"{until}\"\nwhat = \"stop\"\n");
    let short = run_small(&suspension("3500 ms"));
    // Of the hundred calls during the suspension, the ones before their deadline are answered afterwards.
    assert!(
        (1..90).contains(&(short.counts.failed + short.counts.refused)),
        "{:?}",
        short.counts
    );
    assert!(served(&short, 5.0, 8.0) > 0.9);
    let long = run_small(&suspension("6 s"));
    assert!(served(&long, 4.0, 6.0) < 0.05, "{:?}", long.timeline);
    assert!(long.counts.failed + long.counts.refused > short.counts.failed + short.counts.refused);
}

/// A power loss kills upstreams and balancers; both come back, the upstreams one after another.
#[test]
fn service_resumes_after_a_power_loss() {
    let power_loss = "[[fault]]\nat = \"2 s\"\nuntil = \"3 s\"\n\
                what = { power-loss = { stale = \"1 s\", over = \"1 s\" } }\n";
    let end = run_small(power_loss);
    assert!(served(&end, 2.0, 3.0) < 0.05, "no process is running");
    assert!(served(&end, 5.0, 8.0) > 0.1, "{}", served(&end, 5.0, 8.0));
    assert_eq!(
        end.timeline[2].tier_capacity_workers,
        [0.0],
        "no upstream has power"
    );
}

/// A one-way partition between two zones loses requests in that direction and the responses to the reverse
/// ones. Balancers with an upstream in their own zone continue to serve.
#[test]
fn one_direction_is_partitioned() {
    let partitioned =
        "[[fault]]\nat = \"3 s\"\nzone = \"a\"\nwhat = { link = { to = \"b\", cut = true } }\n";
    let end = run_small(partitioned);
    assert!(served(&end, 4.0, 8.0) > 0.9, "{}", served(&end, 4.0, 8.0));
}

/// Bounds are evaluated from the timeline, and each result says whether the bound was met.
#[test]
fn bounds_are_evaluated() {
    let text = "[[fault]]\nat = \"3 s\"\nuntil = \"4 s\"\nwhat = \"silent\"\n\
        [[bound]]\nname = \"before\"\nwhat = { served = { from = \"1 s\", until = \"3 s\", least = 0.9 } }\n\
        [[bound]]\nname = \"amid\"\nwhat = { served = { from = \"3 s\", until = \"4 s\", least = 0.9 } }\n\
        [[bound]]\nname = \"few\"\nwhat = { refused = { from = \"1 s\", until = \"3 s\", most = 0.05 } }\n\
        [[bound]]\nname = \"back\"\nwhat = { back = { from = \"4 s\", part = 0.9, within = \"3 s\" } }\n\
        [[bound]]\nname = \"tries\"\nwhat = { attempts = { most = 0.01 } }\n";
    let end = run_small(text);
    let results: Vec<(&str, bool)> = end
        .bounds
        .iter()
        .map(|result| (result.name.as_str(), result.is_met))
        .collect();
    assert_eq!(
        results,
        [
            ("before", true),
            ("amid", false),
            ("few", true),
            ("back", true),
            ("tries", false)
        ]
    );
    assert!(!end.is_satisfied());
    let error = |text: &str| {
        Scenario::read(&format!("{}{text}", common::SMALL))
            .unwrap_err()
            .to_string()
    };
    let late = "[[bound]]\nname = \"x\"\nwhat = { served = { from = \"9 s\", until = \"10 s\", least = 0.5 } }\n";
    assert!(error(late).contains("`until`"), "{}", error(late));
    assert!(error("[[fault]]\nat = \"1 s\"\nwhat = \"stop\"\n").contains("until"));
}
