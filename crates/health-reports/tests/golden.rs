//! Golden tests of the bytes of a health report. Members of other versions depend on this format.

use woadstall_health_reports::{CallCounts, HealthReport, ReportEntry, Subject};

/// Compares bytes with the golden bytes, which are given in hexadecimal digits.
fn assert_golden(bytes: &[u8], golden: &str) {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, golden);
}

fn report() -> HealthReport {
    let counts = |attempts: f64, failed: f64, slow: f64| CallCounts::new(attempts, failed, slow, 0);
    let entries = vec![
        ReportEntry::new(Subject::zone("0", "norte"), &counts(12.25, 6.5, 1.75)),
        ReportEntry::new(
            Subject::class("0", "norte", "chat"),
            &counts(300.0, 0.0, 40.0),
        ),
        ReportEntry::new(
            Subject::server("nodo-7", 1_767_225_600_000),
            &counts(3.1, 3.1, 0.0),
        ),
        ReportEntry::new(Subject::region("0", "litoral"), &counts(1e6, 1e6, 0.0)),
    ];
    HealthReport { entries }
}

const GOLDEN: &str = concat!(
    "01014bbf9a20c964311a07021ec48fb5586fb00900a0010011264415c3620c0c00",
    "0385292a682dcbc0b802c0b80200"
);

#[test]
fn a_health_report_has_the_golden_bytes() {
    assert_golden(&report().encode(256), GOLDEN);
}

#[test]
fn golden_bytes_are_decoded_to_the_original_health_report() {
    let bytes = report().encode(256);
    assert_golden(&bytes, GOLDEN);
    let decoded = HealthReport::decode(&bytes).unwrap();
    assert_eq!(decoded, report());
    let counts: Vec<CallCounts> = decoded
        .entries
        .iter()
        .map(|entry| entry.counts(5))
        .collect();
    let golden = [
        CallCounts::new(12.25, 6.5, 1.75, 5),
        CallCounts::new(300.0, 0.0, 40.0, 5),
        CallCounts::new(3.0, 3.0, 0.0, 5),
        CallCounts::new(10_000.0, 10_000.0, 0.0, 5),
    ];
    assert_eq!(counts, golden);
}

#[test]
fn a_report_without_entries_is_its_version_alone() {
    assert_golden(&HealthReport::default().encode(256), "01");
}

#[test]
fn entries_that_do_not_fit_are_left_out_at_the_end() {
    let bytes = report().encode(30);
    assert_eq!(
        HealthReport::decode(&bytes).unwrap().entries,
        report().entries[..2]
    );
}
