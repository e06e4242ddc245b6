//! What is measured: latencies, and the CPU time of a process.

use hdrhistogram::Histogram;
use std::time::Duration;

/// How long a round takes, and how many there are.
#[derive(Clone, Copy)]
pub struct Times {
    pub round: Duration,
    pub rounds: u64,
}

/// One round's figures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub calls: u64,
    /// Calls that did not end with the answer.
    pub failed: u64,
    /// CPU time a call, in microseconds.
    pub cpu: f64,
    /// Latencies, in microseconds.
    pub p50: f64,
    pub p99: f64,
    pub seconds: f64,
}

impl Figures {
    /// Latencies are in nanoseconds.
    pub fn new(latencies: &[u32], failed: u64, cpu: Duration, took: Duration) -> Self {
        let calls = latencies.len() as u64;
        // To three digits; it grows with what it is given.
        let mut histogram =
            Histogram::<u64>::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        latencies
            .iter()
            .for_each(|&nanos| histogram.saturating_record(nanos.into()));
        let at = |part: f64| histogram.value_at_quantile(part) as f64 / 1e3;
        Self {
            calls,
            failed,
            cpu: cpu.as_secs_f64() * 1e6 / calls.max(1) as f64,
            p50: at(0.5),
            p99: at(0.99),
            seconds: took.as_secs_f64(),
        }
    }

    /// The median of each figure over the rounds.
    pub fn median(rounds: &[Self]) -> Self {
        let median = |figure: fn(&Self) -> f64| {
            let mut figures: Vec<f64> = rounds.iter().map(figure).collect();
            figures.sort_by(f64::total_cmp);
            figures.get(figures.len() / 2).copied().unwrap_or(0.0)
        };
        Self {
            calls: median(|round| round.calls as f64) as u64,
            failed: rounds.iter().map(|round| round.failed).sum(),
            cpu: median(|round| round.cpu),
            p50: median(|round| round.p50),
            p99: median(|round| round.p99),
            seconds: median(|round| round.seconds),
        }
    }

    pub fn row(&self, name: &str) -> String {
        let rate = self.calls as f64 / self.seconds.max(1e-9);
        format!(
            "{name:<24} {rate:>9.0} {:>9.1} {:>9.0} {:>9.0} {:>7}",
            self.cpu, self.p50, self.p99, self.failed
        )
    }
}

pub fn head() -> String {
    format!(
        "{:<24} {:>9} {:>9} {:>9} {:>9} {:>7}",
        "", "calls/s", "CPU us", "p50 us", "p99 us", "failed"
    )
}

/// CPU time that all threads of a process have used, to the nanosecond (proc(5), schedstat).
pub fn cpu(id: u32) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{id}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let nanos = tasks.filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// Resident memory of a process, in bytes.
pub fn memory(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok())
        .unwrap_or(0)
        * 1024
}
