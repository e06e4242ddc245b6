//! The task that runs the engine's timers.

use crate::Transport;
use crate::shared::{Shared, TIMER_STEP};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use woadstall_engine::{Input, Time};

/// Interval between sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the timers until the load balancer is dropped.
pub(crate) async fn run_timers<T: Transport>(shared: Weak<Shared<T>>) {
    let mut sweep_at = Instant::now() + SWEEP_INTERVAL;
    loop {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = Instant::now();
        if now >= sweep_at {
            shared.transport.sweep();
            sweep_at = now + SWEEP_INTERVAL;
        }
        let next_wake_up = fire_timers(&shared, sweep_at);
        tokio::select! {
            () = sleep_until(next_wake_up) => {}
            () = shared.earlier_timer.notified() => {}
        }
    }
}

/// Fires all due timers. Returns the instant of the next wake-up, for a timer or for the sweep at `sweep_at`.
fn fire_timers<T: Transport>(shared: &Arc<Shared<T>>, sweep_at: Instant) -> Instant {
    let mut state = shared.lock();
    // A planned wake-up of 0 keeps `plan_wake_up` from notifying this task while timers fire.
    state.planned_wake_up = 0;
    shared.handle(&mut state, Input::Tick);
    let sweep = shared.clock.time(sweep_at);
    let next_step = shared.clock.now() + TIMER_STEP.as_nanos() as Time;
    let due = state
        .engine
        .wake_at()
        .map_or(sweep, |timer| timer.min(sweep));
    // While calls arrive, a wake-up is planned at every step, so that the timer of the next call needs no earlier one.
    let had_calls = std::mem::take(&mut state.had_calls);
    state.planned_wake_up = if had_calls {
        next_step
    } else {
        due.max(next_step)
    };
    shared.clock.instant(state.planned_wake_up)
}
