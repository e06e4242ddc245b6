//! Prints results as plain text to standard output.

use woadstall_emulator_cli::compare::Difference;
use woadstall_emulator_cli::report;
use woadstall_emulator_cli::rows::Row;

/// Prints the result of one run.
pub fn row(row: &Row) {
    let (counts, latency) = (&row.end.counts, &row.end.latency);
    println!(
        "{}, {}, seed {} {}",
        row.key.scenario,
        row.key.policy,
        row.key.seed,
        row.set()
    );
    println!(
        "  worth served   {:.3} of what was offered",
        row.end.served_value_fraction
    );
    println!(
        "  score          {:.3} of what a fluid bound allows ({:.3})",
        row.end.score, row.end.fluid_bound
    );
    println!(
        "  calls          {} offered, {} on time, {} late, {} refused, {} failed",
        counts.offered, counts.on_time, counts.late, counts.refused, counts.failed
    );
    println!(
        "  attempts       {}, of these {} repeats and {} across zones, for {} requests",
        counts.attempts, counts.retries, counts.cross_zone_attempts, counts.requests
    );
    println!(
        "  latency        p50 {:.0} ms, p90 {:.0}, p99 {:.0}, p99.9 {:.0}, longest {:.0}",
        latency.p50, latency.p90, latency.p99, latency.p999, latency.max
    );
    costs(row);
    for line in report::rule_lines(&row.end) {
        println!("{line}");
    }
    breaches(row);
}

/// Prints the costs of a run apart from the requests' own work, one line per tier and cost.
fn costs(row: &Row) {
    if !row.end.costs.is_empty() {
        println!(
            "  {:<12} {:<25} {:>9} {:>10}  largest sender  worst second",
            "prices", "", "total", "a request"
        );
    }
    for cost in &row.end.costs {
        let ((sender, fraction), (second, count)) = (cost.largest_sender, cost.worst_second);
        println!(
            "  {:<12} {:<25} {:>9} {:>10.4}  {:>6} {:>6.1}%  {:>6} {:>5}",
            cost.tier,
            cost.cost.to_string(),
            cost.total,
            cost.per_request,
            sender,
            100.0 * fraction,
            second,
            count
        );
    }
}

fn breaches(row: &Row) {
    for breach in &row.end.first_breaches {
        let call = breach
            .call
            .map_or(String::new(), |call| format!(", call {call}"));
        println!(
            "    {:.6} s, seed {}{call}: {}",
            breach.at as f64 / 1e9,
            row.key.seed,
            breach.text
        );
    }
}

/// Prints one line for each compared scenario.
pub fn differences(differences: &[Difference]) {
    println!(
        "{:<24} {:>6} {:>9} {:>9} {:>11}  95%",
        "scenario", "pairs", "left", "right", "difference"
    );
    for difference in differences {
        let set: Vec<_> = difference
            .set
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let (low, high) = difference.interval;
        println!(
            "{:<24} {:>6} {:>9.4} {:>9.4} {:>+11.4}  {low:+.4} to {high:+.4}{} {}",
            difference.scenario,
            difference.pairs,
            difference.left,
            difference.right,
            difference.difference,
            if difference.is_significant() {
                ""
            } else {
                "  (may be chance)"
            },
            set.join(" ")
        );
    }
}
