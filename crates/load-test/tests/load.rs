//! Tests of the load test with daemons and plug-ins on loopback.

use std::collections::BTreeSet;
use std::process::{Command, Output};
use woadstall_emulator::{CallEffect, FaultKind, Load, Policy, Scenario, Span};
use woadstall_emulator_cli::rows;
use woadstall_load_test::{LoadResult, Path, check_supported, run};

const MS: u64 = 1_000_000;

/// Returns the scenario `loopback.toml`, shortened for CI.
fn short_scenario() -> Scenario {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/loopback.toml");
    let mut scenario = Scenario::read(&std::fs::read_to_string(file).unwrap()).unwrap();
    (scenario.duration, scenario.warm_up) = (Span(5_000 * MS), Span(1_000 * MS));
    scenario.callers[0].load = Load::Constant(150.0);
    scenario.fault.truncate(1);
    (scenario.fault[0].at, scenario.fault[0].until) = (Span(2_000 * MS), Some(Span(3_000 * MS)));
    // Long deadlines keep a busy machine from causing late calls.
    for class in &mut scenario.class {
        (class.latency_target, class.deadline) = (Span(2_000 * MS), Span(4_000 * MS));
    }
    scenario
}

/// The load test offers the same calls as the emulator, serves them while an upstream is dead, and breaks no rule.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_through_the_death_of_an_upstream_on_all_paths() {
    let scenario = short_scenario();
    let emulated = woadstall_emulator::run(&scenario, Policy::Woadstall, 4);
    for path in [Path::Daemon, Path::Plugin, Path::Both] {
        let LoadResult {
            end,
            lag,
            tally,
            upstreams,
        } = run(scenario.clone(), path.clone(), 4).await.unwrap();
        assert_eq!(end.breach_count(), 0, "{path:?}: {:?}", end.first_breaches);
        assert_eq!(end.counts.offered, emulated.counts.offered, "{path:?}");
        assert!(lag.calls >= end.counts.offered);
        assert!(
            end.served_value_fraction > 0.9,
            "{path:?}: {}",
            end.served_value_fraction
        );
        assert!(
            end.timeline
                .iter()
                .any(|step| !step.latency_histogram_us.is_empty())
        );
        let transports: BTreeSet<&str> = tally.keys().map(|key| key.transport).collect();
        assert_eq!(
            transports.len(),
            if path == Path::Both { 2 } else { 1 },
            "{transports:?}"
        );
        let executed: u64 = upstreams.iter().map(|upstream| upstream.executed).sum();
        assert!(
            executed * 2 > end.counts.offered,
            "{path:?}: upstreams executed {executed}"
        );
    }
}

/// If no upstream responds, each call still ends by its deadline and no call is served. If responses are lost after the
/// work, unsafe calls are not retried.
#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_upstreams_and_lost_responses_end_calls_in_time() {
    let mut scenario = short_scenario();
    (scenario.duration, scenario.warm_up) = (Span(1_500 * MS), Span(0));
    scenario.callers[0].load = Load::Constant(60.0);
    for class in &mut scenario.class {
        (class.latency_target, class.deadline) = (Span(400 * MS), Span(800 * MS));
    }
    let fault = &mut scenario.fault[0];
    (fault.at, fault.until, fault.part) = (Span(0), None, 1.0);
    for kind in [FaultKind::Unresponsive, FaultKind::ResponseLoss(1.0)] {
        scenario.fault[0].kind = kind.clone();
        let end = run(scenario.clone(), Path::Daemon, 2).await.unwrap().end;
        assert_eq!(end.breach_count(), 0, "{kind:?}: {:?}", end.first_breaches);
        assert_eq!(end.counts.on_time + end.counts.late, 0, "{kind:?}");
        assert_eq!(
            end.counts.refused + end.counts.failed,
            end.counts.offered,
            "{kind:?}"
        );
    }
}

#[test]
fn unsupported_scenarios_are_rejected_by_name() {
    let mut scenario = short_scenario();
    assert_eq!(check_supported(&scenario), Ok(()));
    scenario.fault[0].kind = FaultKind::RegistrySilent;
    assert!(
        check_supported(&scenario)
            .unwrap_err()
            .to_string()
            .contains("fault 1: a silent or wrong padron")
    );
    scenario.fault[0].kind = FaultKind::RollBalancers;
    assert!(
        check_supported(&scenario)
            .unwrap_err()
            .to_string()
            .contains("fault 1: restarts and stalls")
    );
    scenario.fault.clear();
    scenario.front = Some(Default::default());
    assert!(
        check_supported(&scenario)
            .unwrap_err()
            .to_string()
            .contains("`front`: for the lab alone")
    );
    scenario.front = None;
    scenario.tier[0].connections.max_open = 8;
    assert!(
        check_supported(&scenario)
            .unwrap_err()
            .to_string()
            .contains("`tier.connections`: for the lab alone")
    );
    scenario.tier[0].connections = Default::default();
    scenario.fault.clear();
    scenario.tier[0].upstreams = 5_000;
    assert!(
        check_supported(&scenario)
            .unwrap_err()
            .to_string()
            .contains("at most 200 nodos")
    );
    assert_eq!(scenario.class[1].effect, CallEffect::Unsafe);
}

fn run_command(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_woadstall-load-test"));
    command
        .args(arguments)
        .env("WOADSTALL_LOG", "error")
        .output()
        .unwrap()
}

/// The command writes a row that the emulator's command line can read, and latencies that HdrHistogram can read.
#[test]
fn the_command_writes_rows_and_latencies() {
    use hdrhistogram::serialization::interval_log::{IntervalLogIterator, LogEntry};
    let folder = tempfile::tempdir().unwrap();
    let scenario = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/loopback.toml");
    let (out, hdr) = (
        folder.path().join("rows.jsonl"),
        folder.path().join("log.hdr"),
    );
    let mut arguments = vec![
        scenario,
        "--seed",
        "3",
        "--out",
        out.to_str().unwrap(),
        "--hdr",
        hdr.to_str().unwrap(),
    ];
    let settings = [
        "time=1500ms",
        "warm-up=0s",
        "step=500ms",
        "callers.0.load={constant=80.0}",
        "fault=[]",
    ];
    settings
        .iter()
        .for_each(|set| arguments.extend(["--set", set]));
    let output = run_command(&arguments);
    // Exit code 4 is accepted, since the test does not depend on the speed of the machine.
    assert!(
        matches!(output.status.code(), Some(0 | 4)),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let rows = rows::read(&out).unwrap();
    assert_eq!(
        (rows.len(), rows[0].key.policy.as_str()),
        (1, "real-daemon")
    );
    assert!(rows[0].lag.as_ref().unwrap().calls > 50);
    let text = std::fs::read(&hdr).unwrap();
    let logged = IntervalLogIterator::new(&text)
        .filter(|entry| matches!(entry, Ok(LogEntry::Interval(_))))
        .count();
    assert_eq!(logged, rows[0].end.timeline.len());
    let output = run_command(&[scenario, "--target", "192.0.2.1:80"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("this machine only"));
    assert_eq!(
        run_command(&[scenario, "--through", "luck"]).status.code(),
        Some(2)
    );
}
