//! An upstream: workers, a queue, a cold start, and what can be wrong with it. Handed its time and its randomness.

use crate::random::{Dist, chance};
use crate::scenario::{QueueOrder, Tier};
use crate::units::SECOND;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use woadstall_engine::Time;

/// Rule 4 looks at what came within this time.
pub const WINDOW: Time = 3 * SECOND;

/// What is wrong with an upstream at present.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamFaults {
    /// It works so many times slower.
    pub slowdown: f64,
    /// Part of the requests that get errors, and the class if it is but one.
    pub errors: Vec<(f64, Option<usize>)>,
    /// Part of the answers that are lost.
    pub lost: f64,
    /// Part of the connections that break.
    pub resets: f64,
    /// It takes requests and says nothing.
    pub unresponsive: bool,
    /// It turns everything away.
    pub full: bool,
    /// Its process stands still.
    pub stopped: bool,
    /// Delays to and from it are so many times longer.
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

/// An upstream, over all its processes.
#[derive(Debug)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Its tier.
    pub tier: usize,
    /// Its zone.
    pub zone: u8,
    /// Its cell.
    pub cell: u16,
    /// The number of its address.
    pub host: u32,
    /// A process of it is running.
    pub alive: bool,
    /// It is told to the balancers as draining.
    pub draining: bool,
    /// Which of its processes is running, or ran last.
    pub process: u32,
    /// When that started; `None` if it was warm from the start.
    pub started: Option<Time>,
    /// It fell over, and whoever runs it has not seen to that yet.
    pub overloaded: bool,
    /// What is wrong with it.
    pub active_faults: UpstreamFaults,
    /// Its random numbers.
    pub rng: ChaCha8Rng,
    workers: u32,
    busy: u32,
    queue_capacity: u32,
    order: QueueOrder,
    start_capacity: f64,
    slow_start_window: Time,
    overload_multiple: f64,
    /// Connections to its process, and how many it accepts.
    connections: u32,
    most_connections: u32,
    queue: VecDeque<u64>,
    /// When requests came lately, while it was cold.
    came: VecDeque<Time>,
}

/// What becomes of a request that reaches an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is worked on.
    Begun,
    /// It waits.
    Queued,
    /// It is turned away.
    Full,
}

impl Upstream {
    /// An upstream of a tier, warm or cold.
    pub fn new(
        name: String,
        tier: usize,
        like: &Tier,
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
            started: like.cold.then_some(0),
            overloaded: false,
            active_faults: UpstreamFaults::default(),
            rng,
            workers: like.workers,
            busy: 0,
            queue_capacity: like.queue_capacity,
            order: like.queue_order,
            start_capacity: like.start_capacity,
            slow_start_window: like.slow_start_window.0,
            overload_multiple: like.overload_multiple,
            connections: 0,
            most_connections: like.connections.max_open,
            queue: VecDeque::new(),
            came: VecDeque::new(),
        }
    }

    /// A new process, cold.
    pub fn boot(&mut self, now: Time) {
        (self.alive, self.draining, self.started) = (true, false, Some(now));
        self.process += 1;
        self.clear();
    }

    /// Its process dies, with all that it was at.
    pub fn kill(&mut self) {
        self.alive = false;
        self.clear();
    }

    fn clear(&mut self) {
        (self.busy, self.connections) = (0, 0);
        self.queue.clear();
        self.came.clear();
    }

    /// Requests that it holds.
    pub fn in_flight(&self) -> u32 {
        self.busy + self.queue.len() as u32
    }

    /// Requests that it works on at a time.
    pub fn workers(&self) -> u32 {
        self.workers
    }

    /// Part of its speed that it has while cold.
    pub fn warmth(&self, now: Time) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let age = now.saturating_sub(started) as f64 / self.slow_start_window.max(1) as f64;
        (self.start_capacity + (1.0 - self.start_capacity) * age).min(1.0)
    }

    /// What it can do at present, in workers of a sound warm one.
    pub fn speed(&self, now: Time) -> f64 {
        match self.alive
            && !self.active_faults.unresponsive
            && !self.active_faults.full
            && !self.active_faults.stopped
        {
            true => f64::from(self.workers) * self.warmth(now) / self.active_faults.slowdown,
            false => 0.0,
        }
    }

    /// A request has come. Room in the queue is that of requests that still wait.
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

    /// How long it takes for a request that it begins now.
    pub fn service(&mut self, now: Time, service: &Dist) -> Time {
        let work = service.draw(&mut self.rng);
        (work * self.active_faults.slowdown / self.warmth(now)).clamp(1.0, 1e18) as Time
    }

    /// How long other work takes it, slow and cold as it is.
    pub fn overhead(&self, now: Time, work: Time) -> Time {
        (work as f64 * self.active_faults.slowdown / self.warmth(now)) as Time
    }

    /// One more connection; `false` if it has no place for it.
    pub fn connect(&mut self) -> bool {
        let has_capacity = self.most_connections == 0 || self.connections < self.most_connections;
        self.connections += u32::from(has_capacity);
        has_capacity
    }

    /// Connections to one of its processes are closed: what went to an earlier one went with that.
    pub fn disconnect(&mut self, process: u32, count: u32) {
        if process == self.process {
            self.connections = self.connections.saturating_sub(count);
        }
    }

    /// Connections to its process.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// A worker is free: the next request that still waits, if there is one.
    pub fn next_request(&mut self, mut waits: impl FnMut(u64) -> bool) -> Option<u64> {
        loop {
            let next = match self.order {
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

    /// Whether this request is to get an error.
    pub fn draw_error(&mut self, class: usize) -> bool {
        let share = self
            .active_faults
            .errors
            .iter()
            .filter(|(_, only)| only.is_none_or(|only| only == class));
        let share: f64 = share.map(|(share, _)| share).sum();
        chance(&mut self.rng, share)
    }

    /// Counts a request that came while it was cold. Tells the part of what pushes it over that came within the
    /// window, if that is over 1; `capacity` is the requests a second that it can do when warm.
    pub fn count_warming_up(&mut self, now: Time, capacity: f64) -> Option<f64> {
        let started = self.started?;
        if now >= started + self.slow_start_window + WINDOW {
            return None;
        }
        while self.came.front().is_some_and(|&at| at + WINDOW <= now) {
            self.came.pop_front();
        }
        self.came.push_back(now);
        // What it can do in a whole window, also where its process is younger than that.
        let from = now.saturating_sub(WINDOW).max(started);
        let warm = |at: Time| self.warmth(at);
        let steps = 6;
        let sum: f64 = (0..steps)
            .map(|step| warm(from + WINDOW * (2 * step + 1) / (2 * steps)))
            .sum();
        let can = capacity * sum / steps as f64 * WINDOW as f64 / 1e9;
        let part = self.came.len() as f64 / (self.overload_multiple * can).max(1.0);
        (part > 1.0).then_some(part)
    }
}
