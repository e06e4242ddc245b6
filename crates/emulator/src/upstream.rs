//! Model of an upstream: workers, a queue, a cold start, and active faults. The caller passes the time.

use crate::random::{Dist, chance};
use crate::scenario::{QueueOrder, Tier};
use crate::units::SECOND;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use woadstall_engine::Time;

/// Window over which rule 4 measures the load of a cold upstream.
pub const OVERLOAD_WINDOW: Time = 3 * SECOND;

/// Faults that affect an upstream at present.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamFaults {
    /// Factor by which the work takes longer.
    pub slowdown: f64,
    /// Fractions of the requests that are answered with errors; `None` instead of a class means all classes.
    pub errors: Vec<(f64, Option<usize>)>,
    /// Fraction of the responses that are lost.
    pub lost: f64,
    /// Fraction of the connections that are reset.
    pub resets: f64,
    /// The upstream accepts requests and never responds.
    pub unresponsive: bool,
    /// The upstream rejects all requests as full.
    pub full: bool,
    /// The upstream's process is suspended.
    pub stopped: bool,
    /// Factor by which network delays to and from the upstream are longer.
    pub delay_factor: f64,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            errors: Vec::new(),
            lost: 0.0,
            resets: 0.0,
            unresponsive: false,
            full: false,
            stopped: false,
            delay_factor: 1.0,
        }
    }
}

/// An upstream, across all its processes.
#[derive(Debug)]
pub struct Upstream {
    /// Name in the upstream list.
    pub name: String,
    /// Position of the tier.
    pub tier: usize,
    /// Position of the zone.
    pub zone: u8,
    /// Number of the cell.
    pub cell: u16,
    /// Number of the host, which determines the address.
    pub host: u32,
    /// Whether a process is running.
    pub alive: bool,
    /// Whether the upstream is listed as draining.
    pub draining: bool,
    /// Number of the process that is running or ran last.
    pub process: u32,
    /// Start time of the process; `None` if the upstream was warm from the start of the run.
    pub started: Option<Time>,
    /// The process crashed by overload and has not been restarted yet.
    pub overloaded: bool,
    /// Faults that affect the upstream at present.
    pub active_faults: UpstreamFaults,
    /// Random stream of the upstream.
    pub rng: ChaCha8Rng,
    workers: u32,
    busy: u32,
    queue_capacity: u32,
    queue_order: QueueOrder,
    start_capacity: f64,
    slow_start_window: Time,
    overload_multiple: f64,
    /// Open connections to the process.
    connections: u32,
    max_connections: u32,
    queue: VecDeque<u64>,
    /// Arrival times of recent requests while the upstream is cold.
    recent_arrivals: VecDeque<Time>,
}

/// Result of a request's arrival at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Work on the request begins.
    Begun,
    /// The request waits in the queue.
    Queued,
    /// The request is rejected, as the queue is full.
    Full,
}

impl Upstream {
    /// Creates an upstream of a tier, whose configuration decides whether it starts cold. `location` is the position of
    /// the zone, the number of the cell, and the number of the host.
    pub fn new(
        name: String,
        tier: usize,
        config: &Tier,
        location: (u8, u16, u32),
        rng: ChaCha8Rng,
    ) -> Self {
        let (zone, cell, host) = location;
        Self {
            name,
            tier,
            zone,
            cell,
            host,
            alive: true,
            draining: false,
            process: 0,
            started: config.cold.then_some(0),
            overloaded: false,
            active_faults: UpstreamFaults::default(),
            rng,
            workers: config.workers,
            busy: 0,
            queue_capacity: config.queue_capacity,
            queue_order: config.queue_order,
            start_capacity: config.start_capacity,
            slow_start_window: config.slow_start_window.0,
            overload_multiple: config.overload_multiple,
            connections: 0,
            max_connections: config.connections.max_open,
            queue: VecDeque::new(),
            recent_arrivals: VecDeque::new(),
        }
    }

    /// Starts a new, cold process.
    pub fn boot(&mut self, now: Time) {
        (self.alive, self.draining, self.started) = (true, false, Some(now));
        self.process += 1;
        self.clear();
    }

    /// Kills the process, with all its requests.
    pub fn kill(&mut self) {
        self.alive = false;
        self.clear();
    }

    /// Forgets the requests and connections of the process.
    fn clear(&mut self) {
        (self.busy, self.connections) = (0, 0);
        self.queue.clear();
        self.recent_arrivals.clear();
    }

    /// Number of requests in the queue or in progress.
    pub fn in_flight(&self) -> u32 {
        self.busy + self.queue.len() as u32
    }

