//! Scenarios: errors in invalid ones, the library, and edge cases.

mod common;

use common::{SMALL, small};
use woadstall_emulator::{Policy, Scenario, run};

/// Error of the small scenario with a part of its text replaced.
fn error_after_replacing(from: &str, to: &str) -> String {
    assert!(SMALL.contains(from), "{from}");
    Scenario::read(&SMALL.replace(from, to))
        .unwrap_err()
        .to_string()
}

/// An error names the key, and for an error in the text also the line.
#[test]
fn errors_name_their_key_or_line() {
    let assert_error = |from, to, expected: &str| {
        let error = error_after_replacing(from, to);
        assert!(error.contains(expected), "{to}: {error}");
    };
    assert_error("time = \"8 s\"", "time = \"8 parsecs\"", "line 3");
    assert_error("time = \"8 s\"", "time = \"8 parsecs\"", "parsecs");
    assert_error("time = \"8 s\"", "time = 8", "with its unit");
    assert_error("time = \"8 s\"", "time = \"90 days\"", "longer than a week");
    assert_error("nodos = 6", "nodes = 6", "nodes");
    assert_error("nodos = 6", "nodos = -6", "line 33");
    assert_error("nodos = 6", "nodos = 6000000", "at most");
    assert_error("balancers = 3", "balancers = 0", "balancers");
    assert_error("constant = 200.0", "constant = -200.0", "a rate is -200");
    assert_error("constant = 200.0", "constant = 1e9", "calls, of");
    assert_error("constant = 200.0", "constant = nan", "a rate is NaN");
    assert_error("look = 1.0", "glance = 1.0", "there is no class glance");
    assert_error("name = \"post\"", "name = \"look\"", "there twice");
    assert_error("window = \"3 s\"", "", "`window` is missing");
    assert_error("worth = 2.0", "worth = -1.0", "`worth` is -1");
    assert_error(
        "aim = \"300 ms\"",
        "aim = \"3 s\"",
        "nor `deadline` shorter",
    );
    assert_error(
        "exponential = \"20 ms\"",
        "pareto = { mean = \"20 ms\", shape = 1.0 }",
        "no mean",
    );
    assert_error(
        "exponential = \"20 ms\"",
        "measured = []",
        "`measured` is empty",
    );
    assert_error("zones = [\"a\", \"b\"]", "zones = []", "`zones` is empty");
    let call_cycle = "calls = { tier = \"other\", mean = 2.0 }\n[[tier]]\nname = \"other\"\nbalancers = 1\n\
                  nodos = 1\ncalls = { tier = \"only\", mean = 1.0 }\n";
    assert_error(
        "workers = 2",
        &format!("workers = 2\n{call_cycle}"),
        "goes in a circle",
    );
}

#[test]
fn errors_in_faults_are_named() {
    let error = |what: &str| {
        Scenario::read(&format!("{SMALL}[[fault]]\nat = \"1 s\"\n{what}")).unwrap_err()
    };
    assert!(
        error("what = \"cut-to\"")
            .to_string()
            .contains("`zone` is missing")
    );
    assert!(
        error("what = { slow = 0.0 }")
            .to_string()
            .contains("not from 0.01")
    );
    assert!(
        error("until = \"1 s\"\nwhat = \"silent\"")
            .to_string()
            .contains("not after")
    );
    assert!(
        error("zone = \"c\"\nwhat = \"silent\"")
            .to_string()
            .contains("no zone c")
    );
    assert!(error("what = \"explode\"").to_string().contains("explode"));
}

#[test]
fn policies_are_named() {
    for name in [
        "woadstall",
        "random",
        "peak-ewma+outlier+gradient+budget",
        "ribbon+retries",
    ] {
        assert_eq!(name.parse::<Policy>().unwrap().to_string(), name);
    }
    assert!(
        "best"
            .parse::<Policy>()
            .unwrap_err()
            .to_string()
            .contains("ribbon")
    );
    assert!(
        "random+luck"
            .parse::<Policy>()
            .unwrap_err()
            .to_string()
            .contains("outlier")
    );
}

/// Edge cases end without a breach: no upstream, one upstream, no load, no reachable upstream, callers that
/// vanish with their balancer, and clocks that differ.
#[test]
fn edge_cases_end_without_a_breach() {
    let mut no_upstream = small("");
    no_upstream.tier[0].upstreams = 0;
    let end = run(&no_upstream, Policy::Woadstall, 1);
    assert_eq!(
        (end.breach_count(), end.counts.on_time, end.counts.refused),
        (0, 0, end.counts.offered)
    );
    let mut one_upstream = small("");
    (one_upstream.tier[0].upstreams, one_upstream.tier[0].workers) = (1, 16);
    let end = run(&one_upstream, Policy::Woadstall, 1);
    assert!(
        end.breach_count() == 0 && end.served_value_fraction > 0.95,
        "{} {:?}",
        end.served_value_fraction,
        end.first_breaches
    );
    let idle = Scenario::read(&SMALL.replace("constant = 200.0", "constant = 0.0")).unwrap();
    let end = run(&idle, Policy::Woadstall, 1);
    assert_eq!((end.breach_count(), end.counts.offered), (0, 0));
    let unresponsive =
        |zone: &str| format!("[[fault]]\nat = \"0 s\"\nzone = \"{zone}\"\nwhat = \"silent\"\n");
    let end = run(
        &small(&(unresponsive("a") + &unresponsive("b"))),
        Policy::Woadstall,
        1,
    );
    assert_eq!(
        (end.breach_count(), end.counts.on_time + end.counts.late),
        (0, 0),
        "{:?}",
        end.first_breaches
    );
    let balancers_down =
        "[[fault]]\nat = \"2 s\"\nuntil = \"4 s\"\nwhat = { restart = { stale = \"1 s\" } }\n";
    let end = run(&small(balancers_down), Policy::Woadstall, 1);
    assert_eq!(end.breach_count(), 0, "{:?}", end.first_breaches);
    assert!(end.counts.failed > 50, "no balancer runs for two seconds");
    let mut differing_clocks =
        small("[[fault]]\nat = \"2 s\"\nuntil = \"4 s\"\npart = 0.5\nwhat = { kill = {} }\n");
    (
        differing_clocks.clocks.max_offset,
        differing_clocks.clocks.max_drift,
    ) = (woadstall_emulator::Span(1_000_000_000), 0.001);
    let end = run(&differing_clocks, Policy::Woadstall, 1);
    assert_eq!(end.breach_count(), 0, "{:?}", end.first_breaches);
}

