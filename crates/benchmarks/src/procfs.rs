//! What the kernel says of a process: its CPU time and its memory (proc(5)).

use std::time::Duration;

/// CPU time that all threads of a process have used, to the nanosecond (`schedstat`); zero if there is none.
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

/// Resident memory of a process, in bytes; zero if there is none.
pub fn resident_memory(process_id: u32) -> u64 {
    const KIB: u64 = 1024;
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let size = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = size.and_then(|size| size.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * KIB
}
