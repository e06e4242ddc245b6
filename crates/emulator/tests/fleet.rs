//! Fleets with sidecar balancers, a front, limited connections, and discovery that balancers must query.

mod common;

use common::small;
use woadstall_emulator::{
    Connections, Cost, FrontConfig, Policy, ProbeConfig, RunResult, Scenario, Span, run,
};

const SECOND: u64 = 1_000_000_000;

/// Three tiers; sidecar balancers send to the second and the third one.
fn tiers(additions: &str) -> Scenario {
    let calls = "workers = 24\ncalls = { tier = \"posting\", mean = 1.0 }\n";
    let first = common::SMALL.replace("workers = 2\n", calls);
    let text = format!(
        r#"{first}
[[tier]]
name = "posting"
beside = true
nodos = 9
workers = 8
calls = {{ tier = "ledger", mean = 2.0 }}

[[tier]]
name = "ledger"
beside = true
nodos = 12
workers = 4
{additions}"#
    );
    Scenario::read(&text).unwrap()
}

fn play(scenario: &Scenario) -> RunResult {
    let end = run(scenario, Policy::Woadstall, 1);
    assert_eq!(end.breach_count(), 0, "{:?}", end.first_breaches);
    end
}

fn cost_total(end: &RunResult, tier: &str, cost: Cost) -> u64 {
    end.costs
        .iter()
        .find(|row| row.tier == tier && row.cost == cost)
        .map_or(0, |row| row.total)
}

#[test]
fn each_calling_upstream_has_a_balancer_of_its_own() {
    let scenario = tiers("");
    assert_eq!(
        (
            scenario.balancer_count(0),
            scenario.balancer_count(1),
            scenario.balancer_count(2)
        ),
        (3, 6, 9)
    );
    assert_eq!(scenario.settings(2, 0).balancers, 9);
    let end = play(&scenario);
    assert!(
        end.served_value_fraction > 0.97,
        "{}",
        end.served_value_fraction
    );
    // Each of nine sidecars opens connections to the upstreams of its zone, and none has a large part of them.
    let row = end
        .costs
        .iter()
        .find(|row| row.tier == "ledger" && row.cost == Cost::Handshakes)
        .unwrap();
    let (_, largest_fraction) = row.largest_sender;
    assert!(row.total >= 9 * 6 && largest_fraction < 0.25, "{row:?}");
}

/// A sidecar dies and starts with its upstream. Its open requests need no answer, and the new process starts
/// with the present list.
#[test]
fn a_sidecar_balancer_dies_and_starts_with_its_upstream() {
    let fault = "[[fault]]\nat = \"2 s\"\nuntil = \"4 s\"\npart = 0.5\nwhat = { kill = {} }\n";
    let faults = fault.to_owned() + &fault.replace("part = 0.5", "part = 0.34\ntier = \"posting\"");
    let end = play(&tiers(&faults));
    assert!(
        end.served_value_fraction > 0.9 && end.counts.failed > 0,
        "{} {:?}",
        end.served_value_fraction,
        end.counts
    );
    // The new process has no connections and opens all of them again.
    let without_faults = play(&tiers(""));
    let handshakes = cost_total(&end, "ledger", Cost::Handshakes);
    assert!(
        handshakes >= cost_total(&without_faults, "ledger", Cost::Handshakes) + 10,
        "{handshakes}"
    );
    let is_after_return =
        |step: &&woadstall_emulator::TimelineStep| step.end_seconds > 6.5 && step.end_seconds < 8.0;
    let (served, offered) = end
        .timeline
        .iter()
        .filter(is_after_return)
        .fold((0, 0), |(served, offered), step| {
            (served + step.counts.on_time, offered + step.counts.offered)
        });
    assert!(
        served * 100 > offered * 90,
        "{served} of {offered} served once all upstreams are back"
    );
}

