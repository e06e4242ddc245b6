//! What clients and faults share: which core machines are disturbed at the moment, how many calls
//! were executed, and what was found to be wrong.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How long a client that no machine serves waits for a change at most.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(20);

/// Whether a machine is stopped or down.
#[derive(Clone, Copy, Debug, Default)]
struct Disturbance {
    is_disturbed: bool,
    last_ended: Option<Instant>,
}

/// What a thread does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThreadState {
    /// `R` if it runs or waits for a processor.
    state: String,
    /// The processor time that it has used and waited for, and the number of its time slices.
    schedule: String,
    /// What it waits for in the kernel.
    waits_for: String,
}

impl ThreadState {
    /// The main thread of a process.
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

    /// Whether it wanted to run all the time since an earlier look, and got no time slice.
    pub fn has_starved_since(&self, earlier: &Self) -> bool {
        self.state == "R" && self == earlier
    }
}

/// The shared state of a run.
#[derive(Debug)]
pub struct Run {
    began: Instant,
    /// Whether clients are to end.
    pub is_over: AtomicBool,
    disturbances: Mutex<Vec<Disturbance>>,
    changed: Condvar,
    executed: AtomicU64,
    violations: Mutex<Vec<String>>,
    faults: Mutex<Vec<String>>,
    /// The identities of the core machines' processes.
    processes: Mutex<Vec<u32>>,
}

impl Run {
    /// A run with so many core machines.
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

    /// The time since the run began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn disturbances(&self) -> MutexGuard<'_, Vec<Disturbance>> {
        self.disturbances.lock().expect("no thread panics with it")
    }

    /// A machine stops or goes down, or it runs again.
    pub fn set_disturbed(&self, core: u8, is_disturbed: bool) {
        let disturbance = &mut self.disturbances()[usize::from(core)];
        disturbance.is_disturbed = is_disturbed;
        if !is_disturbed {
            disturbance.last_ended = Some(Instant::now());
        }
        self.changed.notify_all();
    }

    /// Since when a machine has run without being disturbed, for a call sent at this time; `None`
    /// while it is disturbed.
    pub fn undisturbed_since(&self, core: u8, sent: Instant) -> Option<Instant> {
        let disturbance = self.disturbances()[usize::from(core)];
        let ended = disturbance.last_ended.unwrap_or(sent);
        (!disturbance.is_disturbed).then_some(ended.max(sent))
    }

    /// A core machine has this process now.
    pub fn set_process(&self, core: u8, process: u32) {
        let mut processes = self.processes.lock().expect("no thread panics with it");
        processes[usize::from(core)] = process;
    }

    /// What the main thread of a core machine's process does; `None` if the process is gone.
    pub fn main_thread(&self, core: u8) -> Option<ThreadState> {
        let process = {
            let processes = self.processes.lock().expect("no thread panics with it");
            processes[usize::from(core)]
        };
        ThreadState::read(process)
    }

    /// A call was executed.
    pub fn count_executed(&self) {
        self.executed.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// The number of calls that were executed.
    pub fn executed(&self) -> u64 {
        self.executed.load(Ordering::Relaxed)
    }

    /// Waits until so many calls were executed, or until a time.
    pub fn wait_for_executed(&self, calls: u64, until: Instant) {
        let mut guard = self.disturbances();
        while self.executed() < calls && Instant::now() < until {
            let time = until.saturating_duration_since(Instant::now());
            let waited = self.changed.wait_timeout(guard, time.min(CHANGE_TIMEOUT));
            guard = waited.expect("no thread panics with it").0;
        }
    }

    /// Waits until something has changed: a machine, or a call that was executed.
    pub fn wait_for_change(&self) {
        let waited = self
            .changed
            .wait_timeout(self.disturbances(), CHANGE_TIMEOUT);
        drop(waited);
    }

    /// Notes something that must not happen.
    pub fn report(&self, violation: String) {
        let at_ms = self.began.elapsed().as_millis();
        let mut violations = self.violations.lock().expect("no thread panics with it");
        violations.push(format!("{at_ms} ms: {violation}"));
    }

    /// Notes a fault.
    pub fn note_fault(&self, fault: &str) {
        let at_ms = self.began.elapsed().as_millis();
        let mut faults = self.faults.lock().expect("no thread panics with it");
        faults.push(format!("{at_ms} ms: {fault}"));
    }

    /// What must not have happened, with the faults before it; `None` if all is well.
    pub fn verdict(&self) -> Option<String> {
        let violations = self.violations.lock().expect("no thread panics with it");
        let faults = self.faults.lock().expect("no thread panics with it");
        let found = format!("{}\nfaults:\n{}", violations.join("\n"), faults.join("\n"));
        (!violations.is_empty()).then_some(found)
    }
}
