//! Process statistics from `/proc` (`proc(5)`). All functions return `None` if the process no longer exists or the
//! system does not provide the value.

use std::fs::read_to_string;

/// Index of the start time among the fields of `/proc/PID/stat` that follow the process name.
const START_TIME_FIELD_INDEX: usize = 19;

/// Returns the start time of a process in clock ticks since boot. The start time distinguishes the process from a later
/// process with the same identifier.
pub fn start_ticks(pid: i32) -> Option<u64> {
    let stat = read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name is enclosed in parentheses and may contain any character, including parentheses.
    let (_, fields) = stat.rsplit_once(')')?;
    fields
        .split_whitespace()
        .nth(START_TIME_FIELD_INDEX)?
        .parse()
        .ok()
}

/// Returns the time that a process was ready to run but waited for a core, in nanoseconds.
pub fn run_queue_wait_ns(pid: i32) -> Option<u64> {
    let stat = read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    stat.split_whitespace().nth(1)?.parse().ok()
}

/// Returns the CPU time of the thread of this name, in nanoseconds.
pub fn thread_run_ns(pid: i32, thread: &str) -> Option<u64> {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let mut tasks = tasks.filter_map(|task| Some(task.ok()?.path()));
    let task = tasks.find(|task| {
        read_to_string(task.join("comm")).is_ok_and(|name| name.trim_end() == thread)
    })?;
    let stat = read_to_string(task.join("schedstat")).ok()?;
    stat.split_whitespace().next()?.parse().ok()
}

/// Returns the peak resident memory of a process, in kB.
pub fn peak_memory_kb(pid: i32) -> Option<u64> {
    let status = read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}
