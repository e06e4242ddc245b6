//! Golden tests of report lines, tables and the plot. Their bytes must not change, and the golden
//! report lines must be parsed back into the original reports.

use std::collections::BTreeMap;
use std::path::Path;
use woadstall_request_reports::{
    AttemptOutcome, AttemptReport, Cause, LINE_PREFIX, RequestReport, Summary, render_svg,
};

const CAUSES: [Cause; 8] = [
    Cause::TargetMissed,
    Cause::Retried,
    Cause::Rejected,
    Cause::Failed,
    Cause::TimedOut,
    Cause::ErrorResponse,
    Cause::ClientDisconnected,
    Cause::NotResumed,
];

const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Completed,
    AttemptOutcome::ErrorResponse,
    AttemptOutcome::Rejected,
    AttemptOutcome::NotSent,
    AttemptOutcome::NoResponse,
    AttemptOutcome::Truncated,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Cancelled,
];

fn assert_golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    let expected = std::fs::read_to_string(&path).unwrap();
    assert_eq!(text, expected, "{name}");
}

fn attempt(outcome: AttemptOutcome) -> AttemptReport {
    AttemptReport {
        upstream: "i-7f3a".to_owned(),
        zone: "a-1".to_owned(),
        outcome,
        start_offset_ms: 3,
        duration_ms: 612,
        in_flight: 2,
        prefill_tokens: 17_020,
        candidates: 28,
        excluded: BTreeMap::from([("silent".to_owned(), 2), ("tripped".to_owned(), 1)]),
    }
}

fn report(cause: Cause) -> RequestReport {
    RequestReport {
        cause,
        route: "r-a".to_owned(),
        service: "llm".to_owned(),
        balancer_zone: "a-2".to_owned(),
        priority: 1,
        total_ms: 900,
        first_data_ms: Some(640),
        longest_gap_ms: 12,
        target_latency_ms: 600,
        prompt_tokens: 17_021,
        shared_tokens: 13_300,
        attempts: OUTCOMES.into_iter().map(attempt).collect(),
    }
}

/// Returns a report for each cause with an attempt for each outcome, a report whose optional values
/// are all absent, and a report without attempts whose route has characters that separate fields.
fn reports() -> Vec<RequestReport> {
    let mut reports: Vec<RequestReport> = CAUSES.into_iter().map(report).collect();
    let bare_attempt = AttemptReport {
        upstream: String::new(),
        zone: String::new(),
        excluded: BTreeMap::new(),
        ..attempt(AttemptOutcome::Completed)
    };
    let first_data_ms = None;
    reports.push(RequestReport {
        first_data_ms,
        attempts: vec![bare_attempt],
        ..report(Cause::Rejected)
    });
    let attempts = Vec::new();
    reports.push(RequestReport {
        route: "a b=c;d,e+f*g".to_owned(),
        first_data_ms,
        attempts,
        ..report(Cause::TargetMissed)
    });
    reports
}

#[test]
fn the_prefix_is_unchanged() {
    assert_eq!(LINE_PREFIX, "request report ");
}

#[test]
fn report_lines_are_unchanged() {
    let lines: Vec<String> = reports().iter().map(RequestReport::to_string).collect();
    assert_golden("reports.log", &(lines.join("\n") + "\n"));
}

#[test]
fn report_lines_are_read_back() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/reports.log");
    let text = std::fs::read_to_string(path).unwrap();
    let read: Vec<RequestReport> = text.lines().map(|line| line.parse().unwrap()).collect();
    let mut written = reports();
    // Characters that separate fields are written as `_`, and an empty name is written as `-`.
    let last = written.len() - 1;
    written[last].route = "a_b_c_d_e_f_g".to_owned();
    let unnamed = &mut written[last - 1].attempts[0];
    (unnamed.upstream, unnamed.zone) = ("-".to_owned(), "-".to_owned());
    assert_eq!(read, written);
}

#[test]
fn tables_and_plot_are_unchanged() {
    let mut summary = Summary::default();
    for (number, report) in reports().iter().enumerate() {
        summary.add(100 + 2 * number as u64, report);
    }
    assert_golden("summary.txt", &summary.to_string());
    assert_golden("summary.svg", &render_svg(&summary).unwrap());
}

#[test]
fn empty_tables_and_plot_are_unchanged() {
    let summary = Summary::default();
    assert_golden("empty.txt", &summary.to_string());
    assert_golden("empty.svg", &render_svg(&summary).unwrap());
}

#[test]
fn errors_are_unchanged() {
    let error = |line: &str| line.parse::<RequestReport>().unwrap_err().to_string();
    let line = report(Cause::TargetMissed).to_string();
    assert_eq!(error("nothing"), "the field `cause` is missing");
    assert_eq!(
        error(&line.replace("shared=13300 ", "")),
        "the field `shared` is missing"
    );
    assert_eq!(
        error(&line.replace("cause=late", "cause=why")),
        "the field `cause` can't be `why`"
    );
    assert_eq!(
        error(&line.replace("total=900", "total=-1")),
        "the field `total` can't be `-1`"
    );
    assert_eq!(
        error(&line.replace("silent*2", "silent")),
        "the field `attempts` can't be `silent+tripped*1`"
    );
}
