//! The task that runs the engine's timers.

use crate::Transport;
use crate::shared::{Shared, TIMER_STEP};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use woadstall_engine::{Input, Time};

/// How often idle connections are swept.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the timers until the load balancer is gone.
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
        let next = fire_timers(&shared, sweep_at);
        tokio::select! {
            () = sleep_until(next) => {}
            () = shared.earlier_timer.notified() => {}
        }
    }
}

/// Fires the timers that are due, and returns when the next ones are, or the next sweep is.
fn fire_timers<T: Transport>(shared: &Arc<Shared<T>>, sweep_at: Instant) -> Instant {
    let mut state = shared.lock();
    // Nothing asks for an earlier wake-up while timers fire.
    state.planned_wake_up = 0;
    shared.handle(&mut state, Input::Tick);
    let sweep = shared.clock.time(sweep_at);
    let next_step = shared.clock.now() + TIMER_STEP.as_nanos() as Time;
    let due = state.engine.wake_at().map_or(sweep, |at| at.min(sweep));
    // While calls come, the next one finds a step planned that is early enough for its timer.
    let had_calls = std::mem::take(&mut state.had_calls);
    state.planned_wake_up = if had_calls {
        next_step
    } else {
        due.max(next_step)
    };
    shared.clock.instant(state.planned_wake_up)
}
