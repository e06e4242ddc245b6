//! A watch on the list of endpoints, which is opened anew whenever it ends.

use crate::connection::Connection;
use crate::timing::{Call, IDLE_BACKOFF, backoff, poll_wait};
use crate::{CallError, EndpointList};
use fastrand::Rng;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::sleep;

/// What a watch reports.
#[derive(Debug)]
pub enum WatchEvent {
    /// Discovery has responded with a list.
    List(EndpointList),
    /// The watch that was subscribed to has failed. Reported only where discovery is watched on demand.
    SubscriptionFailed,
    /// The first of one or more failed calls in a row.
    FirstFailure(CallError),
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
            connection: Connection::new(address),
            on_demand: config.on_demand,
            revision: known_revision.unwrap_or(0),
            needs_complete_list: known_revision.is_none(),
            failures: 0,
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

/// A watch on one discovery service.
struct Watcher<'a, F> {
    connection: Connection,
    on_demand: bool,
    /// The latest revision that is known.
    revision: u64,
    /// The next call asks for the complete list.
    needs_complete_list: bool,
    /// Failed calls in a row.
    failures: u32,
    /// An unresponsive poll was opened anew at once, and no call has succeeded since.
    reopened: bool,
    random: &'a mut Rng,
    on_event: &'a mut F,
    subscriptions: &'a mut UnboundedReceiver<()>,
}

impl<F: FnMut(WatchEvent) -> bool> Watcher<'_, F> {
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
            let flow = match self.connection.call(&call).await {
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
        if self.failures > 0 {
            (self.on_event)(WatchEvent::Recovered {
                failures: self.failures,
            });
        }
        let is_unchanged = list.revision == self.revision;
        self.revision = list.revision;
        self.needs_complete_list = false;
        self.failures = 0;
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
        self.connection.close();
        let timed_out = matches!(error, CallError::TimedOut);
        if self.failures == 0 {
            (self.on_event)(WatchEvent::FirstFailure(error));
        }
        self.failures = self.failures.saturating_add(1);
        if !self.on_demand {
            sleep(backoff(self.failures)).await;
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
