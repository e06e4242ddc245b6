//! Evacuation: each balancer runs the shipped crate's coordinator on top of its membership node.

use super::*;
use crate::evacuation::{EvacuationTracker, ShareChange};
use crate::scenario::{EvacuationConfig, FalseReport};
use woadstall_engine::decisions::{FailureDomain, HealthVerdict as Finding};
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
    fn new(of: &EvacuationConfig, scenario: &Scenario, balancers: &[Balancer]) -> Self {
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
        if let Some(false_reporting) = &of.false_reporting {
            let count = (balancers.len() as f64 * false_reporting.part).round() as usize;
            false_reporters
                .iter_mut()
                .take(count)
                .for_each(|reporter| *reporter = Some(false_reporting.report));
        }
        Self {
            interval: of.interval.0,
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
        at: usize,
        zone_of: impl Fn(ServerId) -> Option<usize>,
        completed: CompletedAttempt,
    ) -> CompletedAttempt {
        let own = self.settings[at].zone;
        match self.false_reporters[at] {
            None => completed,
            Some(FalseReport::NoCallFails) => CompletedAttempt {
                outcome: Outcome::Ok,
                ..completed
            },
            Some(FalseReport::AllCallsFail) => CompletedAttempt {
                outcome: Outcome::Error,
                ..completed
            },
            Some(FalseReport::OwnZoneCallsFail) if zone_of(completed.server) == Some(own) => {
                CompletedAttempt {
                    outcome: Outcome::Error,
                    ..completed
                }
            }
            Some(FalseReport::OwnZoneCallsFail) => completed,
        }
    }

    /// Passes a completed attempt to a balancer's coordinator, falsified if the balancer reports falsely.
    fn record_completed(&mut self, now: Time, at: usize, seen: &AttemptRecord) {
        let attempt = CompletedAttempt {
            id: AttemptId {
                request: seen.id.0,
                attempt: seen.attempt,
            },
            server: seen.server,
            class: seen.class,
            outcome: seen.outcome,
            duration_ns: seen.elapsed,
        };
        let zone_of = |server| self.coordinators[at].zone_of(server);
        let attempt = self.falsify(at, zone_of, attempt);
        self.coordinators[at].record_completed(now, &attempt);
    }
}

fn pending_attempt(out: AttemptInFlight) -> PendingAttempt {
    PendingAttempt {
        id: AttemptId {
            request: out.id.0,
            attempt: out.attempt,
        },
        server: out.server,
        class: out.class,
        age_ns: out.age,
    }
}

impl Simulation<'_> {
    /// Starts all coordinators.
    pub(super) fn start_coordinators(&mut self) {
        let Some(of) = &self.scenario.evacuation else {
            return;
        };
        let coordinators = Coordinators::new(of, self.scenario, &self.balancers);
        let every = coordinators.interval;
        self.coordinators = Some(coordinators);
        for at in 0..self.balancers.len() {
            self.reset_coordinator(at);
            // The first rounds are spread over one interval.
            let first = every * (at as Time + 1) / self.balancers.len() as Time;
            self.event_queue
                .at(first.max(1), Event::CoordinatorTimer(at as u32));
        }
    }

    /// Replaces a balancer's coordinator by an empty one, as its process starts.
    pub(super) fn reset_coordinator(&mut self, at: usize) {
        let Some(coordinators) = &mut self.coordinators else {
            return;
        };
        coordinators.coordinators[at] = Coordinator::new(coordinators.settings[at].clone());
        coordinators.listed_revisions[at] = u64::MAX;
        coordinators
            .tracker
            .balancer_started(self.event_queue.now(), at);
        self.balancers[at].agent.record_attempts();
    }

    /// Runs one round of a balancer's coordinator.
    pub(super) fn coordinator_timer(&mut self, at: usize) {
        let now = self.event_queue.now();
        let Some(coordinators) = &self.coordinators else {
            return;
        };
        self.event_queue
            .after(coordinators.interval, Event::CoordinatorTimer(at as u32));
        if self.balancers[at].alive && self.paused_until(at).is_none() {
            let node = self
                .members
                .as_mut()
                .and_then(|members| members.take_node(at));
            if let Some(mut node) = node {
                let findings = self.step_coordinator(now, at, &mut node);
                if let Some(members) = &mut self.members {
                    members.put_node(at, node);
                }
                self.flush_member(at);
                if !findings.is_empty() {
                    self.handle_input(at, Input::HealthVerdicts(&findings));
                }
            }
        }
    }

    fn step_coordinator(&mut self, now: Time, at: usize, node: &mut Node) -> Vec<Finding> {
        let Some(coordinators) = &mut self.coordinators else {
            return Vec::new();
        };
        let balancer = &mut self.balancers[at];
        let local = balancer.local_time(now);
        let observed = balancer.agent.take_attempt_records();
        if let Some((changes, all)) = balancer
            .agent
            .listed_upstreams(coordinators.listed_revisions[at])
        {
            coordinators.listed_revisions[at] = changes;
            let all = all.into_iter();
            coordinators.coordinators[at].set_servers(all.map(|of| ListedServer {
                server: of.server,
                name: of.name,
                boot_ms: of.boot_ms,
                zone: usize::from(of.zone.0),
                size: of.size.map(f64::from),
            }));
        }
        for seen in observed {
            coordinators.record_completed(now, at, &seen);
        }
        let outstanding = balancer.agent.attempts_in_flight(local).into_iter();
        coordinators.coordinators[at].record_pending(now, outstanding.map(pending_attempt));
        let turn = coordinators.coordinators[at].step(now, local / MS, node);
        for line in turn.lines {
            self.meter.log_line(&line.to_string());
        }
        for finding in &turn.verdicts {
            if let FailureDomain::Zone(zone, None) = finding.domain {
                let share = f64::from(finding.share);
                coordinators.tracker.record_share_change(ShareChange {
                    at: now,
                    balancer: at as u32,
                    zone: zone.0,
                    share,
                });
            }
        }
        // Verdicts expire by the balancer's own clock.
        let until = |finding: &Finding| local + finding.until.saturating_sub(now);
        turn.verdicts
            .iter()
            .map(|finding| Finding {
                until: until(finding),
                ..*finding
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
