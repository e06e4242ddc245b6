//! The load tool against daemons and plug-ins, on loopback.

use std::collections::BTreeSet;
use std::process::{Command, Output};
use woadstall_emulator::{CallEffect, FaultKind, Load, Policy, Scenario, Span};
use woadstall_emulator_cli::rows;
use woadstall_load_test::{Path, Played, check, run};

const MS: u64 = 1_000_000;

/// The scenario of the library that is made for sockets, shortened to what CI has time for.
fn short() -> Scenario {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/loopback.toml");
    let mut scenario = Scenario::read(&std::fs::read_to_string(file).unwrap()).unwrap();
    (scenario.time, scenario.warm_up) = (Span(5_000 * MS), Span(1_000 * MS));
    scenario.callers[0].load = Load::Constant(150.0);
    scenario.fault.truncate(1);
    (scenario.fault[0].at, scenario.fault[0].until) = (Span(2_000 * MS), Some(Span(3_000 * MS)));
    // A busy machine must not look like a slow fleet.
    for class in &mut scenario.class {
        (class.latency_target, class.deadline) = (Span(2_000 * MS), Span(4_000 * MS));
    }
    scenario
}

/// The same calls as in the lab come, are served through a nodo's death, and no rule is broken.
#[tokio::test(flavor = "multi_thread")]
async fn a_nodo_dies_and_comes_back_by_both_paths() {
    let scenario = short();
    let lab = woadstall_emulator::run(&scenario, Policy::Woadstall, 4);
    for path in [Path::Daemon, Path::Plugin, Path::Both] {
        let Played {
            end,
            lag,
            tally,
            nodos,
        } = run(scenario.clone(), path.clone(), 4).await.unwrap();
        assert_eq!(end.broken(), 0, "{path:?}: {:?}", end.first_breaches);
        assert_eq!(end.counts.offered, lab.counts.offered, "{path:?}");
        assert!(lag.calls >= end.counts.offered);
        assert!(end.served > 0.9, "{path:?}: {}", end.served);
        assert!(end.steps.iter().any(|step| !step.latencies.is_empty()));
        let paths: BTreeSet<&str> = tally.keys().map(|(path, ..)| *path).collect();
        assert_eq!(
            paths.len(),
            if path == Path::Both { 2 } else { 1 },
            "{paths:?}"
        );
        let ran: u64 = nodos.iter().map(|nodo| nodo.ran).sum();
        assert!(ran * 2 > end.counts.offered, "{path:?}: nodos saw {ran}");
    }
}

/// Where no nodo ever answers, each call has its answer in its time all the same, and none is served. Answers
/// that are lost after the work are not asked for twice where that must not be.
#[tokio::test(flavor = "multi_thread")]
async fn silence_and_lost_answers_are_told_in_time() {
    let mut scenario = short();
    (scenario.time, scenario.warm_up) = (Span(1_500 * MS), Span(0));
    scenario.callers[0].load = Load::Constant(60.0);
    for class in &mut scenario.class {
        (class.latency_target, class.deadline) = (Span(400 * MS), Span(800 * MS));
    }
    let fault = &mut scenario.fault[0];
    (fault.at, fault.until, fault.part) = (Span(0), None, 1.0);
    for what in [FaultKind::Silent, FaultKind::Lost(1.0)] {
        scenario.fault[0].what = what.clone();
        let end = run(scenario.clone(), Path::Daemon, 2).await.unwrap().end;
        assert_eq!(end.broken(), 0, "{what:?}: {:?}", end.first_breaches);
        assert_eq!(end.counts.on_time + end.counts.late, 0, "{what:?}");
        assert_eq!(
            end.counts.refused + end.counts.failed,
            end.counts.offered,
            "{what:?}"
        );
    }
}

#[test]
fn what_sockets_cannot_do_is_refused() {
    let mut scenario = short();
    assert_eq!(check(&scenario), Ok(()));
    scenario.fault[0].what = FaultKind::RegistrySilent;
    assert!(
        check(&scenario)
            .unwrap_err()
            .contains("fault 1: a silent or wrong padron")
    );
    scenario.fault[0].what = FaultKind::RollBalancers;
    assert!(
        check(&scenario)
            .unwrap_err()
            .contains("fault 1: restarts and stalls")
    );
    scenario.fault.clear();
    scenario.front = Some(Default::default());
    assert!(
        check(&scenario)
            .unwrap_err()
            .contains("`front`: for the lab alone")
    );
    scenario.front = None;
    scenario.tier[0].connections.most = 8;
    assert!(
        check(&scenario)
            .unwrap_err()
            .contains("`tier.connections`: for the lab alone")
    );
    scenario.tier[0].connections = Default::default();
    scenario.fault.clear();
    scenario.tier[0].upstreams = 5_000;
    assert!(check(&scenario).unwrap_err().contains("at most 200 nodos"));
    assert_eq!(scenario.class[1].effect, CallEffect::Unsafe);
}

fn load(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_woadstall-load-test"));
    command
        .args(arguments)
        .env("WOADSTALL_LOG", "error")
        .output()
        .unwrap()
}

/// The command writes a row that the lab's tools read, and latencies that HdrHistogram's tools do.
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
    let short = [
        "time=1500ms",
        "warm-up=0s",
        "step=500ms",
        "callers.0.load={constant=80.0}",
        "fault=[]",
    ];
    short
        .iter()
        .for_each(|set| arguments.extend(["--set", set]));
    let output = load(&arguments);
    // Whether the machine was quick enough for the figures is not what is asked here.
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
    assert_eq!(logged, rows[0].end.steps.len());
    let output = load(&[scenario, "--target", "192.0.2.1:80"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("this machine only"));
    assert_eq!(
        load(&[scenario, "--through", "luck"]).status.code(),
        Some(2)
    );
}
