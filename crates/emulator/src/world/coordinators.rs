//! Evacuation: each balancer runs the shipped crate's coordinator on top of its membership node.

use super::*;
use crate::evacuation::{EvacuationTracker, ShareChange};
use crate::scenario::{EvacuationConfig, FalseReport};
use woadstall_engine::decisions::{FailureDomain, HealthVerdict};
use woadstall_engine::{AttemptInFlight, AttemptRecord};
use woadstall_evacuation::{Coordinator, CoordinatorSettings, ListedServer, Topology};
use woadstall_health_reports::{AttemptId, CompletedAttempt, PendingAttempt};
use woadstall_membership::Node;

/// Evacuation coordinators of all balancers.
pub(super) struct Coordinators {
    interval: Time,
    coordinators: Vec<Coordinator>,
    /// Revision of each balancer's upstream list that its coordinator received last.
    listed_revisions: Vec<u64>,
    settings: Vec<CoordinatorSettings>,
    false_reporters: Vec<Option<FalseReport>>,
    tracker: EvacuationTracker,
}

impl Coordinators {
    fn new(config: &EvacuationConfig, scenario: &Scenario, balancers: &[Balancer]) -> Self {
        let classes: Vec<String> = scenario
            .class
            .iter()
            .map(|class| class.name.clone())
            .collect();
        let zones: Vec<(String, Option<String>)> = scenario
            .zones
            .iter()
            .map(|zone| (zone.clone(), scenario.regions.get(zone).cloned()))
            .collect();
        let settings: Vec<CoordinatorSettings> = balancers
            .iter()
            .map(|balancer| CoordinatorSettings {
                topology: Topology::new(&balancer.tier.to_string(), &zones, &classes),
                zone: usize::from(balancer.zone),
            })
            .collect();
        let mut false_reporters = vec![None; balancers.len()];
        if let Some(false_reporting) = &config.false_reporting {
            let count = (balancers.len() as f64 * false_reporting.part).round() as usize;
            false_reporters
                .iter_mut()
                .take(count)
                .for_each(|reporter| *reporter = Some(false_reporting.report));
        }
        Self {
            interval: config.interval.0,
            coordinators: settings.iter().cloned().map(Coordinator::new).collect(),
            listed_revisions: vec![u64::MAX; balancers.len()],
            tracker: EvacuationTracker::new(scenario.zones.clone(), balancers.len()),
            settings,
            false_reporters,
        }
    }

    /// Applies a balancer's false reporting, if it has any, to a completed attempt.
    fn falsify(
        &self,
        balancer: usize,
        zone_of: impl Fn(ServerId) -> Option<usize>,
        completed: CompletedAttempt,
    ) -> CompletedAttempt {
        let own_zone = self.settings[balancer].zone;
        match self.false_reporters[balancer] {
            None => completed,
            Some(FalseReport::NoCallFails) => CompletedAttempt {
                outcome: Outcome::Ok,
                ..completed
            },
            Some(FalseReport::AllCallsFail) => CompletedAttempt {
                outcome: Outcome::Error,
                ..completed
            },
            Some(FalseReport::OwnZoneCallsFail) if zone_of(completed.server) == Some(own_zone) => {
                CompletedAttempt {
                    outcome: Outcome::Error,
                    ..completed
                }
            }
            Some(FalseReport::OwnZoneCallsFail) => completed,
        }
    }

    /// Passes a completed attempt to a balancer's coordinator, falsified if the balancer reports falsely.
    fn record_completed(&mut self, now: Time, balancer: usize, record: &AttemptRecord) {
        let attempt = CompletedAttempt {
            id: AttemptId {
                request: record.id.0,
                attempt: record.attempt,
            },
            server: record.server,
            class: record.class,
            outcome: record.outcome,
            duration_ns: record.elapsed,
        };
        let zone_of = |server| self.coordinators[balancer].zone_of(server);
        let attempt = self.falsify(balancer, zone_of, attempt);
        self.coordinators[balancer].record_completed(now, &attempt);
    }
}

