//! The log: lines of an event's name and key=value fields on standard error, limited in their rate.

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
