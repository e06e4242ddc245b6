//! How much of its time a member spends on what comes in, so that a flood costs no more than that.

use std::time::Duration;

/// One in so many.
const PART: u64 = 20;
/// What may be spent at once after a quiet time: whole states of a large fleet come in bursts.
const MOST: u64 = 50_000_000;

/// Time that may be spent, in nanoseconds of a clock that does not go back.
#[derive(Clone, Debug)]
pub struct Budget {
    left: i64,
    at: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            left: MOST as i64,
            at: 0,
        }
    }
}

impl Budget {
    /// How long to wait until something may be spent again; nothing where it may be now.
    pub fn wait(&mut self, now: u64) -> Option<Duration> {
        let gained = now.saturating_sub(self.at) / PART;
        // What is not whole yet is gained with the next look.
        self.at += gained * PART;
        self.left = self.left.saturating_add(gained as i64).min(MOST as i64);
        (self.left < 0).then(|| Duration::from_nanos(self.left.unsigned_abs() * PART))
    }

    /// So much was spent. It may be more than there was; then it is paid off first.
    pub fn spend(&mut self, time: Duration) {
        self.left = self
            .left
            .saturating_sub(time.as_nanos().min(MOST.into()) as i64);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// However long each piece takes and whenever it comes: no more than the part, beyond what was saved.
        #[test]
        fn no_more_is_spent_than_there_is(pieces in prop::collection::vec((0_u64..2_000_000, 0_u64..3_000_000), 1..400)) {
            let (mut budget, mut now, mut spent, mut longest) = (Budget::default(), 0_u64, 0_u64, 0);
            for (gap, takes) in pieces {
                now += gap;
                if budget.wait(now).is_some() {
                    continue;
                }
                now += takes;
                spent += takes;
                longest = longest.max(takes);
                budget.spend(Duration::from_nanos(takes));
                prop_assert!(spent <= now / PART + MOST + longest, "{spent} of {now}");
            }
            if let Some(wait) = budget.wait(now) {
                prop_assert!(budget.wait(now + wait.as_nanos() as u64 + PART).is_none());
            }
        }
    }
}
