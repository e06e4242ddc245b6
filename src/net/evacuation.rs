//! Leaving places as a fleet, as the operators' file has it: between the balance, the member and the coordinator. Absent
//! there, nothing of it is started.

use super::config::Config;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{MissedTickBehavior, interval};
use woadstall_decisions::api::HealthVerdict;
use woadstall_evacuation::{
    Coordinator, CoordinatorSettings, ListedServer, Order, OrderAction, Status, Topology,
};
use woadstall_health_reports::{AttemptId, CompletedAttempt, PendingAttempt, SubjectKind};
use woadstall_membership_net::Membership;
use woadstall_operator_config::EvacuationConfig;
use woadstall_runtime::LoadBalancer;
use woadstall_transport::Http1;

/// A word for which no time is given ends after this.
pub const USUAL: Duration = Duration::from_secs(600);

/// The coordinator of this balancer. Clones share it.
#[derive(Clone)]
pub struct Evacuating {
    coordinator: Arc<Mutex<Coordinator>>,
    instances: Membership,
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Evacuating {
    /// Starts it: from now on the balance is told what the fleet finds.
    pub fn start(
        file: &EvacuationConfig,
        config: &Config,
        instances: Membership,
        balance: LoadBalancer<Http1>,
    ) -> Self {
        let zone = |name: &String| (name.clone(), file.regions.get(name).cloned());
        let zones: Vec<(String, Option<String>)> = config.names.zones.iter().map(zone).collect();
        let tier = config.settings.tier.to_string();
        let settings = CoordinatorSettings {
            topology: Topology::new(&tier, &zones, &config.names.classes),
            zone: usize::from(config.settings.zone.0),
        };
        let coordinator = Arc::new(Mutex::new(Coordinator::new(settings)));
        let evacuating = Self {
            coordinator,
            instances,
        };
        balance.observe();
        tokio::spawn(
            evacuating
                .clone()
                .run(balance, Duration::from_millis(file.evaluation_interval_ms)),
        );
        evacuating
    }

    fn coordinator(&self) -> MutexGuard<'_, Coordinator> {
        self.coordinator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self, balance: LoadBalancer<Http1>, every: Duration) {
        let (mut turns, mut seen) = (interval(every), u64::MAX);
        turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            turns.tick().await;
            self.turn(&balance, &mut seen);
        }
    }

    fn turn(&self, balance: &LoadBalancer<Http1>, seen: &mut u64) {
        let observations = balance.observations(*seen);
        let mut coordinator = self.coordinator();
        if let Some((changes, listed)) = observations.listed {
            *seen = changes;
            coordinator.set_servers(listed.iter().map(|of| ListedServer {
                server: of.server,
                name: &of.name,
                boot_ms: of.boot_ms,
                zone: usize::from(of.zone.0),
                size: of.size.map(f64::from),
            }));
        }
        let now = self.instances.with_node(|_, now| now);
        for seen in observations.ended {
            let id = AttemptId {
                request: seen.id.0,
                attempt: seen.attempt,
            };
            let saw = CompletedAttempt {
                id,
                server: seen.server,
                class: seen.class,
                outcome: seen.outcome,
                took: seen.took,
            };
            coordinator.record_completed(now, &saw);
        }
        let out = observations.in_flight.into_iter();
        coordinator.record_pending(
            now,
            out.map(|out| PendingAttempt {
                id: AttemptId {
                    request: out.id.0,
                    attempt: out.attempt,
                },
                server: out.server,
                class: out.class,
                age: out.age,
            }),
        );
        let (now, turn) = self
            .instances
            .with_node_mut(|node, now| (now, coordinator.step(now, now_ms(), node)));
        drop(coordinator);
        for line in turn.lines {
            super::log(format_args!("places: {line}"));
        }
        if !turn.verdicts.is_empty() {
            // The member's clock began with it; the module's is Unix time.
            balance.apply_verdicts(|module| {
                let until = |verdict: &HealthVerdict| module + verdict.until.saturating_sub(now);
                turn.verdicts
                    .iter()
                    .map(|verdict| HealthVerdict {
                        until: until(verdict),
                        ..*verdict
                    })
                    .collect()
            });
        }
    }

    /// What operators read.
    pub fn status(&self) -> Status {
        let now = self.instances.with_node(|_, now| now);
        self.coordinator().status(now, now_ms())
    }

    /// Takes an operator's word for a while, and tells it to all. The error is one line.
    pub fn order(
        &self,
        what: OrderAction,
        kind: SubjectKind,
        name: &str,
        holds: Duration,
    ) -> Result<(), String> {
        let mut coordinator = self.coordinator();
        let subject = coordinator
            .order_subject(kind, name)
            .ok_or_else(|| format!("no {} {name}", word(kind)))?;
        let (issued_ms, holds) = (
            now_ms(),
            u64::try_from(holds.as_millis()).unwrap_or(u64::MAX),
        );
        let until_ms = issued_ms.saturating_add(holds);
        let order = Order {
            subject,
            action: what,
            issued_ms,
            until_ms,
            id: fastrand::u32(..),
        };
        coordinator
            .submit_order(issued_ms, order)
            .map_err(|_| "a later word holds, or there are too many".to_owned())
    }
}

/// What a kind of place is called.
pub fn word(kind: SubjectKind) -> &'static str {
    match kind {
        SubjectKind::Server => "nodo",
        SubjectKind::Zone => "zone",
        SubjectKind::Class => "class",
        SubjectKind::Region => "region",
    }
}

/// A call of operators: `WHAT/KIND/NAME/SECONDS`.
pub fn read_order(path: &str) -> Option<(OrderAction, SubjectKind, &str, Duration)> {
    let mut parts = path.split('/');
    let (what, kind, name, seconds) = (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    let what = [
        OrderAction::Evacuate,
        OrderAction::Keep,
        OrderAction::Restore,
    ]
    .into_iter()
    .find(|known| known.as_str() == what)?;
    let kind = [SubjectKind::Zone, SubjectKind::Region, SubjectKind::Server]
        .into_iter()
        .find(|known| word(*known) == kind)?;
    let seconds = seconds.parse().ok().filter(|seconds| *seconds > 0)?;
    parts
        .next()
        .is_none()
        .then_some((what, kind, name, Duration::from_secs(seconds)))
}
