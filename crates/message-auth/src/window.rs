//! What was had before: for each life of a sender the highest number, and which of the ones just below it came.

use std::collections::{BTreeMap, VecDeque};

/// Numbers below the highest that may still come, out of their order.
const WIDTH: u64 = 64;
/// Lives that are remembered. One that was forgotten begins anew: its old messages would be believed once more, so
/// there is place for many times the members of a fleet.
const LIVES: usize = 16_384;

#[derive(Clone, Debug, Default)]
pub(crate) struct Windows {
    lives: BTreeMap<u64, (u64, u64)>,
    order: VecDeque<u64>,
}

impl Windows {
    /// Whether this number of a life comes for the first time; it does not from then on.
    pub fn is_new(&mut self, life: u64, number: u64) -> bool {
        let Some((highest, came)) = self.lives.get_mut(&life) else {
            if self.lives.len() == LIVES
                && let Some(oldest) = self.order.pop_front()
            {
                self.lives.remove(&oldest);
            }
            self.order.push_back(life);
            self.lives.insert(life, (number, 1));
            return true;
        };
        if number > *highest {
            let by = number - *highest;
            *came = if by < WIDTH { *came << by | 1 } else { 1 };
            *highest = number;
            return true;
        }
        let below = *highest - number;
        if below >= WIDTH || *came >> below & 1 == 1 {
            return false;
        }
        *came |= 1 << below;
        true
    }
}
