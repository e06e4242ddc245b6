//! Watches the endpoint list by repeated long polls.

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

/// An event reported by the watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// Discovery has responded with a list.
    List(EndpointList),
    /// The subscribed watch has failed. Reported only if discovery is watched on demand.
    SubscriptionFailed,
    /// A call to discovery has failed.
    CallFailed(FailedCall),
    /// Discovery responds again after one or more failed calls.
    Recovered {
        /// Number of consecutive failed calls before the response.
        failures: u32,
    },
}

/// The configuration of a watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchConfig {
    /// Revision of the known list; with `None`, the complete list is requested first.
    pub known_revision: Option<u64>,
    /// Whether discovery is a central service for all load balancers, watched only while a subscription exists.
    /// Otherwise, an agent on the local machine is watched continuously.
    pub on_demand: bool,
    /// Seed of the random waits that keep load balancers from polling in step.
    pub seed: u64,
}

/// Watches discovery and reports each event to `on_event`, until `on_event` returns `false` for a list or a failed
/// subscription, or until one of the channels closes.
///
/// If discovery is watched on demand, each message of `subscriptions` requests a watch. A new address ends the watch on
/// the previous address, and the complete list is requested from the new one at once, because revisions of different
/// services cannot be compared.
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
            has_repeated_poll: false,
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

/// A source of endpoint lists.
trait ListSource {
    /// Makes a call and returns the received list.
    async fn call(&mut self, call: &Call) -> Result<EndpointList, CallError>;

    /// Closes the connection of the last call.
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
    /// Revision of the known list.
    revision: u64,
    /// Whether the next call requests the complete list.
    needs_complete_list: bool,
    /// Consecutive failed calls.
    streak: FailureStreak,
    /// Whether an unresponsive poll has been repeated without a pause and no call has succeeded since.
    has_repeated_poll: bool,
    random: &'a mut Rng,
    on_event: &'a mut F,
    subscriptions: &'a mut UnboundedReceiver<()>,
}

impl<S: ListSource, F: FnMut(WatchEvent) -> bool> Watcher<'_, S, F> {
    /// Watches until `on_event` returns `false` for a list or a failed subscription, or until the channel of
    /// subscriptions closes.
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

    /// Reports a received list, unless its revision shows that a different service responds.
    async fn on_list(&mut self, list: EndpointList) -> ControlFlow<()> {
        if list.revision < self.revision && !list.is_complete {
            // A lower revision means that a different service responds; its state is known only from its complete list.
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
        self.has_repeated_poll = false;
        if !(self.on_event)(WatchEvent::List(list)) {
            return ControlFlow::Break(());
        }
        if is_unchanged {
            sleep(IDLE_BACKOFF).await;
        }
        ControlFlow::Continue(())
    }

    /// Reports a failed call, and waits until the next call may be made.
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
        // An unresponsive poll is repeated at once: the platform may already consider the missed changes delivered.
        if timed_out
            && !self.needs_complete_list
            && !std::mem::replace(&mut self.has_repeated_poll, true)
        {
            return ControlFlow::Continue(());
        }
        self.await_subscription().await
    }

    /// Reports the failed subscription and waits for the next one.
    async fn await_subscription(&mut self) -> ControlFlow<()> {
        // Discards subscriptions requested before this failure.
        while self.subscriptions.try_recv().is_ok() {}
        let has_listener = (self.on_event)(WatchEvent::SubscriptionFailed);
        if !has_listener || self.subscriptions.recv().await.is_none() {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }
}
