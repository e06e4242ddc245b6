//! State that the clients and the fault injector share: the core servers that a fault disturbs, the
//! number of executed calls, and the violations found so far.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest wait for a change of the shared state before it is checked again.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(20);

/// Whether a fault has stopped or ended the process of a server, and when the last fault ended.
#[derive(Clone, Copy, Debug, Default)]
struct Disturbance {
    is_disturbed: bool,
    last_ended: Option<Instant>,
}

/// The scheduling state of a thread, read from `/proc`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThreadState {
    /// The state letter of the kernel: `R` if the thread runs or waits for a processor.
    state: String,
    /// The contents of `schedstat`: processor time used, time spent waiting for a processor, and the
    /// number of time slices.
    schedule: String,
    /// The contents of `wchan`: the kernel function in which the thread sleeps.
    waits_for: String,
}

impl ThreadState {
    /// Reads the state of the main thread of a process.
    fn read(process: u32) -> Option<Self> {
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{process}/{file}")).ok();
        let status = read("stat")?;
        let state = status.rsplit(')').next()?.split_whitespace().next()?;
        Some(Self {
            state: state.to_owned(),
            schedule: read("schedstat")?.trim().to_owned(),
            waits_for: read("wchan").unwrap_or_default(),
        })
    }

    /// Returns whether the thread was runnable since the `earlier` reading but got no time slice.
    pub fn has_starved_since(&self, earlier: &Self) -> bool {
        self.state == "R" && self == earlier
    }
}

/// The shared state of a soak run.
#[derive(Debug)]
pub struct Run {
    began: Instant,
    /// Set when the clients must end.
    pub is_over: AtomicBool,
    disturbances: Mutex<Vec<Disturbance>>,
    changed: Condvar,
    executed: AtomicU64,
    violations: Mutex<Vec<String>>,
    faults: Mutex<Vec<String>>,
    /// The process identifiers of the core servers.
    processes: Mutex<Vec<u32>>,
}

impl Run {
    /// Creates the state of a run with `cores` core servers.
    pub fn new(cores: u8) -> Self {
        Self {
            began: Instant::now(),
            is_over: AtomicBool::new(false),
            disturbances: Mutex::new(vec![Disturbance::default(); usize::from(cores)]),
            changed: Condvar::new(),
            executed: AtomicU64::new(0),
            violations: Mutex::default(),
            faults: Mutex::default(),
            processes: Mutex::new(vec![0; usize::from(cores)]),
        }
    }

    /// Returns the time since the run began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn disturbances(&self) -> MutexGuard<'_, Vec<Disturbance>> {
        self.disturbances
            .lock()
            .expect("no thread panics while it holds the mutex")
    }

    /// Records that a fault on a server begins or ends.
    pub fn set_disturbed(&self, core: u8, is_disturbed: bool) {
        let disturbance = &mut self.disturbances()[usize::from(core)];
        disturbance.is_disturbed = is_disturbed;
        if !is_disturbed {
            disturbance.last_ended = Some(Instant::now());
        }
        self.changed.notify_all();
    }

    /// Returns the later of the time at which a call was sent and the end of the last fault on its
    /// server; `None` while a fault disturbs the server.
    pub fn undisturbed_since(&self, core: u8, sent: Instant) -> Option<Instant> {
        let disturbance = self.disturbances()[usize::from(core)];
        let ended = disturbance.last_ended.unwrap_or(sent);
        (!disturbance.is_disturbed).then_some(ended.max(sent))
    }

    /// Records the process identifier of a core server.
    pub fn set_process(&self, core: u8, process: u32) {
        let mut processes = self
            .processes
            .lock()
            .expect("no thread panics while it holds the mutex");
        processes[usize::from(core)] = process;
    }

    /// Reads the state of the main thread of a core server; `None` if its process has ended.
    pub fn main_thread(&self, core: u8) -> Option<ThreadState> {
        let process = {
            let processes = self
                .processes
                .lock()
                .expect("no thread panics while it holds the mutex");
            processes[usize::from(core)]
        };
        ThreadState::read(process)
    }

    /// Counts an executed call.
    pub fn count_executed(&self) {
        self.executed.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Returns the number of executed calls.
    pub fn executed(&self) -> u64 {
        self.executed.load(Ordering::Relaxed)
    }

    /// Waits until `calls` calls have been executed in total, or until a time.
    pub fn wait_for_executed(&self, calls: u64, until: Instant) {
        let mut guard = self.disturbances();
        while self.executed() < calls && Instant::now() < until {
            let remaining = until.saturating_duration_since(Instant::now());
            let waited = self
                .changed
                .wait_timeout(guard, remaining.min(CHANGE_TIMEOUT));
            guard = waited.expect("no thread panics while it holds the mutex").0;
        }
    }

    /// Waits until a fault begins or ends or a call is executed, for `CHANGE_TIMEOUT` at most.
    pub fn wait_for_change(&self) {
        let waited = self
            .changed
            .wait_timeout(self.disturbances(), CHANGE_TIMEOUT);
        drop(waited);
    }

    /// Records a violation with the time since the run began.
    pub fn report(&self, violation: String) {
        let time_ms = self.began.elapsed().as_millis();
        let mut violations = self
            .violations
            .lock()
            .expect("no thread panics while it holds the mutex");
        violations.push(format!("{time_ms} ms: {violation}"));
    }

    /// Records an injected fault with the time since the run began.
    pub fn note_fault(&self, fault: &str) {
        let time_ms = self.began.elapsed().as_millis();
        let mut faults = self
            .faults
            .lock()
            .expect("no thread panics while it holds the mutex");
        faults.push(format!("{time_ms} ms: {fault}"));
    }

    /// Lists all violations, followed by the injected faults; `None` if there are no violations.
    pub fn failure_report(&self) -> Option<String> {
        let violations = self
            .violations
            .lock()
            .expect("no thread panics while it holds the mutex");
        let faults = self
            .faults
            .lock()
            .expect("no thread panics while it holds the mutex");
        let report = format!("{}\nfaults:\n{}", violations.join("\n"), faults.join("\n"));
        (!violations.is_empty()).then_some(report)
    }
}
