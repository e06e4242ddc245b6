//! Fleets that return cold as a whole: how much is served meanwhile, and that no upstream is pushed over.

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

/// A third of what warm upstreams can do is asked of cold ones: sent by their warm share alone, 45% of it was refused in the
/// first seconds. Answers in time let the pace grow.
#[test]
fn upstreams_that_warm_up_get_what_they_can_serve() {
    let end = play(&[]);
    no_upstream_is_overloaded(&end);
    assert!(end.score > 0.96, "{}", end.score);
}

/// Twice what warm upstreams can do: budgets held it back, and all of it came in the instant in which they ended, so that every
/// upstream fell. They end as what is answered grows.
#[test]
fn an_overload_does_not_come_all_at_once_when_budgets_end() {
    let end = play(&[("constant = 350.0", "constant = 2350.0")]);
    no_upstream_is_overloaded(&end);
    assert!(end.score > 0.6, "{}", end.score);
}

/// All upstreams die for six seconds under callers that ask again at once, and are back: they get what they bore before.
#[test]
fn what_was_borne_before_an_outage_is_sent_after_it() {
    let fault = "\n[[fault]]\nat = \"8 s\"\nuntil = \"14 s\"\nwhat = { kill = {} }\n";
    let storm = "again = { at-once = { most = 4 } }\nheeds-advice = 0.3";
    let end = play(&[
        ("time = \"16 s\"", "time = \"30 s\""),
        ("cold = true", ""),
        ("constant = 350.0", "constant = 700.0"),
        (
            "again = { backoff = { first = \"200 ms\", cap = \"1 s\", most = 3 } }\n",
            &format!("{storm}\n{fault}"),
        ),
    ]);
    no_upstream_is_overloaded(&end);
    // A fifth of the time nobody could serve.
    assert!(end.score > 0.74, "{}", end.score);
}
