//! Tests of writing and parsing report lines and of summarizing reports as tables and a plot.

use rstest::rstest;
use std::collections::BTreeMap;
use woadstall_request_reports::{
    AttemptOutcome, AttemptReport, Cause, LINE_PREFIX, ParseReportError, RequestReport, Summary,
    render_svg,
};

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
        prompt_tokens: 17_020,
        shared_tokens: 13_300,
        attempts: vec![
            attempt(AttemptOutcome::NoResponse),
            attempt(AttemptOutcome::Completed),
        ],
    }
}

#[rstest]
#[case::late(Cause::TargetMissed)]
#[case::repeated(Cause::Retried)]
#[case::refused(Cause::Rejected)]
#[case::failed(Cause::Failed)]
#[case::timed_out(Cause::TimedOut)]
#[case::error_answer(Cause::ErrorResponse)]
#[case::client_left(Cause::ClientDisconnected)]
fn a_report_is_parsed_as_it_was_written(#[case] cause: Cause) {
    let full = report(cause);
    let line = format!("10:20:30.123 INFO {full}");
    assert_eq!(line.parse(), Ok(full));
    let without_attempts = RequestReport {
        first_data_ms: None,
        attempts: Vec::new(),
        ..report(cause)
    };
    assert_eq!(without_attempts.to_string().parse(), Ok(without_attempts));
}

#[test]
fn names_with_separators_are_escaped() {
    let report = RequestReport {
        route: "a b=c;d,e+f*g".to_owned(),
        ..report(Cause::TargetMissed)
    };
    let parsed: RequestReport = report.to_string().parse().unwrap();
    assert_eq!(parsed.route, "a_b_c_d_e_f_g");
}

/// Removes one field of a line or gives it an invalid value. The error must name the field.
#[rstest]
fn errors_name_the_field(
    #[values(
        "cause", "route", "service", "zone", "priority", "total", "first", "pause", "target",
        "prompt", "shared", "attempts"
    )]
    field: &'static str,
) {
    let line = report(Cause::TargetMissed).to_string();
    let pairs = line.strip_prefix(LINE_PREFIX).unwrap().split(' ');
    let other_pairs: Vec<&str> = pairs
        .filter(|pair| !pair.starts_with(&format!("{field}=")))
        .collect();
    let incomplete = format!("{LINE_PREFIX}{}", other_pairs.join(" "));
    assert_eq!(
        incomplete.parse::<RequestReport>(),
        Err(ParseReportError::MissingField(field))
    );
    if ["route", "service", "zone"].contains(&field) {
        return; // These fields accept any text.
    }
    let invalid = format!("{incomplete} {field}=what");
    let value = "what".to_owned();
    assert_eq!(
        invalid.parse::<RequestReport>(),
        Err(ParseReportError::InvalidValue { field, value })
    );
}

#[test]
fn reports_are_summarized_as_tables_and_a_plot() {
    let mut summary = Summary::default();
    summary.add(10, &report(Cause::TargetMissed));
    summary.add(10, &report(Cause::TargetMissed));
    summary.add(12, &report(Cause::Failed));
    assert_eq!(summary.reports(), 3);
    let text = summary.to_string();
    let row = |key: &str| {
        let line = text.lines().find(|line| line.starts_with(key)).unwrap();
        line.split_whitespace()
            .skip(1)
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    assert_eq!(row("10 "), ["2", "0"]);
    assert_eq!(row("12 "), ["0", "1"]);
    assert_eq!(row("r-a "), ["2", "1"]);
    assert_eq!(row("silent "), ["8", "4"]);
    assert_eq!(row("a-1 "), ["i-7f3a", "answered=3", "broken=3"]);
    let svg = render_svg(&summary).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("late") && svg.contains("failed"));
}

#[test]
fn no_reports_are_summarized_as_empty_tables() {
    let summary = Summary::default();
    assert!(summary.to_string().starts_with("0 reports"));
    assert!(render_svg(&summary).is_ok());
}