fn pending_attempt(attempt: AttemptInFlight) -> PendingAttempt {
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

impl Simulation<'_> {
    /// Starts all coordinators.
    pub(super) fn start_coordinators(&mut self) {
        let Some(config) = &self.scenario.evacuation else {
            return;
        };
        let coordinators = Coordinators::new(config, self.scenario, &self.balancers);
        let interval = coordinators.interval;
        self.coordinators = Some(coordinators);
        for balancer in 0..self.balancers.len() {
            self.reset_coordinator(balancer);
            // The first rounds are spread over one interval.
            let first_round = interval * (balancer as Time + 1) / self.balancers.len() as Time;
            self.event_queue
                .at(first_round.max(1), Event::CoordinatorTimer(balancer as u32));
        }
    }

    /// Replaces a balancer's coordinator by an empty one, as its process starts.
    pub(super) fn reset_coordinator(&mut self, balancer: usize) {
        let Some(coordinators) = &mut self.coordinators else {
            return;
        };
        coordinators.coordinators[balancer] =
            Coordinator::new(coordinators.settings[balancer].clone());
        coordinators.listed_revisions[balancer] = u64::MAX;
        coordinators
            .tracker
            .balancer_started(self.event_queue.now(), balancer);
        self.balancers[balancer].agent.record_attempts();
    }

    /// Runs one round of a balancer's coordinator.
    pub(super) fn coordinator_timer(&mut self, balancer: usize) {
        let now = self.event_queue.now();
        let Some(coordinators) = &self.coordinators else {
            return;
        };
        self.event_queue.after(
            coordinators.interval,
            Event::CoordinatorTimer(balancer as u32),
        );
        if self.balancers[balancer].alive && self.paused_until(balancer).is_none() {
            let node = self
                .members
                .as_mut()
                .and_then(|members| members.take_node(balancer));
            if let Some(mut node) = node {
                let verdicts = self.step_coordinator(now, balancer, &mut node);
                if let Some(members) = &mut self.members {
                    members.put_node(balancer, node);
                }
                self.flush_member(balancer);
                if !verdicts.is_empty() {
                    self.handle_input(balancer, Input::HealthVerdicts(&verdicts));
                }
            }
        }
    }

    /// Passes a balancer's list and attempts to its coordinator, and returns the verdicts of the coordinator's round.
    fn step_coordinator(
        &mut self,
        now: Time,
        balancer: usize,
        node: &mut Node,
    ) -> Vec<HealthVerdict> {
        let Some(coordinators) = &mut self.coordinators else {
            return Vec::new();
        };
        let state = &mut self.balancers[balancer];
        let local = state.local_time(now);
        let completed = state.agent.take_attempt_records();
        if let Some((revision, upstreams)) = state
            .agent
            .listed_upstreams(coordinators.listed_revisions[balancer])
        {
            coordinators.listed_revisions[balancer] = revision;
            let upstreams = upstreams.into_iter();
            coordinators.coordinators[balancer].set_servers(upstreams.map(|upstream| {
                ListedServer {
                    server: upstream.server,
                    name: upstream.name,
                    boot_ms: upstream.boot_ms,
                    zone: usize::from(upstream.zone.0),
                    size: upstream.size.map(f64::from),
                }
            }));
        }
        for record in completed {
            coordinators.record_completed(now, balancer, &record);
        }
        let pending = state.agent.attempts_in_flight(local).into_iter();
        coordinators.coordinators[balancer].record_pending(now, pending.map(pending_attempt));
        let round = coordinators.coordinators[balancer].step(now, local / MS, node);
        for line in round.lines {
            self.meter.log_line(&line.to_string());
        }
        for verdict in &round.verdicts {
            if let FailureDomain::Zone(zone, None) = verdict.domain {
                let share = f64::from(verdict.share);
                coordinators.tracker.record_share_change(ShareChange {
                    at: now,
                    balancer: balancer as u32,
                    zone: zone.0,
                    share,
                });
            }
        }
        // Verdicts expire by the balancer's own clock.
        let local_until = |verdict: &HealthVerdict| local + verdict.until.saturating_sub(now);
        round
            .verdicts
            .iter()
            .map(|verdict| HealthVerdict {
                until: local_until(verdict),
                ..*verdict
            })
            .collect()
    }

    /// Report on evacuation at the end of the run.
    pub(super) fn finish_coordinators(&mut self) -> Option<crate::evacuation::EvacuationReport> {
        let coordinators = self.coordinators.take()?;
        Some(
            coordinators
                .tracker
                .end(self.event_queue.now().min(self.scenario.duration.0)),
        )
    }
}
