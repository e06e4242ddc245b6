//! What was sent, answered and run, in order, for `record.txt`.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

pub fn now_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

/// Appends one line to a file that several processes share.
pub fn append(path: &Path, line: &str) {
    if let Ok(mut file) = OpenOptions::new().create(true).append(true).open(path) {
        file.write_all(format!("{} {line}\n", now_ms()).as_bytes())
            .ok();
    }
}

/// Sorts the lines of the shared file by time and writes them, with times from the first on.
pub fn finish(shared: &Path, record: &PathBuf, result: &[String]) -> io::Result<()> {
    let text = std::fs::read_to_string(shared).unwrap_or_default();
    let mut lines: Vec<(u128, &str)> = text
        .lines()
        .filter_map(|line| {
            let (time, rest) = line.split_once(' ')?;
            Some((time.parse().ok()?, rest))
        })
        .collect();
    lines.sort_by_key(|(time, _)| *time);
    let begin = lines.first().map_or(0, |(time, _)| *time);
    let mut file = File::create(record)?;
    for (time, line) in &lines {
        writeln!(file, "{:8.3} s  {line}", (time - begin) as f64 / 1000.0)?;
    }
    writeln!(file)?;
    for line in result {
        writeln!(file, "{line}")?;
        println!("{line}");
    }
    Ok(())
}
