//! State that the clients, the upstreams and the fault injector of a soak run share.

use super::history::{Arrival, History, Shutdown};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The shared state of a soak run.
#[derive(Debug)]
pub struct Run {
    began: Instant,
    /// Addresses of the fronts.
    pub fronts: Vec<SocketAddr>,
    is_over: AtomicBool,
    /// The shutdowns and arrivals so far.
    history: Mutex<History>,
    ended: Condvar,
}

impl Run {
    /// Creates the state of a run.
    pub fn new(fronts: Vec<SocketAddr>) -> Self {
        Self {
            began: Instant::now(),
            fronts,
            is_over: AtomicBool::new(false),
            history: Mutex::default(),
            ended: Condvar::new(),
        }
    }

    /// Returns the time since the run began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history
            .lock()
            .expect("no thread panics while it holds the mutex")
    }

    /// Records a request that an upstream has received.
    pub fn record_arrival(&self, request_id: &str, arrival: Arrival) {
        let mut history = self.history();
        let arrivals = history.arrivals.entry(request_id.to_owned()).or_default();
        arrivals.push(arrival);
    }

    /// Records SIGTERM for a front.
    pub fn record_shutdown(&self, front: u8) {
        let began = self.now();
        self.history().shutdowns.push(Shutdown { front, began });
    }

    /// Removes and returns the recorded shutdowns and arrivals.
    pub fn take_history(&self) -> History {
        std::mem::take(&mut *self.history())
    }

    /// Asks the clients to end.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.ended.notify_all();
    }

    /// Returns whether the clients must end.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Waits for a time, or until the run is over.
    pub fn pause(&self, time: Duration) {
        let until = Instant::now() + time;
        let mut guard = self.history();
        while !self.is_over() && Instant::now() < until {
            let remaining = until.saturating_duration_since(Instant::now());
            let waited = self.ended.wait_timeout(guard, remaining);
            guard = waited.expect("no thread panics while it holds the mutex").0;
        }
    }
}
