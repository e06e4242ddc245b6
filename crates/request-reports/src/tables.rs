//! The text tables of a summary.

use crate::outcome::{AttemptOutcome, Cause};
use crate::summary::{CauseCounts, Summary};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// The maximum number of upstreams in the table of failed attempts.
const MAX_UPSTREAMS: usize = 20;

impl Display for Summary {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let causes = self.causes();
        writeln!(formatter, "{} reports", self.reports())?;
        write_causes(formatter, "second", &causes, self.by_second())?;
        write_causes(formatter, "route", &causes, &self.by_route)?;
        write_causes(
            formatter,
            "balancer's zone",
            &causes,
            &self.by_balancer_zone,
        )?;
        write_causes(formatter, "passed over as", &causes, &self.by_exclusion)?;
        write_latencies(formatter, &self.first_data_ms)?;
        write_failed_upstreams(formatter, &self.by_upstream)
    }
}

/// Writes a table with a row for each key and a column for each cause.
fn write_causes<K: Display>(
    formatter: &mut Formatter<'_>,
    title: &str,
    causes: &[Cause],
    rows: &BTreeMap<K, CauseCounts>,
) -> fmt::Result {
    write!(formatter, "\n{title:<24}")?;
    for cause in causes {
        write!(formatter, "{cause:>14}")?;
    }
    writeln!(formatter)?;
    for (key, counts) in rows {
        write!(formatter, "{key:<24}")?;
        for cause in causes {
            let count = counts.get(cause).copied().unwrap_or(0);
            write!(formatter, "{count:>14}")?;
        }
        writeln!(formatter)?;
    }
    Ok(())
}

/// Writes a table of the median, the 90th percentile and the maximum of the latency of the first
/// data, by route.
fn write_latencies(
    formatter: &mut Formatter<'_>,
    latencies_ms: &BTreeMap<String, Vec<u64>>,
) -> fmt::Result {
    let title = "first answer, ms";
    writeln!(
        formatter,
        "\n{title:<24}{:>8}{:>8}{:>8}",
        "p50", "p90", "most"
    )?;
    for (route, latencies) in latencies_ms {
        let mut sorted = latencies.clone();
        sorted.sort_unstable();
        let quantile = |q: f64| sorted[((sorted.len() - 1) as f64 * q) as usize];
        let (p50, p90, max) = (quantile(0.5), quantile(0.9), quantile(1.0));
        writeln!(formatter, "{route:<24}{p50:>8}{p90:>8}{max:>8}")?;
    }
    Ok(())
}

/// Writes a table of the upstreams with the most attempts that did not complete.
fn write_failed_upstreams(
    formatter: &mut Formatter<'_>,
    by_upstream: &BTreeMap<(String, String), BTreeMap<AttemptOutcome, usize>>,
) -> fmt::Result {
    let mut failed: Vec<_> = by_upstream
        .iter()
        .map(|(upstream, outcomes)| (count_failures(outcomes), upstream, outcomes))
        .filter(|(failures, ..)| *failures > 0)
        .collect();
    failed.sort_by_key(|(failures, upstream, _)| (Reverse(*failures), *upstream));
    let (zone, upstream) = ("zone", "upstream");
    writeln!(
        formatter,
        "\n{zone:<16}{upstream:<24}attempts that were not answered"
    )?;
    for (_, (zone, upstream), outcomes) in failed.into_iter().take(MAX_UPSTREAMS) {
        let counts: Vec<String> = outcomes
            .iter()
            .map(|(outcome, count)| format!("{outcome}={count}"))
            .collect();
        writeln!(formatter, "{zone:<16}{upstream:<24}{}", counts.join(" "))?;
    }
    Ok(())
}

/// Returns the number of attempts that did not complete.
fn count_failures(outcomes: &BTreeMap<AttemptOutcome, usize>) -> usize {
    outcomes
        .iter()
        .filter(|(outcome, _)| **outcome != AttemptOutcome::Completed)
        .map(|(_, count)| count)
        .sum()
}
