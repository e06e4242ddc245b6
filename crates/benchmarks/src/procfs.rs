//! CPU time and memory of a process, as reported by the kernel (proc(5)).

use std::time::Duration;

/// Returns the CPU time of all threads of a process in nanosecond resolution (`schedstat`), or zero if there is no such
/// process.
pub fn cpu_time(process_id: u32) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{process_id}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let nanos = tasks.filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// Returns the resident memory of a process in bytes, or zero if there is no such process.
pub fn resident_memory(process_id: u32) -> u64 {
    const KIB: u64 = 1024;
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let size = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = size.and_then(|size| size.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * KIB
}
