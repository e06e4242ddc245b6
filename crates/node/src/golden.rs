//! Compares bytes with the golden files of unit tests in `tests/golden`.

use std::path::Path;

/// Asserts that `bytes` equals the content of a golden file.
pub(crate) fn assert_golden(name: &str, bytes: &[u8]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    let expected = std::fs::read(&path).unwrap();
    assert!(
        bytes == expected,
        "{name}:\n{}\ninstead of\n{}",
        escape(bytes),
        escape(&expected)
    );
}

/// Formats bytes as text, with all non-printable bytes except newlines escaped.
pub(crate) fn escape(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string().replace("\\n", "\n")
}
