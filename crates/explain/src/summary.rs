//! What many reports tell together: causes by second, route, zone and upstream.

use crate::report::{AttemptOutcome, Cause, RequestReport};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

/// Upstreams that are listed at most.
const MOST_UPSTREAMS: usize = 20;

/// Counts by key and cause.
type Counts = BTreeMap<String, BTreeMap<Cause, usize>>;

/// Reports, folded.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    by_second: BTreeMap<u64, BTreeMap<Cause, usize>>,
    by_route: Counts,
    by_zone: Counts,
    by_upstream: BTreeMap<(String, String), BTreeMap<AttemptOutcome, usize>>,
    /// How often upstreams were passed over for which reason, per cause of the request.
    passed_over: Counts,
    first_by_route: BTreeMap<String, Vec<u64>>,
    reports: usize,
}

impl Summary {
    /// Takes a report in, with the second of the day in which its line was written.
    pub fn add(&mut self, second: u64, report: &RequestReport) {
        self.reports += 1;
        *self
            .by_second
            .entry(second)
            .or_default()
            .entry(report.cause)
            .or_default() += 1;
        count(&mut self.by_route, &report.route, report.cause, 1);
        count(&mut self.by_zone, &report.zone, report.cause, 1);
        if let Some(first) = report.first {
            self.first_by_route
                .entry(report.route.clone())
                .or_default()
                .push(first);
        }
        for attempt in &report.attempts {
            let key = (attempt.zone.clone(), attempt.upstream.clone());
            *self
                .by_upstream
                .entry(key)
                .or_default()
                .entry(attempt.outcome)
                .or_default() += 1;
            for (reason, times) in &attempt.passed_over {
                count(&mut self.passed_over, reason, report.cause, *times);
            }
        }
    }

    /// The number of reports.
    pub fn reports(&self) -> usize {
        self.reports
    }

    /// Reports by second and cause.
    pub fn by_second(&self) -> &BTreeMap<u64, BTreeMap<Cause, usize>> {
        &self.by_second
    }

    /// The causes that occur.
    pub fn causes(&self) -> Vec<Cause> {
        let mut causes: Vec<Cause> = self
            .by_second
            .values()
            .flat_map(|causes| causes.keys().copied())
            .collect();
        causes.sort_unstable();
        causes.dedup();
        causes
    }
}

fn count(counts: &mut Counts, key: &str, cause: Cause, times: usize) {
    *counts
        .entry(key.to_owned())
        .or_default()
        .entry(cause)
        .or_default() += times;
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let causes = self.causes();
        writeln!(formatter, "{} reports", self.reports)?;
        let seconds = self
            .by_second
            .iter()
            .map(|(second, counts)| (second.to_string(), counts));
        table(formatter, "second", &causes, seconds)?;
        let named = |counts: &'_ Counts| {
            counts
                .iter()
                .map(|(key, counts)| (key.clone(), counts.clone()))
                .collect::<Vec<_>>()
        };
        for (title, counts) in [
            ("route", &self.by_route),
            ("balancer's zone", &self.by_zone),
            ("passed over as", &self.passed_over),
        ] {
            let rows = named(counts);
            table(
                formatter,
                title,
                &causes,
                rows.iter().map(|(key, counts)| (key.clone(), counts)),
            )?;
        }
        self.write_latencies(formatter)?;
        self.write_upstreams(formatter)
    }
}

impl Summary {
    fn write_latencies(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "\n{:<24}{:>8}{:>8}{:>8}",
            "first answer, ms", "p50", "p90", "most"
        )?;
        for (route, firsts) in &self.first_by_route {
            let mut sorted = firsts.clone();
            sorted.sort_unstable();
            let at = |part: f64| sorted[((sorted.len() - 1) as f64 * part) as usize];
            writeln!(
                formatter,
                "{route:<24}{:>8}{:>8}{:>8}",
                at(0.5),
                at(0.9),
                at(1.0)
            )?;
        }
        Ok(())
    }

    fn write_upstreams(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_bad = |outcome: &AttemptOutcome| *outcome != AttemptOutcome::Answered;
        let bad = |counts: &BTreeMap<AttemptOutcome, usize>| {
            counts
                .iter()
                .filter(|(outcome, _)| is_bad(outcome))
                .map(|(_, count)| count)
                .sum::<usize>()
        };
        let mut worst: Vec<_> = self
            .by_upstream
            .iter()
            .map(|(key, counts)| (bad(counts), key, counts))
            .collect();
        worst.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        writeln!(
            formatter,
            "\n{:<16}{:<24}attempts that were not answered",
            "zone", "upstream"
        )?;
        for (_, (zone, upstream), counts) in worst
            .into_iter()
            .filter(|(bad, ..)| *bad > 0)
            .take(MOST_UPSTREAMS)
        {
            let mut cells = String::new();
            for (outcome, count) in counts {
                write!(cells, "{outcome}={count} ")?;
            }
            writeln!(formatter, "{zone:<16}{upstream:<24}{}", cells.trim_end())?;
        }
        Ok(())
    }
}

fn table<'a>(
    formatter: &mut fmt::Formatter<'_>,
    title: &str,
    causes: &[Cause],
    rows: impl Iterator<Item = (String, &'a BTreeMap<Cause, usize>)>,
) -> fmt::Result {
    write!(formatter, "\n{title:<24}")?;
    for cause in causes {
        write!(formatter, "{cause:>14}")?;
    }
    writeln!(formatter)?;
    for (key, counts) in rows {
        write!(formatter, "{key:<24}")?;
        for cause in causes {
            write!(formatter, "{:>14}", counts.get(cause).copied().unwrap_or(0))?;
        }
        writeln!(formatter)?;
    }
    Ok(())
}
