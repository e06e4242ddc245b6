//! FaultKind `/proc` tells of processes (`proc(5)`). All functions return `None` where the process is gone or the system
//! does not tell.

use std::fs::read_to_string;

/// The field of `/proc/PID/stat` with the start time, counted behind the name.
const START_TIME_FIELD: usize = 19;

/// When a process started, in clock ticks since boot: tells it from a later one of the same number.
pub fn start_ticks(pid: i32) -> Option<u64> {
    let stat = read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name stands in parentheses and may contain anything.
    let (_, fields) = stat.rsplit_once(')')?;
    fields
        .split_whitespace()
        .nth(START_TIME_FIELD)?
        .parse()
        .ok()
}

/// How long a process was ready to run and had no core, in nanoseconds.
pub fn run_queue_wait_ns(pid: i32) -> Option<u64> {
    let stat = read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    stat.split_whitespace().nth(1)?.parse().ok()
}

/// How long the thread of this name has run, in nanoseconds.
pub fn thread_run_ns(pid: i32, thread: &str) -> Option<u64> {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let mut tasks = tasks.filter_map(|task| Some(task.ok()?.path()));
    let task = tasks.find(|task| {
        read_to_string(task.join("comm")).is_ok_and(|name| name.trim_end() == thread)
    })?;
    let stat = read_to_string(task.join("schedstat")).ok()?;
    stat.split_whitespace().next()?.parse().ok()
}

/// The most memory that a process has had resident, in kB.
pub fn peak_memory_kb(pid: i32) -> Option<u64> {
    let status = read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}