/// Conditions that balancers cannot influence (a wrong registry, clock steps, lost messages, few connections)
/// break no rule, and the remaining capacity is used.
#[test]
fn external_conditions_break_no_rule() {
    let run_with = |fault: &str, change: &dyn Fn(&mut Scenario)| {
        let mut scenario = small(&format!(
            "[[fault]]\nat = \"2 s\"\nuntil = \"5 s\"\npart = 0.5\nwhat = {fault}\n"
        ));
        change(&mut scenario);
        let end = run(&scenario, Policy::Woadstall, 1);
        assert_eq!(end.breach_count(), 0, "{fault}: {:?}", end.first_breaches);
        end
    };
    let served = run_with("\"padron-wrong\"", &|scenario| {
        scenario.tier[0].upstreams = 12
    })
    .served_value_fraction;
    assert!(served > 0.97, "{served}: half of the upstreams suffice");
    // Requests that are open at the clock step are abandoned; later ones are served.
    let served = run_with("{ clock-step = \"3 s\" }", &|_| {}).served_value_fraction;
    assert!(served > 0.9, "{served}");
    let lossy = run_with("\"padron-wrong\"", &|scenario| {
        scenario.fault.clear();
        (scenario.network.loss, scenario.network.resets) = (0.02, 0.02);
    });
    assert!(
        lossy.served_value_fraction > 0.85 && lossy.counts.failed > 20,
        "{} {:?}",
        lossy.served_value_fraction,
        lossy.counts
    );
    let served_and_refused = |max_connections| {
        let end = run_with("\"padron-wrong\"", &|scenario| {
            scenario.fault.clear();
            scenario.limits.max_connections = max_connections;
        });
        (end.served_value_fraction, end.counts.refused)
    };
    let (served, _) = served_and_refused(16);
    assert!(served > 0.97, "{served}");
    // One connection per balancer can serve fifty calls per second, and three of them serve 150 of 200.
    let (served, refused) = served_and_refused(1);
    assert!(served < 0.85 && refused > 200, "{served} {refused}");
}

/// Each fault reduces service with a policy that hardly balances.
#[test]
fn faults_reduce_service() {
    let served = |fault: &str| {
        let fault = format!("[[fault]]\nat = \"0 s\"\npart = 0.5\nwhat = {fault}\n");
        let fault = if fault.contains("cut") {
            fault + "zone = \"a\"\n"
        } else {
            fault
        };
        run(&small(&fault), "random".parse().unwrap(), 1).served_value_fraction
    };
    let without_fault = run(&small(""), "random".parse().unwrap(), 1).served_value_fraction;
    assert!(without_fault > 0.97, "{without_fault}");
    for fault in [
        "{ kill = {} }",
        "{ slow = 20.0 }",
        "{ errors = { share = 0.9 } }",
        "{ errors = { share = 1.0, class = \"pay\" } }",
        "{ lost = 0.9 }",
        "{ resets = 0.9 }",
        "\"silent\"",
        "\"full\"",
        "\"cut-to\"",
        "\"cut-from\"",
        "{ slow-link = 2000.0 }",
    ] {
        let with_fault = served(fault);
        assert!(with_fault < without_fault - 0.05, "{fault}: {with_fault}");
    }
}

/// Every library scenario is valid, and the engine keeps the rules in a shortened run of each.
#[test]
fn library_scenarios_are_valid_and_keep_the_rules() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let files = ["", "/fleet"]
        .into_iter()
        .flat_map(|subfolder| std::fs::read_dir(format!("{folder}{subfolder}")).unwrap());
    let files = files.map(|file| file.unwrap().path());
    let files: Vec<_> = files
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "toml")
        })
        .collect();
    assert!(files.len() >= 24, "{}", files.len());
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        let mut scenario =
            Scenario::read(&text).unwrap_or_else(|error| panic!("{file:?}: {error}"));
        assert_eq!(
            file.file_stem().unwrap().to_str(),
            Some(scenario.name.as_str())
        );
        if scenario.tier[0].upstreams > 1_000 {
            continue; // slow even in optimized builds
        }
        let max_seconds = if scenario.name == "fleet-soak" {
            300
        } else {
            45
        };
        scenario.duration.0 = scenario.duration.0.min(max_seconds * 1_000_000_000);
        let end = run(&scenario, Policy::Woadstall, 1);
        assert_eq!(
            end.breach_count(),
            0,
            "{}: {:?}",
            scenario.name,
            end.first_breaches
        );
        assert!(end.score > 0.7, "{}: {}", scenario.name, end.score);
    }
}
