//! The faults of a run, drawn from its seed: in series and overlapping.

use super::cores::Run;
use fastrand::Rng;
use serde_json::Value;
use std::sync::Arc;
use std::time::{Duration, Instant};
use woadstall_mock_servers::system::{System, call};

/// Calls between the beginnings of two faults.
const CALLS_BETWEEN_FAULTS: std::ops::Range<u64> = 20..400;
/// A fault begins at the latest so long after the last one, however few calls are executed.
const FAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a machine is stopped, in milliseconds.
const STOP_MS: std::ops::Range<u64> = 300..4_000;
/// How long a machine is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 0..2_000;
/// Machines that are stopped or down at a time, beside those that are killed all at once.
const MAX_DISTURBED: usize = 3;
/// How long members may take to become stable.
const STABLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Calls between two looks at the members.
const CALLS_BETWEEN_LOOKS: u64 = 50;

/// What ends a machine's disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    Continue,
    Start,
}

/// The faults of a run.
pub struct Faults {
    pub system: System,
    run: Arc<Run>,
    random: Rng,
    cores: u8,
    /// The machines that are disturbed, and when that ends.
    disturbed: Vec<(u8, Recovery, Instant)>,
}

impl Faults {
    /// Faults of a system with so many core machines.
    pub fn new(system: System, run: Arc<Run>, cores: u8, seed: u64) -> Self {
        for core in 0..cores {
            run.set_process(core, system.core_process(core).id());
        }
        Self {
            system,
            run,
            random: Rng::with_seed(seed),
            cores,
            disturbed: Vec::new(),
        }
    }

    /// Brings about faults until a time, and then ends all disturbances.
    pub fn play(&mut self, until: Instant) {
        while Instant::now() < until {
            let calls = self.run.executed() + self.random.u64(CALLS_BETWEEN_FAULTS);
            self.wait(calls, until.min(Instant::now() + FAULT_TIMEOUT));
            self.begin_fault();
        }
        while let Some(due) = self.next_recovery() {
            self.wait(u64::MAX, due);
        }
    }

    /// Waits for a number of calls, or until a time, and ends disturbances meanwhile.
    fn wait(&mut self, calls: u64, until: Instant) {
        loop {
            let now = Instant::now();
            let due = self.next_recovery().unwrap_or(until).min(until);
            self.run.wait_for_executed(calls, due);
            self.recover_due(now);
            if self.run.executed() >= calls || now >= until {
                return;
            }
        }
    }

    fn next_recovery(&self) -> Option<Instant> {
        self.disturbed.iter().map(|(.., due)| *due).min()
    }

    fn recover_due(&mut self, now: Instant) {
        let is_due = |(.., due): &(u8, Recovery, Instant)| *due <= now;
        let (due, waiting) = self.disturbed.iter().copied().partition(is_due);
        self.disturbed = waiting;
        for (core, recovery, _) in due {
            self.recover(core, recovery);
        }
    }

    fn recover(&mut self, core: u8, recovery: Recovery) {
        self.run.note_fault(&format!("{recovery:?} core-{core}"));
        match recovery {
            Recovery::Continue => self.system.core_process(core).signal("CONT"),
            Recovery::Start => self.system.start_core(core, false),
        }
        self.run
            .set_process(core, self.system.core_process(core).id());
        self.run.set_disturbed(core, false);
    }

    fn begin_fault(&mut self) {
        let core = self.random.u8(0..self.cores);
        let is_disturbed = |core: u8| move |(other, ..): &(u8, Recovery, Instant)| *other == core;
        let kind = self.random.u8(0..16);
        if kind == 15 {
            self.kill_all();
        } else if self.disturbed.len() >= MAX_DISTURBED
            || self.disturbed.iter().any(is_disturbed(core))
        {
            self.run.note_fault("none");
        } else {
            match kind {
                0..=3 => self.end(core),
                4..=6 => self.kill(core),
                7..=11 => self.stop(core),
                12..=13 => self.reload(core),
                _ => self.lose_disk(core),
            }
        }
    }

    fn disturb(&mut self, core: u8, recovery: Recovery, duration_ms: u64) {
        let due = Instant::now() + Duration::from_millis(duration_ms);
        self.disturbed.push((core, recovery, due));
    }

    fn end(&mut self, core: u8) {
        self.run.note_fault(&format!("SIGTERM core-{core}"));
        self.system.core_process(core).signal("TERM");
        self.system.wait_for_core_end(core);
        self.run.note_fault(&format!("core-{core} has ended"));
        self.run.set_disturbed(core, true);
        let duration_ms = self.random.u64(DOWN_MS);
        self.disturb(core, Recovery::Start, duration_ms);
    }

