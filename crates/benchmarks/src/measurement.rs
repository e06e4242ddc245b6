//! The figures of a round, their median over several rounds, and their table format.

use hdrhistogram::Histogram;
use std::time::Duration;

/// Length and number of the rounds.
#[derive(Clone, Copy)]
pub struct MeasurementPlan {
    /// Length of a round.
    pub length: Duration,
    /// Number of rounds of each peer.
    pub rounds: u64,
}

/// The figures of one round.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measurement {
    /// Number of recorded latencies.
    pub calls: u64,
    /// Number of calls that did not end with the expected response.
    pub failed: u64,
    /// CPU time per call, in microseconds.
    pub cpu_us: f64,
    /// Median latency, in microseconds.
    pub p50_us: f64,
    /// 99th percentile of the latency, in microseconds.
    pub p99_us: f64,
    /// Length of the round, in seconds.
    pub seconds: f64,
}

impl Measurement {
    /// Computes the figures of a round of length `elapsed` from the latency of each call in nanoseconds.
    pub fn new(latencies_ns: &[u32], failed: u64, cpu: Duration, elapsed: Duration) -> Self {
        let calls = latencies_ns.len() as u64;
        // The histogram has three significant digits, and its range grows with the recorded values.
        let mut histogram =
            Histogram::<u64>::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        for &nanos in latencies_ns {
            // `record` extends the range of the histogram, while `saturating_record` would clamp to its small initial
            // range.
            if histogram.record(nanos.into()).is_err() {
                unreachable!("every `u32` fits into a histogram that grows");
            }
        }
        let quantile_us = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            calls,
            failed,
            cpu_us: cpu.as_secs_f64() * 1e6 / calls.max(1) as f64,
            p50_us: quantile_us(0.5),
            p99_us: quantile_us(0.99),
            seconds: elapsed.as_secs_f64(),
        }
    }

    /// Returns the median of each figure over the rounds, and the sum of the failures.
    pub fn median(rounds: &[Self]) -> Self {
        let median = |figure: fn(&Self) -> f64| {
            let mut figures: Vec<f64> = rounds.iter().map(figure).collect();
            figures.sort_by(f64::total_cmp);
            figures.get(figures.len() / 2).copied().unwrap_or(0.0)
        };
        Self {
            calls: median(|round| round.calls as f64) as u64,
            failed: rounds.iter().map(|round| round.failed).sum(),
            cpu_us: median(|round| round.cpu_us),
            p50_us: median(|round| round.p50_us),
            p99_us: median(|round| round.p99_us),
            seconds: median(|round| round.seconds),
        }
    }

    /// Returns a row of the table with the header [`table_header`].
    pub fn table_row(&self, name: &str) -> String {
        let rate = self.calls as f64 / self.seconds.max(1e-9);
        format!(
            "{name:<24} {rate:>9.0} {:>9.1} {:>9.0} {:>9.0} {:>7}",
            self.cpu_us, self.p50_us, self.p99_us, self.failed
        )
    }

    /// Returns the measurement as a JSON array, which a caller process prints for its parent process.
    pub fn to_json(self) -> serde_json::Value {
        serde_json::json!([
            self.calls,
            self.failed,
            self.cpu_us,
            self.p50_us,
            self.p99_us,
            self.seconds
        ])
    }

    /// Parses the output of [`Measurement::to_json`].
    ///
    /// # Errors
    ///
    /// Returns an error for text of another form.
    pub fn from_json(text: &[u8]) -> Result<Self, serde_json::Error> {
        let (calls, failed, cpu_us, p50_us, p99_us, seconds) = serde_json::from_slice(text)?;
        Ok(Self {
            calls,
            failed,
            cpu_us,
            p50_us,
            p99_us,
            seconds,
        })
    }
}

/// Returns the header of a table with rows from [`Measurement::table_row`].
pub fn table_header() -> String {
    format!(
        "{:<24} {:>9} {:>9} {:>9} {:>9} {:>7}",
        "", "calls/s", "CPU us", "p50 us", "p99 us", "failed"
    )
}

#[cfg(test)]
mod tests;
