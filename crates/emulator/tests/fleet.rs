//! Fleets with sidecar balancers, a front, limited connections, and discovery that balancers must query.

mod common;

use common::small;
use woadstall_emulator::{
    Connections, Cost, FrontConfig, Policy, ProbeConfig, RunResult, Scenario, Span, run,
};

const SECOND: u64 = 1_000_000_000;

/// Three tiers; sidecars send to the second and the third.
fn tiers(more: &str) -> Scenario {
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
{more}"#
    );
    Scenario::read(&text).unwrap()
}

fn play(scenario: &Scenario) -> RunResult {
    let end = run(scenario, Policy::Woadstall, 1);
    assert_eq!(end.breach_count(), 0, "{:?}", end.first_breaches);
    end
}

fn cost_total(end: &RunResult, tier: &str, price: Cost) -> u64 {
    end.costs
        .iter()
        .find(|row| row.tier == tier && row.cost == price)
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
    assert!(row.total >= 9 * 6 && row.largest_sender.1 < 0.25, "{row:?}");
}

/// A sidecar dies and starts with its upstream. Its open requests need no answer, and the new process starts
/// with the present list.
#[test]
fn a_sidecar_balancer_dies_and_starts_with_its_upstream() {
    let fault = "[[fault]]\nat = \"2 s\"\nuntil = \"4 s\"\npart = 0.5\nwhat = { kill = {} }\n";
    let all = fault.to_owned() + &fault.replace("part = 0.5", "part = 0.34\ntier = \"posting\"");
    let end = play(&tiers(&all));
    assert!(
        end.served_value_fraction > 0.9 && end.counts.failed > 0,
        "{} {:?}",
        end.served_value_fraction,
        end.counts
    );
    // The new process has no connections and opens all of them again.
    let (calm, killed) = (
        play(&tiers("")),
        cost_total(&end, "ledger", Cost::Handshakes),
    );
    assert!(
        killed >= cost_total(&calm, "ledger", Cost::Handshakes) + 10,
        "{killed}"
    );
    let after =
        |step: &&woadstall_emulator::TimelineStep| step.end_seconds > 6.5 && step.end_seconds < 8.0;
    let (served, offered) = end
        .timeline
        .iter()
        .filter(after)
        .fold((0, 0), |(served, offered), step| {
            (served + step.counts.on_time, offered + step.counts.offered)
        });
    assert!(
        served * 100 > offered * 90,
        "{served} of {offered} once all are back"
    );
}

/// The front assigns connections to a dead balancer until it detects the death, so the same death costs more
/// with a longer detection delay.
#[test]
fn a_front_with_delayed_detection_sends_to_dead_processes() {
    let with = |detection_delay: u64| {
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
    let (soon, late) = (with(SECOND / 10), with(3 * SECOND));
    assert!(
        soon.0 < 60 && late.0 > 3 * soon.0.max(20),
        "{soon:?} {late:?}"
    );
    assert!(late.1 > soon.1, "{soon:?} {late:?}");
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
    let lines = cost_total(&end, "only", Cost::CallerConnections);
    assert!(
        lines > 3 && lines * 20 < end.counts.offered,
        "{lines} of {}",
        end.counts.offered
    );
}

/// Upstreams with a connection limit refuse further connections, and the work on new connections takes time.
#[test]
fn connections_are_limited_and_costly_as_configured() {
    let with = |connections: Connections| {
        let mut scenario = small("");
        scenario.tier[0].connections = connections;
        let end = play(&scenario);
        let crowded = cost_total(&end, "only", Cost::ConnectionsRefused);
        (
            crowded,
            cost_total(&end, "only", Cost::Handshakes),
            end.latency.mean,
            end.served_value_fraction,
        )
    };
    let free = with(Connections::default());
    let scarce = with(Connections {
        max_open: 2,
        ..Connections::default()
    });
    let dear = with(Connections {
        handshake_work: Span(SECOND / 10),
        handshake_round_trips: 3,
        ..Connections::default()
    });
    assert!(free.0 == 0 && scarce.0 > 10, "{free:?} {scarce:?}");
    assert!(
        scarce.3 > 0.8,
        "one in use at each nodo is enough for most: {scarce:?}"
    );
    assert!(dear.2 > 1.1 * free.2, "{free:?} {dear:?}");
}

/// Many balancers that start together on a discovery with five reads per second: some reads fail, and all
/// balancers succeed in the end.
#[test]
fn all_balancers_read_the_list_from_an_overloaded_discovery() {
    let queries = r#"
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
    let mut scenario = small(queries);
    (
        scenario.duration,
        scenario.tier[0].balancers,
        scenario.tier[0].upstreams,
    ) = (Span(25 * SECOND), 24, 12);
    let end = play(&scenario);
    let (reads_per_second, failed) = (
        cost_total(&end, "only", Cost::Reads),
        cost_total(&end, "only", Cost::FailedReads),
    );
    assert!(
        reads_per_second - failed >= 48 && failed > 0,
        "{reads_per_second} reads, {failed} failed"
    );
    let late = end
        .timeline
        .iter()
        .filter(|step| step.end_seconds > 20.0 && step.end_seconds < 25.0);
    let (served, offered) = late.fold((0, 0), |(served, offered), step| {
        (served + step.counts.on_time, offered + step.counts.offered)
    });
    assert!(
        served * 100 > offered * 97,
        "{served} of {offered} once all know the new nodos"
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
    let killed = small(&fault.replace("\"roll-balancers\"", "{ restart = {} }"));
    assert!(play(&killed).counts.failed > 50, "the same without a drain");
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
    let with = |bytes: f64| {
        let mut scenario = small("");
        scenario.network.bytes_per_second = 1e6;
        scenario
            .class
            .iter_mut()
            .for_each(|class| class.bytes = bytes);
        play(&scenario).latency.mean
    };
    let (small, large) = (with(100.0), with(20_000.0));
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
    let roll = "[[fault]]\nat = \"1 s\"\nwhat = \"roll-balancers\"\n";
    assert!(error(roll).contains("`until` is missing"));
}
