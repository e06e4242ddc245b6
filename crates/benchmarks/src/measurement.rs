//! The figures of a round, their median over the rounds, and their form as a table.

use hdrhistogram::Histogram;
use std::time::Duration;

/// How long rounds take, and how many there are.
#[derive(Clone, Copy)]
pub struct MeasurementPlan {
    /// Length of a round.
    pub length: Duration,
    /// Rounds of each peer.
    pub rounds: u64,
}

/// The figures of one round.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measurement {
    /// Calls that were made.
    pub calls: u64,
    /// Calls that did not end with the response.
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
    /// The figures of a round that took `elapsed`, from the latency of each call in nanoseconds.
    pub fn new(latencies_ns: &[u32], failed: u64, cpu: Duration, elapsed: Duration) -> Self {
        let calls = latencies_ns.len() as u64;
        // To three digits; it grows with what is recorded.
        let mut histogram =
            Histogram::<u64>::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        for &nanos in latencies_ns {
            // Grows the histogram; `saturating_record` would clamp to the little that it spans at first.
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

    /// The median of each figure over the rounds; failures are added up.
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

    /// A line of the table whose first line is [`table_header`].
    pub fn table_row(&self, name: &str) -> String {
        let rate = self.calls as f64 / self.seconds.max(1e-9);
        format!(
            "{name:<24} {rate:>9.0} {:>9.1} {:>9.0} {:>9.0} {:>7}",
            self.cpu_us, self.p50_us, self.p99_us, self.failed
        )
    }

    /// The form in which a caller's process hands its figures over: a JSON array.
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

    /// Reads the form of [`Measurement::to_json`].
    ///
    /// # Errors
    ///
    /// Fails if the text is of another form.
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

/// The header of a table of [`Measurement::table_row`]s.
pub fn table_header() -> String {
    format!(
        "{:<24} {:>9} {:>9} {:>9} {:>9} {:>7}",
        "", "calls/s", "CPU us", "p50 us", "p99 us", "failed"
    )
}

#[cfg(test)]
mod tests;
