//! Model of a discovery service that balancers query: a single server for all balancers, which handles reads in
//! order and rejects reads that would wait too long. The caller passes the time.

use woadstall_engine::Time;

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// The read is answered at this time.
    Answered(Time),
    /// The read fails at this time, with status 503 or without an answer.
    Failed(Time),
}

/// Discovery service with a queue of reads.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// Service time of a read.
    service_time: Time,
    /// A read fails after this time if its answer would come later.
    timeout: Time,
    /// Time at which all reads that are queued now are answered.
    free_at: Time,
    down: bool,
}

impl Discovery {
    /// Creates a service that answers `reads_per_second`.
    pub fn new(reads_per_second: f64, timeout: Time) -> Self {
        Self {
            service_time: (1e9 / reads_per_second.max(1e-6)) as Time,
            timeout,
            free_at: 0,
            down: false,
        }
    }

    /// Takes the service down or up again. Reads that are queued already are answered all the same.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// Queues a read.
    pub fn read(&mut self, now: Time) -> Read {
        let answered_at = self.free_at.max(now) + self.service_time;
        if self.down || answered_at > now + self.timeout {
            return Read::Failed(now + self.timeout);
        }
        self.free_at = answered_at;
        Read::Answered(answered_at)
    }
}

#[cfg(test)]
mod tests;
