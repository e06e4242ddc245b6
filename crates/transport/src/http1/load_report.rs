//! Load reports of upstreams.

use std::collections::HashMap;
use woadstall_runtime::engine::LoadReport;

/// The load figures in a report of JSON text, in the order of `fields`; `None` if one is missing, or there are none.
pub fn load_report(text: &[u8], fields: &[String]) -> Option<LoadReport> {
    let values: HashMap<String, f32> = serde_json::from_slice(text).ok()?;
    let mut report = LoadReport::default();
    for (figure, field) in report.figures.iter_mut().zip(fields) {
        *figure = *values.get(field)?;
        report.len += 1;
    }
    (report.len > 0).then_some(report)
}
