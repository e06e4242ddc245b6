//! Subscription to changes of the server list, with backoff after failures.

use crate::api::{Action, Duration};
use crate::balancer::Balancer;
use crate::log::LogEvent;
use crate::tuning::{SUBSCRIBE_BACKOFF, SUBSCRIBE_SPACING, SUBSCRIBE_TOKEN};

impl Balancer {
    /// Subscribes after the first server list, with a random delay so that the balancers do not all
    /// subscribe at once.
    pub(crate) fn subscribe_first_time(&mut self) {
        let is_first = self.subscription_failures.replace(0).is_none();
        if is_first && self.settings.subscribes_to_discovery {
            let max_delay = SUBSCRIBE_SPACING * Duration::from(self.settings.balancers);
            self.subscribe_within(max_delay.min(self.settings.subscribe_within / 2));
        }
    }

    /// Subscribes again after a backoff, and logs the failure.
    pub(crate) fn on_subscription_failed(&mut self) {
        let failures = self.subscription_failures.unwrap_or(0) + 1;
        self.subscription_failures = Some(failures);
        self.subscribe_within(SUBSCRIBE_BACKOFF.delay(failures));
        self.log(LogEvent::SubscriptionFailed { failures });
    }

    /// Sets the timer that subscribes, after a random delay of at most `max_delay`.
    fn subscribe_within(&mut self, max_delay: Duration) {
        let after = self.rng.u64(..=max_delay);
        self.actions.push(Action::SetTimer {
            after,
            token: SUBSCRIBE_TOKEN,
        });
    }
}