/// The front assigns connections to a dead balancer until it detects the death, so the same death costs more
/// with a longer detection delay.
#[test]
fn a_front_with_delayed_detection_sends_to_dead_processes() {
    let unreached_and_failed = |detection_delay: u64| {
        let fault =
            "[[fault]]\nat = \"2 s\"\nuntil = \"6 s\"\npart = 0.67\nwhat = { restart = {} }\n";
        let mut scenario = small(fault);
        scenario.front = Some(FrontConfig {
            detection_delay: Span(detection_delay),
            ..FrontConfig::default()
        });
        let end = play(&scenario);
        (cost_total(&end, "only", Cost::Unreached), end.counts.failed)
    };
    let (early_unreached, early_failed) = unreached_and_failed(SECOND / 10);
    let (late_unreached, late_failed) = unreached_and_failed(3 * SECOND);
    assert!(
        early_unreached < 60 && late_unreached > 3 * early_unreached.max(20),
        "{early_unreached} {late_unreached}"
    );
    assert!(late_failed > early_failed, "{early_failed} {late_failed}");
}

/// Callers open as many connections as they need concurrently and keep them; weights make some balancers busier
/// than others.
#[test]
fn callers_keep_their_connections() {
    let mut scenario = small("");
    scenario.front = Some(FrontConfig {
        max_weight_ratio: 20.0,
        ..FrontConfig::default()
    });
    let end = play(&scenario);
    let connections = cost_total(&end, "only", Cost::CallerConnections);
    assert!(
        connections > 3 && connections * 20 < end.counts.offered,
        "{connections} of {}",
        end.counts.offered
    );
}

/// Results of a run that depend on the configuration of connections.
#[derive(Debug)]
struct ConnectionFigures {
    refused_connections: u64,
    mean_latency_ms: f64,
    served_value_fraction: f64,
}

/// Upstreams with a connection limit refuse further connections, and the work on new connections takes time.
#[test]
fn connections_are_limited_and_costly_as_configured() {
    let with = |connections: Connections| {
        let mut scenario = small("");
        scenario.tier[0].connections = connections;
        let end = play(&scenario);
        ConnectionFigures {
            refused_connections: cost_total(&end, "only", Cost::ConnectionsRefused),
            mean_latency_ms: end.latency.mean,
            served_value_fraction: end.served_value_fraction,
        }
    };
    let unlimited = with(Connections::default());
    let limited = with(Connections {
        max_open: 2,
        ..Connections::default()
    });
    let costly = with(Connections {
        handshake_work: Span(SECOND / 10),
        handshake_round_trips: 3,
        ..Connections::default()
    });
    assert!(
        unlimited.refused_connections == 0 && limited.refused_connections > 10,
        "{unlimited:?} {limited:?}"
    );
    assert!(
        limited.served_value_fraction > 0.8,
        "one connection in use at each upstream is enough for most calls: {limited:?}"
    );
    assert!(
        costly.mean_latency_ms > 1.1 * unlimited.mean_latency_ms,
        "{unlimited:?} {costly:?}"
    );
}

/// Many balancers that start together on a discovery with five reads per second: some reads fail, and all
/// balancers succeed in the end.
#[test]
fn all_balancers_read_the_list_from_an_overloaded_discovery() {
    let additions = r#"
[padron]
asked = { reads = 5.0, patience = "1 s", within = "10 s" }

[[fault]]
at = "5 s"
until = "6 s"
what = { restart = { stale = "3 s" } }

[[fault]]
at = "2 s"
until = "14 s"
part = 0.5
what = "replace"
"#;
    let mut scenario = small(additions);
    (
        scenario.duration,
        scenario.tier[0].balancers,
        scenario.tier[0].upstreams,
    ) = (Span(25 * SECOND), 24, 12);
    let end = play(&scenario);
    let (reads, failed) = (
        cost_total(&end, "only", Cost::Reads),
        cost_total(&end, "only", Cost::FailedReads),
    );
    assert!(
        reads - failed >= 48 && failed > 0,
        "{reads} reads, {failed} failed"
    );
    let last_steps = end
        .timeline
        .iter()
        .filter(|step| step.end_seconds > 20.0 && step.end_seconds < 25.0);
    let (served, offered) = last_steps.fold((0, 0), |(served, offered), step| {
        (served + step.counts.on_time, offered + step.counts.offered)
    });
    assert!(
        served * 100 > offered * 97,
        "{served} of {offered} served once all balancers know the new upstreams"
    );
}