    /// Number of requests that are processed concurrently.
    pub fn workers(&self) -> u32 {
        self.workers
    }

    /// Fraction of the full speed during the cold start; 1 once warm.
    pub fn warm_fraction(&self, now: Time) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let relative_age =
            now.saturating_sub(started) as f64 / self.slow_start_window.max(1) as f64;
        (self.start_capacity + (1.0 - self.start_capacity) * relative_age).min(1.0)
    }

    /// Present capacity, in workers of a healthy warm upstream.
    pub fn speed(&self, now: Time) -> f64 {
        match self.alive
            && !self.active_faults.unresponsive
            && !self.active_faults.full
            && !self.active_faults.stopped
        {
            true => f64::from(self.workers) * self.warm_fraction(now) / self.active_faults.slowdown,
            false => 0.0,
        }
    }

    /// Accepts a request into a worker or into the queue, or rejects it.
    pub fn accept(&mut self, request: u64) -> Admission {
        if self.active_faults.full {
            Admission::Full
        } else if self.busy < self.workers {
            self.busy += 1;
            Admission::Begun
        } else if self.queue.len() < self.queue_capacity as usize {
            self.queue.push_back(request);
            Admission::Queued
        } else {
            Admission::Full
        }
    }

    /// Draws the duration of the work on a request that begins now.
    pub fn service(&mut self, now: Time, service: &Dist) -> Time {
        let work = service.draw(&mut self.rng);
        (work * self.active_faults.slowdown / self.warm_fraction(now)).clamp(1.0, 1e18) as Time
    }

    /// Duration of other work at the present speed.
    pub fn overhead(&self, now: Time, work: Time) -> Time {
        (work as f64 * self.active_faults.slowdown / self.warm_fraction(now)) as Time
    }

    /// Opens a connection; `false` if the upstream accepts no more.
    pub fn connect(&mut self) -> bool {
        let has_capacity = self.max_connections == 0 || self.connections < self.max_connections;
        self.connections += u32::from(has_capacity);
        has_capacity
    }

    /// Closes connections to a process. Connections to an earlier process ended with that process.
    pub fn disconnect(&mut self, process: u32, count: u32) {
        if process == self.process {
            self.connections = self.connections.saturating_sub(count);
        }
    }

    /// Number of open connections to the process.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// Frees a worker, and returns the next queued request that still `waits`, if any.
    pub fn next_request(&mut self, mut waits: impl FnMut(u64) -> bool) -> Option<u64> {
        loop {
            let next = match self.queue_order {
                QueueOrder::Fifo => self.queue.pop_front(),
                QueueOrder::Lifo => self.queue.pop_back(),
            };
            match next {
                Some(request) if waits(request) => return Some(request),
                Some(_) => {}
                None => {
                    self.busy = self.busy.saturating_sub(1);
                    return None;
                }
            }
        }
    }

    /// Draws whether a request of a class is answered with an error.
    pub fn draw_error(&mut self, class: usize) -> bool {
        let shares = self
            .active_faults
            .errors
            .iter()
            .filter(|(_, affected)| affected.is_none_or(|affected| affected == class));
        let share: f64 = shares.map(|(share, _)| share).sum();
        chance(&mut self.rng, share)
    }

    /// Counts a request that arrives during the cold start. Returns the load in the window relative to the
    /// overload threshold if it exceeds 1. `capacity` is the warm upstream's capacity in requests per second.
    pub fn count_cold_arrival(&mut self, now: Time, capacity: f64) -> Option<f64> {
        let started = self.started?;
        if now >= started + self.slow_start_window + OVERLOAD_WINDOW {
            return None;
        }
        while self
            .recent_arrivals
            .front()
            .is_some_and(|&arrived_at| arrived_at + OVERLOAD_WINDOW <= now)
        {
            self.recent_arrivals.pop_front();
        }
        self.recent_arrivals.push_back(now);
        // Capacity over a whole window, even if the process is younger than the window.
        let from = now.saturating_sub(OVERLOAD_WINDOW).max(started);
        let steps = 6;
        let fraction_sum: f64 = (0..steps)
            .map(|step| self.warm_fraction(from + OVERLOAD_WINDOW * (2 * step + 1) / (2 * steps)))
            .sum();
        let window_capacity = capacity * fraction_sum / steps as f64 * OVERLOAD_WINDOW as f64 / 1e9;
        let relative_load =
            self.recent_arrivals.len() as f64 / (self.overload_multiple * window_capacity).max(1.0);
        (relative_load > 1.0).then_some(relative_load)
    }
}
