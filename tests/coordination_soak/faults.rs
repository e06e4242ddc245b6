//! Fault injector: the seed of a run determines the faults, which may overlap.

use super::cores::Run;
use fastrand::Rng;
use serde_json::Value;
use std::sync::Arc;
use std::time::{Duration, Instant};
use woadstall_mock_servers::system::{System, call};

/// Range of the number of executed calls between the beginnings of two faults.
const CALLS_BETWEEN_FAULTS: std::ops::Range<u64> = 20..400;
/// The next fault begins after this time even if too few calls are executed.
const FAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// Range of the time for which a server is suspended by SIGSTOP, in milliseconds.
const SUSPENSION_MS: std::ops::Range<u64> = 300..4_000;
/// Range of the time for which a server is down before its restart, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 0..2_000;
/// Maximum number of servers that are suspended or down at a time, except when all servers are killed at once.
const MAX_DISTURBED: usize = 3;
/// Time limit for the group members to become stable.
const STABLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of executed calls between two checks of the group members.
const CALLS_BETWEEN_CHECKS: u64 = 50;

/// The action that ends a fault on a server: SIGCONT or a restart of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    Continue,
    Start,
}

/// A fault on a server that lasts until the recovery action.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    core: u8,
    recovery: Recovery,
    /// Time at which the recovery is due.
    due: Instant,
}

/// Injects faults into the processes of a system.
pub struct Faults {
    pub system: System,
    run: Arc<Run>,
    random: Rng,
    cores: u8,
    active_faults: Vec<ActiveFault>,
}

impl Faults {
    /// Creates an injector for a system with `cores` core servers.
    pub fn new(system: System, run: Arc<Run>, cores: u8, seed: u64) -> Self {
        for core in 0..cores {
            run.set_process(core, system.core_process(core).id());
        }
        Self {
            system,
            run,
            random: Rng::with_seed(seed),
            cores,
            active_faults: Vec::new(),
        }
    }

    /// Injects faults until a time, and then waits until all servers have recovered.
    pub fn inject(&mut self, until: Instant) {
        while Instant::now() < until {
            let calls = self.run.executed() + self.random.u64(CALLS_BETWEEN_FAULTS);
            self.wait(calls, until.min(Instant::now() + FAULT_TIMEOUT));
            self.begin_fault();
        }
        while let Some(due) = self.next_recovery() {
            self.wait(u64::MAX, due);
        }
    }

    /// Waits until `calls` calls have been executed in total, or until a time, and starts the due
    /// recoveries meanwhile.
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
        self.active_faults.iter().map(|fault| fault.due).min()
    }

    fn recover_due(&mut self, now: Instant) {
        let is_due = |fault: &ActiveFault| fault.due <= now;
        let (due, waiting): (Vec<_>, Vec<_>) = self.active_faults.iter().copied().partition(is_due);
        self.active_faults = waiting;
        for ActiveFault { core, recovery, .. } in due {
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
        let is_same_core = |fault: &ActiveFault| fault.core == core;
        let kind = self.random.u8(0..16);
        if kind == 15 {
            self.kill_all();
        } else if self.active_faults.len() >= MAX_DISTURBED
            || self.active_faults.iter().any(is_same_core)
        {
            self.run
                .note_fault("skipped: the server or too many servers are already under a fault");
        } else {
            match kind {
                0..=3 => self.terminate(core),
                4..=6 => self.kill(core),
                7..=11 => self.suspend(core),
                12..=13 => self.reload(core),
                _ => self.lose_disk(core),
            }
        }
    }

    fn schedule_recovery(&mut self, core: u8, recovery: Recovery, duration_ms: u64) {
        let due = Instant::now() + Duration::from_millis(duration_ms);
        self.active_faults.push(ActiveFault {
            core,
            recovery,
            due,
        });
    }

    fn terminate(&mut self, core: u8) {
        self.run.note_fault(&format!("SIGTERM core-{core}"));
        self.system.core_process(core).signal("TERM");
        self.system.wait_for_core_end(core);
        self.run.note_fault(&format!("core-{core} has ended"));
        self.run.set_disturbed(core, true);
        let duration_ms = self.random.u64(DOWNTIME_MS);
        self.schedule_recovery(core, Recovery::Start, duration_ms);
    }

    fn kill(&mut self, core: u8) {
        self.run.note_fault(&format!("SIGKILL core-{core}"));
        self.run.set_disturbed(core, true);
        self.system.kill_core(core);
        let duration_ms = self.random.u64(DOWNTIME_MS);
        self.schedule_recovery(core, Recovery::Start, duration_ms);
    }

    fn suspend(&mut self, core: u8) {
        let duration_ms = self.random.u64(SUSPENSION_MS);
        self.run
            .note_fault(&format!("SIGSTOP core-{core} for {duration_ms} ms"));
        self.run.set_disturbed(core, true);
        self.system.core_process(core).signal("STOP");
        self.schedule_recovery(core, Recovery::Continue, duration_ms);
    }

    /// Changes the heartbeat interval and the order of the seeds in the settings of a server, and sends
    /// SIGHUP.
    fn reload(&mut self, core: u8) {
        if self.status(core).is_none() {
            self.run
                .note_fault("skipped: no reload of a server that does not answer");
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

    /// Kills a server and deletes its data. Skips the fault if the group is not stable, since it may still be
    /// replacing another lost disk.
    fn lose_disk(&mut self, core: u8) {
        if !self.is_stable() {
            self.run
                .note_fault("skipped: no loss of a disk while the group is not stable");
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
        self.active_faults.clear();
        for core in 0..self.cores {
            let duration_ms = self.random.u64(DOWNTIME_MS);
            self.schedule_recovery(core, Recovery::Start, duration_ms);
        }
    }

    /// Kills all servers at once, deletes the data of two servers and restarts all servers. Returns the
    /// time at which the restart began.
    pub fn lose_two_disks(&mut self) -> Instant {
        let first = self.random.u8(0..self.cores);
        let second = (first + self.random.u8(1..self.cores)) % self.cores;
        self.kill_all();
        self.active_faults.clear();
        for core in [first, second] {
            self.run.note_fault(&format!("core-{core} loses its disk"));
            self.system.lose_disk(core);
        }
        let started = Instant::now();
        (0..self.cores).for_each(|core| self.recover(core, Recovery::Start));
        started
    }

    /// Waits until the group has recovered from a lost disk, so that it tolerates the loss of two more
    /// disks; returns `false` after `STABLE_TIMEOUT`.
    pub fn wait_until_stable(&mut self) -> bool {
        let begin = Instant::now();
        while !self.is_stable() {
            if begin.elapsed() > STABLE_TIMEOUT {
                return false;
            }
            let calls = self.run.executed() + CALLS_BETWEEN_CHECKS;
            self.wait(calls, Instant::now() + Duration::from_millis(200));
        }
        true
    }

    /// Returns whether the group is complete: no server is under a fault, all servers agree on the leader and
    /// are in the quorum, and the voters listed by each server are as many as the voters that run with their
    /// disk.
    fn is_stable(&self) -> bool {
        if !self.active_faults.is_empty() {
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

    /// Returns the coordination status of each server; `None` for a server that does not answer.
    pub fn statuses(&self) -> Vec<Option<Value>> {
        (0..self.cores).map(|core| self.status(core)).collect()
    }

    fn status(&self, core: u8) -> Option<Value> {
        let address = self.system.control(core);
        let answer = call(address, "GET", "/v1/status/coordination", "", b"")?;
        serde_json::from_slice(&answer.body).ok()
    }
}
