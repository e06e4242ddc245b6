//! Parsing of upstreams' load reports.

use std::collections::HashMap;
use woadstall_runtime::engine::LoadReport;

/// Parses a load report, a JSON object of numbers, and returns the values of `fields` in their order. `None` if the
/// text cannot be parsed, a field is missing or `fields` is empty.
pub fn load_report(text: &[u8], fields: &[String]) -> Option<LoadReport> {
    let values: HashMap<String, f32> = serde_json::from_slice(text).ok()?;
    let mut report = LoadReport::default();
    for (figure, field) in report.figures.iter_mut().zip(fields) {
        *figure = *values.get(field)?;
        report.len += 1;
    }
    (report.len > 0).then_some(report)
}
