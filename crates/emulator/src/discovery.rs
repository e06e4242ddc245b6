//! Discovery that is asked: one service for all balancers, which works through reads in turn and turns away what
//! would wait too long. Handed its time.

use woadstall_engine::Time;

/// What becomes of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// It is answered then.
    Answered(Time),
    /// It is answered 503, or not at all, then.
    Failed(Time),
}

/// See the module's documentation.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// How long it works on a read.
    work: Time,
    /// A read that would wait for longer fails after this time.
    timeout: Time,
    free_at: Time,
    down: bool,
}

impl Discovery {
    /// One that can answer so many reads a second.
    pub fn new(reads_per_second: f64, timeout: Time) -> Self {
        Self {
            work: (1e9 / reads_per_second.max(1e-6)) as Time,
            timeout,
            free_at: 0,
            down: false,
        }
    }

    /// It is down, or up again. What waits in it is answered all the same.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// A read comes.
    pub fn read(&mut self, now: Time) -> Read {
        let done = self.free_at.max(now) + self.work;
        if self.down || done > now + self.timeout {
            return Read::Failed(now + self.timeout);
        }
        self.free_at = done;
        Read::Answered(done)
    }
}

#[cfg(test)]
mod tests;