/// A rolling restart of balancers loses no calls: draining balancers get no new connections and answer their
/// open requests.
#[test]
fn rolling_restarts_of_balancers_lose_no_calls() {
    let fault = "[[fault]]\nat = \"1 s\"\nuntil = \"5 s\"\nwhat = \"roll-balancers\"\n";
    let mut scenario = small(fault);
    scenario.front = Some(FrontConfig::default());
    scenario.tier[0].upstreams = 10;
    let end = play(&scenario);
    assert_eq!(cost_total(&end, "only", Cost::Unreached), 0);
    assert_eq!(end.counts.failed, 0, "{:?}", end.counts);
    let without_drain = small(&fault.replace("\"roll-balancers\"", "{ restart = {} }"));
    assert!(
        play(&without_drain).counts.failed > 50,
        "a restart without a drain loses calls"
    );
}

/// If upstreams report their load to probes, balancers probe before they send. Partitioned and dead upstreams
/// do not answer.
#[test]
fn health_checks_are_answered_by_running_processes() {
    let mut scenario =
        small("[[fault]]\nat = \"3 s\"\nuntil = \"5 s\"\npart = 0.34\nwhat = \"silent\"\n");
    scenario.tier[0].probed = Some(ProbeConfig {
        cost: 0.001,
        timeout: Span(SECOND / 20),
    });
    let end = play(&scenario);
    let probes = cost_total(&end, "only", Cost::Probes);
    assert!(
        2 * probes > 3 * end.counts.offered,
        "{probes} for {}",
        end.counts.offered
    );
    assert!(
        end.served_value_fraction > 0.9,
        "{}",
        end.served_value_fraction
    );
    scenario.tier[0].probed = Some(ProbeConfig {
        cost: 0.5,
        timeout: Span(SECOND / 20),
    });
    assert_eq!(
        cost_total(&play(&scenario), "only", Cost::Probes),
        0,
        "a probe costs more than it gains"
    );
}

/// Large bodies take their transfer time.
#[test]
fn large_bodies_take_transfer_time() {
    let mean_latency = |bytes: f64| {
        let mut scenario = small("");
        scenario.network.bytes_per_second = 1e6;
        scenario
            .class
            .iter_mut()
            .for_each(|class| class.bytes = bytes);
        play(&scenario).latency.mean
    };
    let (small, large) = (mean_latency(100.0), mean_latency(20_000.0));
    assert!(
        (15.0..30.0).contains(&(large - small)),
        "{small} ms, {large} ms"
    );
}

#[test]
fn errors_name_the_key_of_the_invalid_value() {
    let error = |text: &str| {
        Scenario::read(&(common::SMALL.to_owned() + text))
            .unwrap_err()
            .to_string()
    };
    let tier = |keys: &str| error(&format!("[[tier]]\nname = \"more\"\nnodos = 2\n{keys}\n"));
    assert!(tier("beside = true").contains("no tier calls it"));
    assert!(tier("").contains("`balancers` must not be 0"));
    assert!(
        tier("balancers = 1\nprobed = { price = 2.0, patience = \"1 s\" }")
            .contains("probed.price")
    );
    assert!(tier("balancers = 1\nconnections = { trips = 11 }").contains("connections.trips"));
    assert!(error("[front]\nuneven = 0.5\n").contains("front.uneven"));
    let queries = "[padron]\nasked = { reads = 0.0, patience = \"1 s\", within = \"1 s\" }\n";
    assert!(error(queries).contains("padron.asked.reads"));
    let endless_roll = "[[fault]]\nat = \"1 s\"\nwhat = \"roll-balancers\"\n";
    assert!(error(endless_roll).contains("`until` is missing"));
}
