//! A watch on the list of endpoints, which is opened anew whenever it ends.

use crate::connection::Connection;
use crate::failures::{FailedCall, FailureStreak};
use crate::timing::{Call, IDLE_BACKOFF, backoff, poll_wait};
use crate::{CallError, EndpointList};
use fastrand::Rng;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::sleep;

#[cfg(test)]
mod tests;

/// What a watch reports.
#[derive(Debug)]
pub enum WatchEvent {
    /// Discovery has responded with a list.
    List(EndpointList),
    /// The watch that was subscribed to has failed. Reported only where discovery is watched on demand.
    SubscriptionFailed,
    /// A call has failed.
    CallFailed(FailedCall),
    /// Discovery responds again.
    Recovered {
        /// How many calls in a row had failed.
        failures: u32,
    },
}

/// What to watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchConfig {
    /// The revision of the list that is known already; `None` asks for the complete list first.
    pub known_revision: Option<u64>,
    /// One service responds to all balancers, and is watched only while there is a subscription. Otherwise an agent on
    /// the own machine is watched all the time.
    pub on_demand: bool,
    /// Seed of the draws that spread the calls of balancers.
    pub seed: u64,
}

/// Reports all that happens to `on_event`, until that returns `false`.
///
/// Each message of `subscriptions` asks for a watch where one is opened on demand. Another address ends the watch on the
/// one before, and its complete list is asked for at once: revisions of two services cannot be compared.
pub async fn watch_endpoints(
    config: WatchConfig,
    mut on_event: impl FnMut(WatchEvent) -> bool,
    mut subscriptions: UnboundedReceiver<()>,
    mut addresses: watch::Receiver<SocketAddr>,
) {
    let mut random = Rng::with_seed(config.seed);
    let mut known_revision = config.known_revision;
    loop {
        let address = *addresses.borrow_and_update();
        let watcher = Watcher {
            source: Connection::new(address),
            on_demand: config.on_demand,
            revision: known_revision.unwrap_or(0),
            needs_complete_list: known_revision.is_none(),
            streak: FailureStreak::default(),
            reopened: false,
            random: &mut random,
            on_event: &mut on_event,
            subscriptions: &mut subscriptions,
        };
        tokio::select! {
            biased;
            changed = addresses.changed() => if changed.is_err() { return },
            () = watcher.run() => return,
        }
        known_revision = None;
    }
}

/// Where lists come from.
trait ListSource {
    /// Makes a call.
    async fn call(&mut self, call: &Call) -> Result<EndpointList, CallError>;

    /// Drops what the last call has left open.
    fn close(&mut self);
}

impl ListSource for Connection {
    async fn call(&mut self, call: &Call) -> Result<EndpointList, CallError> {
        Connection::call(self, call).await
    }

    fn close(&mut self) {
        Connection::close(self);
    }
}

/// A watch on one discovery service.
struct Watcher<'a, S, F> {
    source: S,
    on_demand: bool,
    /// The latest revision that is known.
    revision: u64,
    /// The next call asks for the complete list.
    needs_complete_list: bool,
    /// Failed calls in a row.
    streak: FailureStreak,
    /// An unresponsive poll was opened anew at once, and no call has succeeded since.
    reopened: bool,
    random: &'a mut Rng,
    on_event: &'a mut F,
    subscriptions: &'a mut UnboundedReceiver<()>,
}

impl<S: ListSource, F: FnMut(WatchEvent) -> bool> Watcher<'_, S, F> {
    /// Watches until nobody listens any more.
    async fn run(mut self) {
        if self.on_demand && !self.needs_complete_list && self.subscriptions.recv().await.is_none()
        {
            return;
        }
        loop {
            let wait = poll_wait(self.on_demand, self.random);
            let call = match self.needs_complete_list {
                true => Call::complete_list(),
                false => Call::long_poll(self.revision, wait),
            };
            let flow = match self.source.call(&call).await {
                Ok(list) => self.on_list(list).await,
                Err(error) => self.on_failure(error).await,
            };
            if flow.is_break() {
                return;
            }
        }
    }

    async fn on_list(&mut self, list: EndpointList) -> ControlFlow<()> {
        if list.revision < self.revision && !list.is_complete {
            // A revision that goes back means another service: only its complete list shows what it has.
            self.needs_complete_list = true;
            sleep(IDLE_BACKOFF).await;
            return ControlFlow::Continue(());
        }
        if let Some(failures) = self.streak.end() {
            (self.on_event)(WatchEvent::Recovered { failures });
        }
        let is_unchanged = list.revision == self.revision;
        self.revision = list.revision;
        self.needs_complete_list = false;
        self.reopened = false;
        if !(self.on_event)(WatchEvent::List(list)) {
            return ControlFlow::Break(());
        }
        if is_unchanged {
            sleep(IDLE_BACKOFF).await;
        }
        ControlFlow::Continue(())
    }

    async fn on_failure(&mut self, error: CallError) -> ControlFlow<()> {
        self.source.close();
        let timed_out = matches!(error, CallError::TimedOut);
        let failed = self.streak.add(error);
        let failures = failed.failures;
        (self.on_event)(WatchEvent::CallFailed(failed));
        if !self.on_demand {
            sleep(backoff(failures)).await;
            return ControlFlow::Continue(());
        }
        // An unresponsive poll is opened anew at once: what it missed may count as notified already.
        if timed_out && !self.needs_complete_list && !std::mem::replace(&mut self.reopened, true) {
            return ControlFlow::Continue(());
        }
        self.await_subscription().await
    }

    /// Reports that the subscription has failed, and waits for the next one.
    async fn await_subscription(&mut self) -> ControlFlow<()> {
        // Those from before this failure.
        while self.subscriptions.try_recv().is_ok() {}
        let is_heard = (self.on_event)(WatchEvent::SubscriptionFailed);
        if !is_heard || self.subscriptions.recv().await.is_none() {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }
}
