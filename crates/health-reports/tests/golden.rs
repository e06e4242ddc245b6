//! The bytes of a health report, as members of other versions write and read them.

use woadstall_health_reports::{CallCounts, HealthReport, Line, Subject};

/// Compares bytes with the golden ones, written in hexadecimal digits.
fn assert_golden(bytes: &[u8], golden: &str) {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, golden);
}

fn lines() -> Vec<Line> {
    let counts = |tries: f64, failed: f64, late: f64| CallCounts::new(tries, failed, late, 0);
    vec![
        Line::new(Subject::zone("0", "norte"), &counts(12.25, 6.5, 1.75)),
        Line::new(
            Subject::class("0", "norte", "chat"),
            &counts(300.0, 0.0, 40.0),
        ),
        Line::new(
            Subject::server("nodo-7", 1_767_225_600_000),
            &counts(3.1, 3.1, 0.0),
        ),
        Line::new(Subject::region("0", "litoral"), &counts(1e6, 1e6, 0.0)),
    ]
}

const GOLDEN: &str = concat!(
    "01014bbf9a20c964311a07021ec48fb5586fb00900a0010011264415c3620c0c00",
    "0385292a682dcbc0b802c0b80200"
);

#[test]
fn a_health_report_has_the_golden_bytes() {
    assert_golden(&HealthReport(lines()).write(256), GOLDEN);
}

#[test]
fn golden_bytes_are_read_back_to_the_same_health_report() {
    let bytes = HealthReport(lines()).write(256);
    assert_golden(&bytes, GOLDEN);
    let report = HealthReport::read(&bytes).unwrap();
    assert_eq!(report, HealthReport(lines()));
    let counts: Vec<CallCounts> = report.0.iter().map(|line| line.counts(5)).collect();
    let golden = [
        CallCounts::new(12.25, 6.5, 1.75, 5),
        CallCounts::new(300.0, 0.0, 40.0, 5),
        CallCounts::new(3.0, 3.0, 0.0, 5),
        CallCounts::new(10_000.0, 10_000.0, 0.0, 5),
    ];
    assert_eq!(counts, golden);
}

#[test]
fn a_report_without_lines_is_its_form_alone() {
    assert_golden(&HealthReport::default().write(256), "01");
}

#[test]
fn what_does_not_fit_is_left_out_at_the_end() {
    let bytes = HealthReport(lines()).write(30);
    assert_eq!(HealthReport::read(&bytes).unwrap().0, lines()[..2]);
}
