//! Sampling during a run: upstreams, processes, logs, and the timers of the test process.

use crate::fleet::{Fleet, RunningCounts};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::{interval_at, sleep};
use woadstall_load_test::callers::Callers;
use woadstall_load_test::lock;

/// Interval of samples of upstream queues: short enough to observe queues, long enough for negligible overhead.
const QUEUE_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Period of the timer that detects an overloaded machine.
const TIMER_PERIOD: Duration = Duration::from_millis(10);
/// Delay above which a tick counts as late. Ticks are later than this on an overloaded machine.
const TIMER_TOLERANCE: Duration = Duration::from_millis(50);

/// State of the processes at the end of a timeline step.
pub struct StepSample {
    /// Numbers of running processes.
    pub running: RunningCounts,
    /// Number of log lines written during the step, by the first word of the line.
    pub log_lines: BTreeMap<String, u64>,
}

#[derive(Default)]
struct TimerCounts {
    ticks: u64,
    late_ticks: u64,
}

/// Collects samples and failures during a run.
pub struct Observer {
    pub fleet: Arc<Fleet>,
    pub callers: Arc<Callers>,
    show_progress: bool,
    samples: Mutex<Vec<StepSample>>,
    failures: Mutex<Vec<String>>,
    timer: Mutex<TimerCounts>,
}

impl Observer {
    /// Creates an observer without samples. With `show_progress`, it prints each step to standard error.
    pub fn new(fleet: Arc<Fleet>, callers: Arc<Callers>, show_progress: bool) -> Self {
        Self {
            fleet,
            callers,
            show_progress,
            samples: Mutex::default(),
            failures: Mutex::default(),
            timer: Mutex::default(),
        }
    }

    /// Runs the scenario's faults and records an error as a failure.
    pub async fn run_faults(self: Arc<Self>) {
        if let Err(error) = self.fleet.clone().run_faults().await {
            lock(&self.failures).push(error.to_string());
        }
    }

    /// Samples the fleet at each timeline step, and records crashed processes.
    pub async fn sample_steps(self: Arc<Self>) {
        let start = self.fleet.schedule.start;
        let step = Duration::from_nanos(self.fleet.scenario.step.0);
        let (mut longest_queue, mut next_step) = (0, start + step);
        let mut log_offsets = vec![0; self.fleet.balancers.len()];
        let mut ticks = interval_at(start.into(), QUEUE_SAMPLE_INTERVAL.min(step));
        loop {
            ticks.tick().await;
            let upstreams = self.fleet.upstreams.iter();
            let queue = upstreams.map(|upstream| upstream.in_flight()).max();
            longest_queue = queue.unwrap_or(0).max(longest_queue);
            if Instant::now() < next_step {
                continue;
            }
            self.end_step(std::mem::take(&mut longest_queue), &mut log_offsets);
            next_step += step;
        }
    }

    fn end_step(&self, longest_queue: u32, log_offsets: &mut [u64]) {
        let (tier_speeds, attempts) = self.fleet.sample_upstreams();
        let running = self.fleet.running_counts();
        let mut log_lines = BTreeMap::new();
        for (balancer, offset) in self.fleet.balancers.iter().zip(log_offsets) {
            balancer.record_memory();
            lock(&self.failures).extend(balancer.crash_report());
            for (topic, count) in balancer.process.count_log_lines(offset) {
                *log_lines.entry(topic).or_default() += count;
            }
        }
        self.callers
            .end_step(&tier_speeds, &attempts, longest_queue);
        lock(&self.samples).push(StepSample { running, log_lines });
        if self.show_progress {
            self.print_progress(running);
        }
    }

    fn print_progress(&self, running: RunningCounts) {
        let seconds = self.fleet.schedule.start.elapsed().as_secs();
        let length = self.fleet.scenario.duration.seconds();
        let (balancers, upstreams) = (self.fleet.balancers.len(), self.fleet.upstreams.len());
        eprint!(
            "\r  {seconds:>4} of {length:.0} s, {} of {balancers} balancers, {} of {upstreams} nodos   ",
            running.balancers, running.upstreams
        );
    }

    /// Runs a periodic timer and counts late ticks.
    pub async fn sample_timer(self: Arc<Self>) {
        let start = self.fleet.schedule.start;
        sleep(start.saturating_duration_since(Instant::now())).await;
        loop {
            let due = Instant::now() + TIMER_PERIOD;
            sleep(TIMER_PERIOD).await;
            let mut timer = lock(&self.timer);
            timer.ticks += 1;
            timer.late_ticks += u64::from(due.elapsed() > TIMER_TOLERANCE);
        }
    }

    /// Returns the share of timer ticks that were late, from 0 to 1.
    pub fn late_timer_share(&self) -> f64 {
        let timer = lock(&self.timer);
        timer.late_ticks as f64 / timer.ticks.max(1) as f64
    }

    /// Removes and returns the samples of all steps so far.
    pub fn take_samples(&self) -> Vec<StepSample> {
        std::mem::take(&mut *lock(&self.samples))
    }

    /// Removes and returns the descriptions of crashed processes and failed faults, sorted and without duplicates.
    pub fn take_failures(&self) -> Vec<String> {
        let mut failures = std::mem::take(&mut *lock(&self.failures));
        failures.sort();
        failures.dedup();
        failures
    }
}