    fn kill(&mut self, core: u8) {
        self.run.note_fault(&format!("SIGKILL core-{core}"));
        self.run.set_disturbed(core, true);
        self.system.kill_core(core);
        let duration_ms = self.random.u64(DOWN_MS);
        self.disturb(core, Recovery::Start, duration_ms);
    }

    fn stop(&mut self, core: u8) {
        let duration_ms = self.random.u64(STOP_MS);
        self.run
            .note_fault(&format!("SIGSTOP core-{core} for {duration_ms} ms"));
        self.run.set_disturbed(core, true);
        self.system.core_process(core).signal("STOP");
        self.disturb(core, Recovery::Continue, duration_ms);
    }

    /// Rewrites the settings of a machine: other limits, and the seeds in another order.
    fn reload(&mut self, core: u8) {
        if self.status(core).is_none() {
            self.run.note_fault("no reload before a process is up");
            return;
        }
        self.run.note_fault(&format!("SIGHUP core-{core}"));
        let heartbeat_ms = self.random.u64(50_000..70_000);
        let name = format!("core-{core}");
        self.system.rewrite_settings(&name, |settings| {
            settings["heartbeat_ms"] = heartbeat_ms.into();
            if let Some(seeds) = settings["seeds"].as_array_mut() {
                seeds.reverse();
            }
        });
        self.system.core_process(core).signal("HUP");
    }

    /// Kills a machine that loses its disk, if no other disk is being replaced.
    fn lose_disk(&mut self, core: u8) {
        if !self.is_stable() {
            self.run.note_fault("no disk is lost while one is replaced");
            return;
        }
        self.kill(core);
        self.run.note_fault(&format!("core-{core} loses its disk"));
        self.system.lose_disk(core);
    }

    fn kill_all(&mut self) {
        self.run.note_fault("SIGKILL all");
        for core in 0..self.cores {
            self.run.set_disturbed(core, true);
            self.system.kill_core(core);
        }
        self.disturbed.clear();
        for core in 0..self.cores {
            let duration_ms = self.random.u64(DOWN_MS);
            self.disturb(core, Recovery::Start, duration_ms);
        }
    }

    /// Kills all machines at once, and takes the disks of two of them; returns when they are started
    /// again.
    pub fn lose_two_disks(&mut self) -> Instant {
        let first = self.random.u8(0..self.cores);
        let second = (first + self.random.u8(1..self.cores)) % self.cores;
        self.kill_all();
        self.disturbed.clear();
        for core in [first, second] {
            self.run.note_fault(&format!("core-{core} loses its disk"));
            self.system.lose_disk(core);
        }
        let started = Instant::now();
        (0..self.cores).for_each(|core| self.recover(core, Recovery::Start));
        started
    }

    /// Waits until the group has recovered from a lost disk, so that two more may be lost.
    pub fn wait_until_stable(&mut self) -> bool {
        let begin = Instant::now();
        while !self.is_stable() {
            if begin.elapsed() > STABLE_TIMEOUT {
                return false;
            }
            let calls = self.run.executed() + CALLS_BETWEEN_LOOKS;
            self.wait(calls, Instant::now() + Duration::from_millis(200));
        }
        true
    }

    /// Whether each voter of the group is a machine that runs with its disk.
    fn is_stable(&self) -> bool {
        if !self.disturbed.is_empty() {
            return false;
        }
        let statuses: Option<Vec<Value>> = self.statuses().into_iter().collect();
        statuses.is_some_and(|statuses| {
            let voters = statuses.iter().filter(|status| status["is_voter"] == true);
            let count = voters.count();
            let has_all = |status: &Value| {
                status["voters"]
                    .as_array()
                    .is_some_and(|voters| voters.len() == count)
            };
            let is_same_leader = |status: &Value| status["leader"] == statuses[0]["leader"];
            statuses.iter().all(|status| {
                has_all(status) && is_same_leader(status) && status["in_quorum"] == true
            })
        })
    }

    /// What the machines say of the group.
    pub fn statuses(&self) -> Vec<Option<Value>> {
        (0..self.cores).map(|core| self.status(core)).collect()
    }

    fn status(&self, core: u8) -> Option<Value> {
        let address = self.system.control(core);
        let answer = call(address, "GET", "/v1/status/coordination", "", b"")?;
        serde_json::from_slice(&answer.body).ok()
    }
}
