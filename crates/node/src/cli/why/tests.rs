//! Recognition of report lines, and errors for invalid lines and missing files.

use super::*;

const REPORT: &str = "request report cause=late route=r service=s zone=z priority=0 total=9 first=8 pause=0 target=5 \
    prompt=0 shared=0 attempts=-";

fn summarize(log: &str) -> Result<Summary, WhyError> {
    let mut summary = Summary::default();
    add_log(Path::new("a.log"), log.as_bytes(), &mut summary)?;
    Ok(summary)
}

#[test]
fn reports_are_found_among_other_lines() {
    let log = format!("00:00:01.500 INFO front_started\n00:01:02.250 INFO {REPORT}\n");
    let summary = summarize(&log).unwrap();
    assert_eq!(summary.reports(), 1);
    assert!(summary.by_second().contains_key(&62));
}

#[test]
fn a_truncated_report_is_an_error_with_its_number() {
    let truncated = &REPORT[..REPORT.len() - 14];
    let error = summarize(&format!("first line\n{truncated}\n")).unwrap_err();
    assert!(error.to_string().starts_with("a.log, line 2: "), "{error}");
}

#[test]
fn a_missing_log_is_an_error_with_its_path() {
    let error = run(&[PathBuf::from("/nowhere/a.log")], None).unwrap_err();
    assert!(error.to_string().starts_with("/nowhere/a.log: "));
}
