//! Compares the emulator with queueing theory where the expected result is known.

use woadstall_emulator::{Policy, Scenario, run};

/// One queue with a number of workers and random arrivals, without network delays or balancing decisions.
fn queue(service: &str, workers: u32, load: f64, calls: f64) -> Scenario {
    let rate = load * f64::from(workers) * 100.0; // each worker serves a hundred requests per second
    let text = format!(
        r#"
name = "queue"
time = "{:.0} s"
warm-up = "{:.0} s"
step = "100 s"
zones = ["a"]

[[class]]
name = "work"
effect = "safe"
aim = "1 h"
deadline = "1 h"
service = {service}

[[tier]]
name = "only"
balancers = 1
nodos = 1
workers = {workers}
queue = 1000000

[[callers]]
name = "all"
classes = {{ work = 1.0 }}
load = {{ constant = {rate} }}

[network]
within = "0 s"

[limits]
idle = "1 h"
"#,
        calls / rate * 1.02,
        calls / rate * 0.02
    );
    Scenario::read(&text).unwrap()
}

/// Mean waiting time over all calls in milliseconds: time in the system less the service time.
fn measured_wait(service: &str, workers: u32, load: f64, calls: f64) -> f64 {
    let scenario = queue(service, workers, load, calls);
    let end = run(&scenario, "random".parse().unwrap(), 11);
    assert_eq!(end.breach_count(), 0, "{:?}", end.first_breaches);
    end.latency.mean - 10.0
}

const EXPONENTIAL: &str = "{ exponential = \"10 ms\" }";
const CONSTANT: &str = "{ constant = \"10 ms\" }";

/// Probability that a call waits (Erlang C).
fn erlang_c(workers: u32, load: f64) -> f64 {
    let offered = load * f64::from(workers);
    // The recursion for Erlang B avoids overflow of floating-point numbers.
    let erlang_b = (1..=workers).fold(1.0, |blocked, count| {
        offered * blocked / (f64::from(count) + offered * blocked)
    });
    erlang_b / (1.0 - load * (1.0 - erlang_b))
}

/// Expected mean waiting time in milliseconds. M/M/1: load / (1 - load) times the service time; M/D/1: half of that
/// (Pollaczek and Khinchine); M/M/c: Erlang C.
fn expected_wait(service: &str, workers: u32, load: f64) -> f64 {
    let wait = erlang_c(workers, load) / (f64::from(workers) * (1.0 - load)) * 10.0;
    if service == CONSTANT {
        wait / 2.0
    } else {
        wait
    }
}

fn assert_waiting_times(cases: &[(&str, u32, f64, f64)]) {
    std::thread::scope(|scope| {
        for &(service, workers, load, calls) in cases {
            scope.spawn(move || {
                let measured = measured_wait(service, workers, load, calls);
                let expected = expected_wait(service, workers, load);
                let relative_error = (measured / expected - 1.0).abs();
                assert!(
                    relative_error < 0.02,
                    "{service}, {workers} workers, load {load}: {measured:.3} ms, theory {expected:.3}"
                );
            });
        }
    });
}

#[test]
fn waiting_times_match_theory() {
    assert_waiting_times(&[
        (EXPONENTIAL, 1, 0.5, 600e3),
        (EXPONENTIAL, 1, 0.8, 2_500e3),
        (EXPONENTIAL, 2, 0.5, 1_200e3),
        (EXPONENTIAL, 4, 0.8, 2_500e3),
        (CONSTANT, 1, 0.5, 400e3),
        (CONSTANT, 1, 0.8, 800e3),
    ]);
}

/// Waiting times at a load of 0.95, where convergence needs millions of calls: `cargo test --release -p
/// woadstall-emulator --test theory -- --ignored`.
#[test]
#[ignore = "a minute and a half"]
fn waiting_times_at_high_load() {
    assert_waiting_times(&[
        (EXPONENTIAL, 1, 0.95, 40e6),
        (EXPONENTIAL, 4, 0.95, 40e6),
        (CONSTANT, 1, 0.95, 20e6),
    ]);
}

/// Servers with a queue each, at a load of 0.9. If each call joins the shorter of two random queues, the longest queue
/// grows with the logarithm of the logarithm of the number of servers (Mitzenmacher); if it joins a random queue, the
/// longest queue grows with the logarithm.
#[test]
fn two_choices_keep_the_largest_queue_short() {
    let longest_queue = |policy: &str, upstreams: u32| {
        let mut scenario = queue(EXPONENTIAL, 1, 0.9, 1e4);
        scenario.tier[0].upstreams = upstreams;
        scenario.callers[0].load = woadstall_emulator::Load::Constant(90.0 * f64::from(upstreams));
        scenario.duration = woadstall_emulator::Span(5_000_000_000);
        scenario.warm_up = woadstall_emulator::Span(1_000_000_000);
        scenario.step = woadstall_emulator::Span(5_000_000_000);
        let policy: Policy = policy.parse().unwrap();
        f64::from(run(&scenario, policy, 3).longest_queue)
    };
    let (few_one, many_one) = (longest_queue("random", 100), longest_queue("random", 4_000));
    let (few_two, many_two) = (
        longest_queue("two-choices", 100),
        longest_queue("two-choices", 4_000),
    );
    // Expected growth with one choice: (ln(4000) - ln(100)) / -ln(0.9) = 35. With two choices, ln ln differs by
    // 0.6, which over ln 2 is less than 1.
    assert!(many_one - few_one > 15.0, "{few_one} {many_one}");
    assert!(many_two - few_two <= 2.0, "{few_two} {many_two}");
    assert!(
        many_two < 10.0 && many_one > 4.0 * many_two,
        "{many_one} {many_two}"
    );
}
