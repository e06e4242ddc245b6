//! Coordinated evacuation of failure domains. Passes observations, messages and verdicts between the load balancer, the
//! membership and the evacuation coordinator.

use super::config::Config;
use super::domain_orders::{DomainOrder, kind_name};
use super::log::log;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{MissedTickBehavior, interval};
use woadstall_decisions::api::HealthVerdict;
use woadstall_engine::{AttemptInFlight, AttemptRecord};
use woadstall_evacuation::{
    Coordinator, CoordinatorSettings, ListedServer, Order, Status, SubmitError, Topology,
};
use woadstall_health_reports::{AttemptId, CompletedAttempt, PendingAttempt};
use woadstall_inbound::lock;
use woadstall_membership_net::Membership;
use woadstall_operator_config::EvacuationConfig;
use woadstall_runtime::{LoadBalancer, Observations, Upstream};
use woadstall_transport::Http1;

/// A handle to this load balancer's evacuation coordinator. Clones share the coordinator.
#[derive(Clone)]
pub struct EvacuationTask {
    coordinator: Arc<Mutex<Coordinator>>,
    membership: Membership,
}

/// The error of an operator's order that was not accepted.
#[derive(Debug, thiserror::Error)]
pub(super) enum OrderRejection {
    /// The failure domain is unknown.
    #[error("no {kind} {name}")]
    UnknownDomain { kind: &'static str, name: String },
    /// The coordinator rejected the order, because a later order is in effect or there are too many orders.
    #[error("a later word holds, or there are too many")]
    Rejected(#[source] SubmitError),
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl EvacuationTask {
    /// Starts the coordinator and the task that applies the fleet's verdicts to the load balancer.
    pub fn start(
        section: &EvacuationConfig,
        config: &Config,
        membership: Membership,
        load_balancer: LoadBalancer<Http1>,
    ) -> Self {
        let with_region = |name: &String| (name.clone(), section.regions.get(name).cloned());
        let zones: Vec<(String, Option<String>)> =
            config.names.zones.iter().map(with_region).collect();
        let tier = config.settings.tier.to_string();
        let settings = CoordinatorSettings {
            topology: Topology::new(&tier, &zones, &config.names.classes),
            zone: usize::from(config.settings.zone.0),
        };
        let coordinator = Arc::new(Mutex::new(Coordinator::new(settings)));
        let task = Self {
            coordinator,
            membership,
        };
        load_balancer.record_attempts();
        let evaluation_interval = Duration::from_millis(section.evaluation_interval_ms);
        tokio::spawn(task.clone().run(load_balancer, evaluation_interval));
        task
    }

    async fn run(self, load_balancer: LoadBalancer<Http1>, evaluation_interval: Duration) {
        let mut ticks = interval(evaluation_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // No list has this change count, so the first observations include the list.
        let mut known_change_count = u64::MAX;
        loop {
            ticks.tick().await;
            self.evaluate(&load_balancer, &mut known_change_count);
        }
    }

    /// Passes the load balancer's observations to the coordinator, and the resulting verdicts to the load balancer.
    fn evaluate(&self, load_balancer: &LoadBalancer<Http1>, known_change_count: &mut u64) {
        let observations = load_balancer.observations(*known_change_count);
        let mut coordinator = lock(&self.coordinator);
        if let Some((change_count, _)) = observations.listed {
            *known_change_count = change_count;
        }
        self.record(&mut coordinator, &observations);
        let (now, output) = self
            .membership
            .with_node_mut(|node, now| (now, coordinator.step(now, unix_ms(), node)));
        drop(coordinator);
        for line in output.lines {
            log(format_args!("places: {line}"));
        }
        if output.verdicts.is_empty() {
            return;
        }
        // The member's clock starts at zero with the member, while the decision module's clock is Unix time.
        load_balancer.apply_verdicts(|module_now| {
            let on_module_clock = |verdict: &HealthVerdict| HealthVerdict {
                until: module_now + verdict.until.saturating_sub(now),
                ..*verdict
            };
            output.verdicts.iter().map(on_module_clock).collect()
        });
    }

    /// Passes the load balancer's observations to the coordinator.
    fn record(&self, coordinator: &mut Coordinator, observations: &Observations) {
        if let Some((_, upstreams)) = &observations.listed {
            coordinator.set_servers(upstreams.iter().map(listed_server));
        }
        let now = self.membership.with_node(|_, now| now);
        for record in &observations.ended {
            coordinator.record_completed(now, &completed_attempt(record));
        }
        coordinator.record_pending(now, observations.in_flight.iter().map(pending_attempt));
    }

    /// Returns the status of all failure domains for operators.
    pub fn status(&self) -> Status {
        let now = self.membership.with_node(|_, now| now);
        lock(&self.coordinator).status(now, unix_ms())
    }

    /// Submits an operator's order, which the coordinator distributes to all load balancers. The order expires after
    /// its duration.
    pub(super) fn submit(&self, order: &DomainOrder<'_>) -> Result<(), OrderRejection> {
        let mut coordinator = lock(&self.coordinator);
        let subject = coordinator.order_subject(order.kind, order.name);
        let subject = subject.ok_or_else(|| OrderRejection::UnknownDomain {
            kind: kind_name(order.kind),
            name: order.name.to_owned(),
        })?;
        let issued_ms = unix_ms();
        let duration_ms = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX);
        let order = Order {
            subject,
            action: order.action,
            issued_ms,
            until_ms: issued_ms.saturating_add(duration_ms),
            id: fastrand::u32(..),
        };
        coordinator
            .submit_order(issued_ms, order)
            .map_err(OrderRejection::Rejected)
    }
}

fn listed_server(upstream: &Upstream) -> ListedServer<'_> {
    ListedServer {
        server: upstream.server,
        name: &upstream.name,
        boot_ms: upstream.boot_ms,
        zone: usize::from(upstream.zone.0),
        size: upstream.size.map(f64::from),
    }
}

fn completed_attempt(record: &AttemptRecord) -> CompletedAttempt {
    CompletedAttempt {
        id: AttemptId {
            request: record.id.0,
            attempt: record.attempt,
        },
        server: record.server,
        class: record.class,
        outcome: record.outcome,
        duration_ns: record.elapsed,
    }
}

fn pending_attempt(attempt: &AttemptInFlight) -> PendingAttempt {
    PendingAttempt {
        id: AttemptId {
            request: attempt.id.0,
            attempt: attempt.attempt,
        },
        server: attempt.server,
        class: attempt.class,
        age_ns: attempt.age,
    }
}
