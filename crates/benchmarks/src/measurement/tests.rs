//! Tests of measurements and their median, JSON form and table.

use super::*;

fn round(calls: u64, failed: u64, p99_us: f64) -> Measurement {
    Measurement {
        calls,
        failed,
        p99_us,
        seconds: 1.0,
        ..Measurement::default()
    }
}

#[test]
fn cpu_time_is_per_call_and_in_microseconds() {
    let latencies_ns = [1_000_000; 100];
    let figures = Measurement::new(
        &latencies_ns,
        3,
        Duration::from_millis(2),
        Duration::from_secs(4),
    );
    assert_eq!((figures.calls, figures.failed), (100, 3));
    assert_eq!((figures.cpu_us, figures.seconds), (20.0, 4.0));
}

#[test]
fn latencies_are_quantiles_to_three_digits() {
    let latencies_ns: Vec<u32> = (1..=1_000).map(|thousandth| thousandth * 5_000).collect();
    let figures = Measurement::new(
        &latencies_ns,
        0,
        Duration::from_millis(1),
        Duration::from_secs(1),
    );
    assert!((2_495.0..2_505.0).contains(&figures.p50_us), "{figures:?}");
    assert!((4_945.0..4_955.0).contains(&figures.p99_us), "{figures:?}");
    let longest = Measurement::new(&[u32::MAX; 3], 0, Duration::ZERO, Duration::from_secs(1));
    assert!(
        (4_290_000.0..4_300_000.0).contains(&longest.p99_us),
        "{longest:?}"
    );
}

#[test]
fn median_of_rounds_adds_up_failures() {
    let rounds = [round(10, 1, 7.0), round(30, 0, 9.0), round(20, 2, 8.0)];
    let median = Measurement::median(&rounds);
    assert_eq!(median, round(20, 3, 8.0));
}

#[test]
fn json_form_is_an_array_and_is_read_back() {
    let figures = round(20, 3, 8.5);
    let text = figures.to_json().to_string();
    assert_eq!(text, "[20,3,0.0,0.0,8.5,1.0]");
    assert_eq!(Measurement::from_json(text.as_bytes()).unwrap(), figures);
}

#[test]
fn rows_fit_below_the_header() {
    let row = round(20, 3, 8.0).table_row("plug-in");
    assert_eq!(row.len(), table_header().len());
}
