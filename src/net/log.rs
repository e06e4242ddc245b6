//! The log: lines of an event's name and key=value fields on standard error, limited in their rate.

use log::{LevelFilter, Metadata, Record};
use std::fmt;
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Most lines in a second. In trouble, what they report happens many times a second.
const MAX_LINES_PER_SECOND: u32 = 20;
const WINDOW: Duration = Duration::from_secs(1);

/// The lines of the present second.
struct RateWindow {
    started: Instant,
    lines: u32,
}

/// Writes one line to standard error, unless too many were written in this second. Unlike `eprintln`, it does not panic
/// where that is closed.
pub fn log(text: fmt::Arguments<'_>) {
    static WINDOW_STATE: Mutex<Option<RateWindow>> = Mutex::new(None);
    let mut state = WINDOW_STATE.lock().unwrap_or_else(PoisonError::into_inner);
    let present = state
        .take()
        .filter(|window| window.started.elapsed() < WINDOW);
    let mut window = present.unwrap_or_else(|| RateWindow {
        started: Instant::now(),
        lines: 0,
    });
    let lines = window.lines;
    window.lines = lines.saturating_add(1);
    *state = Some(window);
    let mut stderr = io::stderr().lock();
    match lines {
        ..MAX_LINES_PER_SECOND => writeln!(stderr, "woadstall: {text}").ok(),
        MAX_LINES_PER_SECOND => writeln!(stderr, "woadstall: log_lines_dropped").ok(),
        _ => None,
    };
}

/// Writes what libraries of the workspace log with the `log` crate.
struct LibraryLog;

static LIBRARY_LOG: LibraryLog = LibraryLog;

impl log::Log for LibraryLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= LevelFilter::Warn && metadata.target().starts_with("woadstall")
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            log(*record.args());
        }
    }

    fn flush(&self) {}
}

/// Has the warnings of the workspace's libraries written too. Where the process has a logger already, that one gets them.
pub(super) fn install_library_log() {
    if log::set_logger(&LIBRARY_LOG).is_ok() {
        log::set_max_level(LevelFilter::Warn);
    }
}
