//! The tables of a report: the figures of each policy, and its costs apart from the requests' own work.

use super::escape;
use crate::compare::{Figure, interval};
use crate::rows::Row;
use std::collections::BTreeMap;
use std::fmt::Write;
use woadstall_emulator::CostRow;

/// Returns a table with one line for each policy and set of overrides, averaged over the seeds.
pub fn figures(rows: &[&Row]) -> String {
    let mut groups: BTreeMap<(String, String), Vec<&Row>> = BTreeMap::new();
    rows.iter().for_each(|row| {
        groups
            .entry((row.set(), row.key.policy.clone()))
            .or_default()
            .push(row)
    });
    let mut html = String::from(
        "<table><tr><th>policy</th><th>set</th><th>seeds</th><th>score</th><th>95%</th><th>served</th>\
         <th>bound</th><th>p50 ms</th><th>p99 ms</th><th>attempts a request</th><th>refused</th><th>failed</th>\
         <th>breaches</th></tr>\n",
    );
    for ((set, policy), rows) in groups {
        let count = rows.len() as f64;
        let mean =
            |figure: &dyn Fn(&Row) -> f64| rows.iter().map(|row| figure(row)).sum::<f64>() / count;
        let scores: Vec<f64> = rows.iter().map(|row| row.end.score).collect();
        let (low, high) = interval(&scores);
        let breaches: u64 = rows.iter().map(|row| row.end.breach_count()).sum();
        let class = if breaches > 0 { " class=\"bad\"" } else { "" };
        let _ = writeln!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td><td>{low:.3} to {high:.3}</td><td>{:.3}</td>\
             <td>{:.3}</td><td>{:.0}</td><td>{:.0}</td><td>{:.2}</td><td>{:.0}</td><td>{:.0}</td>\
             <td{class}>{breaches}</td></tr>",
            escape(&policy),
            escape(&set),
            rows.len(),
            mean(&|row| row.end.score),
            mean(&|row| row.end.served_value_fraction),
            mean(&|row| row.end.fluid_bound),
            mean(&|row| row.end.latency.p50),
            mean(&|row| row.end.latency.p99),
            mean(&|row| Figure::Attempts.of(row)),
            mean(&|row| row.end.counts.refused as f64),
            mean(&|row| row.end.counts.failed as f64),
        );
    }
    html + "</table>\n"
}

/// Returns a table of the costs apart from the requests' own work, with one line for each policy, set of overrides,
/// tier and kind of cost, averaged over the seeds. Returns an empty string if the rows have no costs.
pub fn costs(rows: &[&Row]) -> String {
    let mut groups: BTreeMap<(String, String, String, String), Vec<&CostRow>> = BTreeMap::new();
    for row in rows {
        for cost in &row.end.costs {
            let key = (
                row.key.policy.clone(),
                row.set(),
                cost.tier.clone(),
                cost.cost.to_string(),
            );
            groups.entry(key).or_default().push(cost);
        }
    }
    if groups.is_empty() {
        return String::new();
    }
    let mut html = String::from(
        "<table><tr><th>policy</th><th>set</th><th>tier</th><th>price</th><th>total</th><th>a request</th>\
         <th>largest sender</th><th>worst second</th></tr>\n",
    );
    for ((policy, set, tier, cost), rows) in groups {
        let mean = |figure: &dyn Fn(&CostRow) -> f64| {
            rows.iter().map(|row| figure(row)).sum::<f64>() / rows.len() as f64
        };
        let _ = writeln!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{cost}</td><td>{:.0}</td><td>{:.4}</td><td>{:.1}%</td>\
             <td>{:.0}</td></tr>",
            escape(&policy),
            escape(&set),
            escape(&tier),
            mean(&|row| row.total as f64),
            mean(&|row| row.per_request),
            mean(&|row| {
                let (_, fraction) = row.largest_sender;
                100.0 * fraction
            }),
            mean(&|row| {
                let (_, count) = row.worst_second;
                count as f64
            }),
        );
    }
    html + "</table>\n"
}
