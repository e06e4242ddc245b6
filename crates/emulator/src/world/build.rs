//! Sets up a run: upstreams, balancers, the front, and the first events.

use super::*;

impl Simulation<'_> {
    /// Creates all entities of the scenario, and schedules its faults and first calls.
    pub(super) fn build(&mut self) {
        for tier in 0..self.scenario.tier.len() {
            self.add_upstreams(tier);
        }
        self.sidecar_by_host = vec![None; self.upstreams.len()];
        self.suspended_events = vec![Vec::new(); self.upstreams.len()];
        for tier in 0..self.scenario.tier.len() {
            self.add_balancers(tier);
        }
        if let Some(front) = &self.scenario.front {
            self.front = Some(Front::new(
                &self.balancers_by_zone[0],
                front.max_weight_ratio,
                front.idle_timeout.0,
                &mut self.front_rng,
            ));
        }
        self.plan_faults();
        for group in 0..self.scenario.callers.len() {
            self.plan_first_calls(group);
        }
        let step = self.scenario.step.0;
        self.event_queue.at(step, Event::EndOfStep);
    }

    fn add_upstreams(&mut self, tier: usize) {
        let scenario = self.scenario;
        let config = &scenario.tier[tier];
        let calls = config.calls.as_ref();
        self.downstream_by_tier
            .push(calls.and_then(|calls| Some((scenario.tier(&calls.tier)?, calls.mean))));
        for upstream in 0..config.upstreams {
            let host = self.upstreams.len() as u32;
            let cell = (upstream % u32::from(config.cells)) as u16;
            let location = (scenario.zone_in_turn(upstream), cell, host);
            let name = format!("{}-{upstream}", config.name);
            let rng = stream(self.seed, Actor::Upstream, host);
            self.upstreams
                .push(Upstream::new(name, tier, config, location, rng));
            self.upstream_by_host.push(host);
        }
        self.balancers_by_zone
            .push(vec![Vec::new(); scenario.zones.len()]);
    }

    /// Adds the balancers of a tier: its own ones, or one sidecar for each upstream that calls the tier.
    fn add_balancers(&mut self, tier: usize) {
        let config = &self.scenario.tier[tier];
        if !config.sidecar {
            for balancer in 0..config.balancers {
                let zone = self.scenario.zone_in_turn(balancer);
                let number = self.add_balancer(tier, zone);
                self.balancers_by_zone[tier][usize::from(zone)].push(number);
            }
            return;
        }
        // At the start of a run, upstreams and hosts have the same numbers.
        for host in 0..self.upstreams.len() {
            if self.downstream_by_tier[self.upstreams[host].tier]
                .is_some_and(|(called, _)| called == tier)
            {
                self.sidecar_by_host[host] =
                    Some(self.add_balancer(tier, self.upstreams[host].zone));
            }
        }
    }

    /// Schedules the start and the end of each fault.
    fn plan_faults(&mut self) {
        for (fault, planned) in (0..).zip(&self.scenario.fault) {
            let position = planned.file_position.unwrap_or(fault);
            let rng = stream(self.seed, Actor::Fault, position);
            self.fault_targets.push(FaultTargets {
                rng,
                upstreams: Vec::new(),
                balancers: Vec::new(),
            });
            let begins = Event::FaultChanges {
                fault,
                begins: true,
            };
            self.event_queue.at(planned.at.0, begins);
            if let Some(until) = planned.until {
                let ends = Event::FaultChanges {
                    fault,
                    begins: false,
                };
                self.event_queue.at(until.0, ends);
            }
        }
    }

    fn plan_first_calls(&mut self, group: usize) {
        let Load::Closed { callers, think } = self.scenario.callers[group].load else {
            return self.plan_arrival(group);
        };
        for _ in 0..callers {
            let wait = (self.behavior_rngs[group].random::<f64>() * think.0 as f64) as Time;
            let event = Event::ClosedLoopCall(group as u32);
            self.event_queue.at(wait, event);
        }
    }

    /// Adds a balancer with random clock offset and drift, and returns its number.
    fn add_balancer(&mut self, tier: usize, zone: u8) -> u32 {
        let (scenario, number) = (self.scenario, self.balancers.len() as u32);
        let mut seed_rng = stream(self.seed, Actor::Balancer, number);
        let max_offset = scenario.clocks.max_offset.0 as i64;
        let clock_offset = if max_offset > 0 {
            seed_rng.random_range(-max_offset..=max_offset)
        } else {
            0
        };
        let clock_drift = scenario.clocks.max_drift * (2.0 * seed_rng.random::<f64>() - 1.0);
        let (agent_seed, local) = (
            seed_rng.next_u64(),
            EPOCH.saturating_add_signed(clock_offset),
        );
        self.balancers.push(Balancer {
            tier,
            zone,
            agent: self
                .policy
                .agent(scenario.settings(tier, zone), agent_seed, local),
            clock_offset,
            clock_drift,
            network_rng: stream(self.seed, Actor::Network, number),
            registry_rng: stream(self.seed, Actor::Registry, number),
            seed_rng,
            pools: Vec::new(),
            open_connections: 0,
            host_by_server: Vec::new(),
            planned_tick: Time::MAX,
            alive: true,
            incarnation: 0,
            resume_at: 0,
            draining: false,
            subscribed: scenario.registry.queries.is_none(),
            applied_changes: 0,
            updates: VecDeque::new(),
        });
        number
    }
}
