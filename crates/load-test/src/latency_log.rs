//! Writes the latencies of a run in HdrHistogram's interval log format, version 1.3.

use hdrhistogram::Histogram;
use hdrhistogram::serialization::V2DeflateSerializer;
use hdrhistogram::serialization::interval_log::IntervalLogWriterBuilder;
use std::error::Error;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::time::{Duration, SystemTime};
use woadstall_emulator::RunResult;

/// The longest recorded latency, one hour; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Divisor from microseconds to milliseconds, the unit of the log's column for the largest value.
const MAX_VALUE_DIVISOR: f64 = 1_000.0;

/// Writes the latencies in microseconds, with one line per step of the timeline.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write(end: &RunResult, started: SystemTime, path: &Path) -> Result<(), Box<dyn Error>> {
    let mut file = BufWriter::new(File::create(path)?);
    let mut serializer = V2DeflateSerializer::new();
    let mut log = IntervalLogWriterBuilder::new()
        .add_comment("latency in microseconds, counted from when a call was due")
        .with_start_time(started)
        .with_max_value_divisor(MAX_VALUE_DIVISOR)
        .begin_log_with(&mut file, &mut serializer)?;
    let mut step_begin = 0.0;
    for step in &end.timeline {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?;
        for &(micros, count) in &step.latency_histogram_us {
            histogram.saturating_record_n(micros, count);
        }
        let length = Duration::from_secs_f64((step.end_seconds - step_begin).max(0.0));
        let begin = Duration::from_secs_f64(step_begin);
        log.write_histogram(&histogram, begin, length, None)?;
        step_begin = step.end_seconds;
    }
    file.flush()?;
    Ok(())
}
