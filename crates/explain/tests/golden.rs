//! Report lines, tables and plot: their bytes stay as they are, and lines of today are read back.

use std::collections::BTreeMap;
use std::path::Path;
use woadstall_explain::{AttemptOutcome, AttemptReport, Cause, MARK, RequestReport, Summary, plot};

const CAUSES: [Cause; 7] = [
    Cause::Late,
    Cause::Repeated,
    Cause::Refused,
    Cause::Failed,
    Cause::TimedOut,
    Cause::ErrorAnswer,
    Cause::ClientLeft,
];

const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Answered,
    AttemptOutcome::ErrorAnswer,
    AttemptOutcome::Rejected,
    AttemptOutcome::NotSent,
    AttemptOutcome::Broken,
    AttemptOutcome::BrokenOff,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Abandoned,
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
        began: 3,
        took: 612,
        in_flight: 2,
        reading: 17_020,
        candidates: 28,
        passed_over: BTreeMap::from([("silent".to_owned(), 2), ("tripped".to_owned(), 1)]),
    }
}

fn report(cause: Cause) -> RequestReport {
    RequestReport {
        cause,
        route: "r-a".to_owned(),
        service: "llm".to_owned(),
        zone: "a-2".to_owned(),
        priority: 1,
        total: 900,
        first: Some(640),
        pause: 12,
        target: 600,
        prompt: 17_021,
        shared: 13_300,
        attempts: OUTCOMES.into_iter().map(attempt).collect(),
    }
}

/// One report of each cause with attempts of each outcome, and one in which all that may be absent is absent.
fn reports() -> Vec<RequestReport> {
    let mut reports: Vec<RequestReport> = CAUSES.into_iter().map(report).collect();
    let bare_attempt = AttemptReport {
        upstream: String::new(),
        zone: String::new(),
        passed_over: BTreeMap::new(),
        ..attempt(AttemptOutcome::Answered)
    };
    let first = None;
    reports.push(RequestReport {
        first,
        attempts: vec![bare_attempt],
        ..report(Cause::Refused)
    });
    let attempts = Vec::new();
    reports.push(RequestReport {
        route: "a b=c;d,e+f*g".to_owned(),
        first,
        attempts,
        ..report(Cause::Late)
    });
    reports
}

#[test]
fn the_mark_is_unchanged() {
    assert_eq!(MARK, "request report ");
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
    // What separates fields is written as `_`, an empty name as `-`.
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
    assert_golden("summary.svg", &plot(&summary).unwrap());
}

#[test]
fn empty_tables_and_plot_are_unchanged() {
    let summary = Summary::default();
    assert_golden("empty.txt", &summary.to_string());
    assert_golden("empty.svg", &plot(&summary).unwrap());
}

#[test]
fn errors_are_unchanged() {
    let error = |line: &str| line.parse::<RequestReport>().unwrap_err().to_string();
    let line = report(Cause::Late).to_string();
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
