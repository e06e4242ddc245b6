//! Fleets whose upstreams all start cold: service during the warm-up, and no overload of an upstream.

use woadstall_emulator::{Policy, RunResult, Scenario, run};

const SCENARIO: &str = r#"
name = "returning"
time = "16 s"
warm-up = "1 ms"
zones = ["norte", "centro", "sur"]

[[class]]
name = "consulta"
effect = "safe"
aim = "500 ms"
deadline = "1500 ms"
late-worth = 0.5
service = { lognormal = { mean = "60 ms", cv = 0.6 } }

[[class]]
name = "cargo-lectura"
effect = "unsafe"
aim = "600 ms"
deadline = "1500 ms"
worth = 2.0
late-worth = 0.5
service = { lognormal = { mean = "80 ms", cv = 0.6 } }

[[tier]]
name = "posting"
balancers = 12
nodos = 24
workers = 4
queue = 32
cold = true

[[callers]]
name = "handhelds"
classes = { consulta = 0.3, cargo-lectura = 0.7 }
load = { constant = 350.0 }
again = { backoff = { first = "200 ms", cap = "1 s", most = 3 } }
"#;

fn play(changes: &[(&str, &str)]) -> RunResult {
    let text = changes
        .iter()
        .fold(SCENARIO.to_owned(), |text, (from, to)| {
            assert!(text.contains(from), "{from}");
            text.replace(from, to)
        });
    let scenario = Scenario::read(&text).unwrap();
    let end = run(&scenario, Policy::Woadstall, 1);
    println!("{:.3} of what is possible, {:?}", end.score, end.breaches);
    end
}

fn no_upstream_is_overloaded(end: &RunResult) {
    assert!(end.is_satisfied(), "{:?}", end.breaches);
}

/// Cold upstreams get a third of the warm capacity as load. When balancers sent only the warm share, 45% of the
/// calls were refused in the first seconds; timely responses must raise the pace.
#[test]
fn warming_upstreams_get_the_load_they_can_serve() {
    let end = play(&[]);
    no_upstream_is_overloaded(&end);
    assert!(end.score > 0.96, "{}", end.score);
}

/// Load of twice the warm capacity. The slow-start budgets once held back all load until they expired together,
/// and the sudden load then crashed every upstream. The budgets must expire as the answered load grows.
#[test]
fn slow_start_budgets_do_not_release_an_overload_at_once() {
    let end = play(&[("constant = 350.0", "constant = 2350.0")]);
    no_upstream_is_overloaded(&end);
    assert!(end.score > 0.6, "{}", end.score);
}

/// All upstreams die for six seconds while callers retry at once. Afterwards the upstreams get the load that
/// they sustained before.
#[test]
fn load_after_an_outage_returns_to_the_sustained_level() {
    let fault = "\n[[fault]]\nat = \"8 s\"\nuntil = \"14 s\"\nwhat = { kill = {} }\n";
    let immediate_retries = "again = { at-once = { most = 4 } }\nheeds-advice = 0.3";
    let end = play(&[
        ("time = \"16 s\"", "time = \"30 s\""),
        ("cold = true", ""),
        ("constant = 350.0", "constant = 700.0"),
        (
            "again = { backoff = { first = \"200 ms\", cap = \"1 s\", most = 3 } }\n",
            &format!("{immediate_retries}\n{fault}"),
        ),
    ]);
    no_upstream_is_overloaded(&end);
    // No upstream ran for a fifth of the time.
    assert!(end.score > 0.74, "{}", end.score);
}
