//! The log: rate-limited lines on standard error, each with the name of an event and key=value fields.

use log::{LevelFilter, Metadata, Record};
use std::fmt;
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of lines per second. During an incident, the reported events can occur many times per second.
const MAX_LINES_PER_SECOND: u32 = 20;
const WINDOW: Duration = Duration::from_secs(1);

/// Number of lines in the current one-second window.
struct RateWindow {
    started: Instant,
    lines: u32,
}

/// Writes one line to standard error, unless the rate limit is exceeded. Unlike `eprintln`, this function does not
/// panic if standard error is closed.
pub fn log(text: fmt::Arguments<'_>) {
    static WINDOW_STATE: Mutex<Option<RateWindow>> = Mutex::new(None);
    let mut state = WINDOW_STATE.lock().unwrap_or_else(PoisonError::into_inner);
    let current = state
        .take()
        .filter(|window| window.started.elapsed() < WINDOW);
    let mut window = current.unwrap_or_else(|| RateWindow {
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

/// Writes log records of the workspace's libraries, which use the `log` crate.
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

/// Installs [`LibraryLog`] for warnings and errors of the workspace's libraries. A logger that is already installed in
/// the process stays in place and receives them instead.
pub(super) fn install_library_log() {
    if log::set_logger(&LIBRARY_LOG).is_ok() {
        log::set_max_level(LevelFilter::Warn);
    }
}
