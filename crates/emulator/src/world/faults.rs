//! Applies the scenario's faults.

use super::*;

impl Simulation<'_> {
    pub(super) fn fault_changes(&mut self, fault: usize, begins: bool) {
        if begins {
            self.draw_targets(fault);
        }
        let targets = &self.fault_targets[fault];
        let (upstreams, balancers) = (targets.upstreams.clone(), targets.balancers.clone());
        match &self.scenario.fault[fault].kind {
            FaultKind::Kill { .. }
            | FaultKind::Roll
            | FaultKind::Replace
            | FaultKind::RegistryWrong => self.upstream_fault(fault, begins, &upstreams),
            FaultKind::ClockStep(_)
            | FaultKind::Restart { .. }
            | FaultKind::RollBalancers
            | FaultKind::PauseBalancers => self.balancer_fault(fault, begins, &balancers),
            FaultKind::PowerLoss { stale, over, .. } => match begins {
                true => self.lose_power(&upstreams, &balancers),
                false => self.restore_power(fault, &upstreams, &balancers, stale.0, over.0),
            },
            FaultKind::RegistrySilent => self.registry_outage(begins),
            FaultKind::PartitionTo | FaultKind::PartitionFrom => self.partition(fault, begins),
            // Link faults are evaluated at each send.
            FaultKind::Link(_) | FaultKind::MemberLink(_) => self.update_member_partitions(),
            _ => upstreams
                .iter()
                .for_each(|&upstream| self.refresh_upstream_faults(upstream, fault, begins)),
        }
    }

    /// Tier and zone of a fault; the zone is `None` for all zones.
    fn scope(&self, fault: usize) -> (usize, Option<u8>) {
        let config = &self.scenario.fault[fault];
        let tier = config.tier.as_ref();
        let tier = tier.and_then(|name| self.scenario.tier(name)).unwrap_or(0);
        (tier, self.scenario.zone(&config.zone).unwrap_or(None))
    }

    /// Draws the upstreams and balancers that a fault affects.
    fn draw_targets(&mut self, fault: usize) {
        let (tier, zone) = self.scope(fault);
        let is_within = |its_tier: usize, its_zone: u8| {
            its_tier == tier && zone.is_none_or(|zone| zone == its_zone)
        };
        let upstreams: Vec<u32> = (0..)
            .zip(&self.upstreams)
            .filter(|(_, upstream)| is_within(upstream.tier, upstream.zone) && upstream.alive)
            .map(|(number, _)| number)
            .collect();
        let balancers: Vec<u32> = (0..)
            .zip(&self.balancers)
            .filter(|(_, balancer)| is_within(balancer.tier, balancer.zone))
            .map(|(number, _)| number)
            .collect();
        let fraction = self.scenario.fault[fault].part;
        let targets = &mut self.fault_targets[fault];
        targets.upstreams = sample(&mut targets.rng, &upstreams, fraction);
        targets.balancers = sample(&mut targets.rng, &balancers, fraction);
    }

    /// Duration of a fault, in nanoseconds.
    fn fault_duration(&self, fault: usize) -> Time {
        let config = &self.scenario.fault[fault];
        config.until.unwrap_or(self.scenario.duration).0 - config.at.0
    }

    /// Applies faults that kill upstreams, restart them one by one, or list them as removed.
    fn upstream_fault(&mut self, fault: usize, begins: bool, upstreams: &[u32]) {
        match (&self.scenario.fault[fault].kind, begins) {
            (FaultKind::Kill { done }, true) => upstreams
                .iter()
                .for_each(|&upstream| self.kill_upstream(upstream as usize, *done)),
            (FaultKind::Kill { .. }, false) => upstreams
                .iter()
                .for_each(|&upstream| self.boot_upstream(upstream as usize)),
            (FaultKind::Roll | FaultKind::Replace, true) => {
                let half = self.fault_duration(fault) / 2;
                for (turn, &upstream) in upstreams.iter().enumerate() {
                    let wait = half * turn as Time / upstreams.len().max(1) as Time;
                    let event = Event::RollUpstream {
                        upstream,
                        step: 0,
                        fault: fault as u32,
                    };
                    self.event_queue.after(wait, event);
                }
            }
            (FaultKind::RegistryWrong, _) => self.set_falsely_removed(begins, upstreams),
            _ => {}
        }
    }

    /// Lists healthy upstreams as removed when the fault begins, and as ready again when it ends.
    fn set_falsely_removed(&mut self, begins: bool, upstreams: &[u32]) {
        let lifecycle = if begins {
            Lifecycle::Removed
        } else {
            Lifecycle::Ready
        };
        for &upstream in upstreams {
            let target = &self.upstreams[upstream as usize];
            if target.alive && !target.draining {
                self.change_registry(upstream, lifecycle);
            }
        }
    }

    /// Applies faults of balancers: restarts, rolling restarts, pauses, and clock steps.
    fn balancer_fault(&mut self, fault: usize, begins: bool, balancers: &[u32]) {
        match (&self.scenario.fault[fault].kind, begins) {
            (FaultKind::ClockStep(step), true) => {
                for &balancer in balancers {
                    self.balancers[balancer as usize].clock_offset += step.0 as i64;
                }
            }
            (FaultKind::Restart { .. }, true) => balancers
                .iter()
                .for_each(|&balancer| self.stop_balancer(balancer as usize)),
            (FaultKind::Restart { stale, .. }, false) => {
                let list_age = stale.0;
                for &balancer in balancers {
                    let event = Event::BalancerStarts { balancer, list_age };
                    self.event_queue.after(0, event);
                }
            }
            (FaultKind::RollBalancers, true) => self.plan_balancer_roll(fault, balancers),
            (FaultKind::PauseBalancers, true) => {
                let until = self.scenario.fault[fault].until;
                let until = until.unwrap_or(self.scenario.duration).0;
                for &balancer in balancers {
                    self.balancers[balancer as usize].resume_at = until;
                }
                self.latest_resume_at = self.latest_resume_at.max(until);
                self.set_members_paused(balancers, true);
            }
            (FaultKind::PauseBalancers, false) => self.set_members_paused(balancers, false),
            _ => {}
        }
    }

    /// Schedules a rolling restart: the balancers' turns are spread evenly over the fault's duration.
    fn plan_balancer_roll(&mut self, fault: usize, balancers: &[u32]) {
        let duration = self.fault_duration(fault);
        for (turn, &balancer) in balancers.iter().enumerate() {
            let wait = duration * turn as Time / balancers.len().max(1) as Time;
            let event = Event::RollBalancer {
                balancer,
                incarnation: self.balancers[balancer as usize].incarnation,
                drained: false,
            };
            self.event_queue.after(wait, event);
        }
    }

    /// Kills upstreams and the balancers that send to them at the same instant.
    fn lose_power(&mut self, upstreams: &[u32], balancers: &[u32]) {
        balancers
            .iter()
            .for_each(|&balancer| self.stop_member(balancer as usize, false, false));
        upstreams
            .iter()
            .for_each(|&upstream| self.kill_upstream(upstream as usize, false));
        balancers
            .iter()
            .for_each(|&balancer| self.stop_balancer(balancer as usize));
    }

    /// Boots upstreams one after another during `boot_period`, and starts balancers with an upstream list of age
    /// `list_age`.
    fn restore_power(
        &mut self,
        fault: usize,
        upstreams: &[u32],
        balancers: &[u32],
        list_age: Time,
        boot_period: Time,
    ) {
        for (turn, &upstream) in upstreams.iter().enumerate() {
            let wait = boot_period * turn as Time / upstreams.len().max(1) as Time;
            self.event_queue.after(wait, Event::UpstreamBoots(upstream));
        }
        let (tier, _) = self.scope(fault);
        if self.scenario.tier[tier].sidecar {
            return; // sidecars start with their upstreams
        }
        for &balancer in balancers {
            let event = Event::BalancerStarts { balancer, list_age };
            self.event_queue.after(0, event);
        }
    }

    /// Begins or ends an outage of the registry. Changes are published once no outage is left.
    fn registry_outage(&mut self, begins: bool) {
        if let Some(discovery) = &mut self.discovery {
            discovery.set_down(begins);
        }
        if begins {
            self.registry_outages += 1;
        } else {
            self.registry_outages -= 1;
        }
        if self.registry_outages == 0 {
            self.publish_changes();
        }
    }

    /// Partitions a zone's upstreams from other zones in one direction.
    fn partition(&mut self, fault: usize, begins: bool) {
        let (_, zone) = self.scope(fault);
        let blocks_inbound = self.scenario.fault[fault].kind == FaultKind::PartitionTo;
        let partition = (zone.unwrap_or(0), blocks_inbound);
        if begins {
            self.partitioned_zones.push(partition);
        } else {
            self.partitioned_zones.retain(|other| *other != partition);
        }
    }

    /// Recomputes an upstream's active faults from all faults that affect it now, after the fault `changed_fault`
    /// has begun or ended.
    pub(super) fn refresh_upstream_faults(
        &mut self,
        upstream: u32,
        changed_fault: usize,
        begins: bool,
    ) {
        let now = self.event_queue.now();
        let mut active_faults = UpstreamFaults::default();
        for (index, fault) in self.scenario.fault.iter().enumerate() {
            let active = match index == changed_fault {
                true => begins,
                false => fault.is_active(now),
            };
            if !active
                || self.fault_targets[index]
                    .upstreams
                    .binary_search(&upstream)
                    .is_err()
            {
                continue;
            }
            match &fault.kind {
                FaultKind::Slow(factor) => active_faults.slowdown *= factor,
                FaultKind::SlowLink(factor) => active_faults.delay_factor *= factor,
                FaultKind::Errors { share, class } => {
                    active_faults.errors.push((
                        *share,
                        class.as_ref().and_then(|name| self.scenario.class(name)),
                    ));
                }
                FaultKind::ResponseLoss(fraction) => {
                    active_faults.lost = active_faults.lost.max(*fraction);
                }
                FaultKind::Resets(fraction) => {
                    active_faults.resets = active_faults.resets.max(*fraction);
                }
                FaultKind::Unresponsive => active_faults.unresponsive = true,
                FaultKind::Full => active_faults.full = true,
                FaultKind::SuspendUpstreams => active_faults.stopped = true,
                _ => {}
            }
        }
        let resumes =
            self.upstreams[upstream as usize].active_faults.stopped && !active_faults.stopped;
        self.upstreams[upstream as usize].active_faults = active_faults;
        if resumes {
            // A resumed process handles at once the messages that arrived and the work that ended during the
            // suspension.
            let held_events = std::mem::take(&mut self.suspended_events[upstream as usize]);
            held_events
                .into_iter()
                .for_each(|event| self.event_queue.after(0, event));
        }
    }

    /// Rolling restart of one upstream. Step 0 lists it as draining; the next step kills it, and restarts or replaces
    /// it.
    pub(super) fn roll_upstream(&mut self, upstream: u32, step: u8, fault: usize) {
        let longest_deadline = self.scenario.longest_deadline().0;
        let index = upstream as usize;
        match step {
            0 => {
                self.upstreams[index].draining = true;
                self.change_registry(upstream, Lifecycle::Draining);
                // Propagation of the update, the one second that rule 3 allows, and the longest request.
                let registry = &self.scenario.registry;
                let wait = registry.delay.0 + registry.jitter.0 + SECOND + longest_deadline;
                self.event_queue.after(
                    wait,
                    Event::RollUpstream {
                        upstream,
                        step: 1,
                        fault: fault as u32,
                    },
                );
            }
            _ => {
                self.kill_upstream(index, false);
                if self.scenario.fault[fault].kind == FaultKind::Replace {
                    return self.replace_upstream(upstream);
                }
                self.event_queue
                    .after(SECOND, Event::UpstreamBoots(upstream));
            }
        }
    }

    /// Starts a new upstream at the address of a removed one.
    pub(super) fn replace_upstream(&mut self, removed: u32) {
        self.change_registry(removed, Lifecycle::Removed);
        let (now, number) = (self.event_queue.now(), self.upstreams.len() as u32);
        let former = &self.upstreams[removed as usize];
        let (tier, host) = (former.tier, former.host);
        let location = (former.zone, former.cell, host);
        let name = format!("{}-{number}", self.scenario.tier[tier].name);
        let rng = stream(self.seed, Actor::Upstream, number);
        let mut upstream = Upstream::new(name, tier, &self.scenario.tier[tier], location, rng);
        upstream.process = former.process;
        upstream.boot(now);
        self.upstream_by_host[host as usize] = number;
        self.upstreams.push(upstream);
        self.suspended_events.push(Vec::new());
        self.start_sidecar(number as usize);
        self.change_registry(number, Lifecycle::Ready);
    }

    /// Kills a balancer's process, which loses its whole state.
    pub(super) fn stop_balancer(&mut self, balancer: usize) {
        let state = &mut self.balancers[balancer];
        if !std::mem::replace(&mut state.alive, false) {
            return;
        }
        state.incarnation += 1;
        self.stop_member(balancer, false, true);
        let state = &mut self.balancers[balancer];
        (state.draining, state.subscribed) = (false, self.scenario.registry.queries.is_none());
        let pools = std::mem::take(&mut state.pools);
        state.open_connections = 0;
        state.host_by_server.clear();
        state.updates.clear();
        state.planned_tick = Time::MAX;
        let pending_attempts = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.balancer as usize == balancer && attempt.end_pending);
        let pending_attempts: Vec<u64> = pending_attempts.map(|(number, _)| number).collect();
        let open_requests = self
            .requests
            .iter()
            .filter(|(_, request)| request.balancer as usize == balancer && !request.answered);
        let open_requests: Vec<(u64, u64)> = open_requests
            .map(|(number, request)| (number, request.client_call))
            .collect();
        for number in pending_attempts {
            self.end_attempt(number, Outcome::Cancelled);
        }
        for (number, client_call) in open_requests {
            self.auditor.request_abandoned(number);
            if let Some(request) = self.requests.get_mut(number) {
                request.answered = true;
            }
            self.record_trace(client_call, || format!("balancer {balancer} dies with it"));
            self.client_call_answered(client_call, &CallResult::Failed);
            self.forget_request(number);
        }
        let agent = self.new_agent(balancer);
        self.balancers[balancer].agent = agent;
        // Idle connections are reset here; busy ones were closed with their attempts.
        for (host, pool) in pools.iter().enumerate().filter(|(_, pool)| pool.idle > 0) {
            self.connections_closed(balancer, host, pool.process, pool.idle);
        }
        if let Some(front) = &mut self.front {
            front.close(balancer as u32);
            let config = self.scenario.front.as_ref();
            let detection_delay = config.map_or(0, |config| config.detection_delay.0);
            let incarnation = self.balancers[balancer].incarnation;
            self.event_queue.after(
                detection_delay,
                Event::FrontNoticed {
                    balancer: balancer as u32,
                    incarnation,
                    down: true,
                },
            );
        }
    }

    /// Starts a balancer's process with an upstream list of age `list_age`.
    pub(super) fn start_balancer(&mut self, balancer: usize, list_age: Time) {
        if self.balancers[balancer].alive {
            return;
        }
        // The agent is created at the start of the process, so that its start-up allowances count from now.
        let agent = self.new_agent(balancer);
        let state = &mut self.balancers[balancer];
        (state.agent, state.alive) = (agent, true);
        self.auditor.balancer_restarted(balancer);
        self.start_member(balancer);
        self.send_full_list(balancer, list_age);
        if self.front.is_some() {
            let incarnation = self.balancers[balancer].incarnation;
            self.front_noticed(balancer, incarnation, false);
        }
    }

    /// Tells the front that an incarnation of a balancer is down or up. A report on an earlier incarnation is
    /// dropped.
    pub(super) fn front_noticed(&mut self, balancer: usize, incarnation: u32, down: bool) {
        let state = &self.balancers[balancer];
        if state.incarnation == incarnation && (!down || !state.alive || state.draining) {
            self.front
                .iter_mut()
                .for_each(|front| front.set_detected_down(balancer as u32, down));
        }
    }

    /// Rolling restart of one balancer: it gets no new connections and answers its open requests, and then a
    /// new process takes its place.
    pub(super) fn roll_balancer(&mut self, balancer: usize, incarnation: u32, drained: bool) {
        if self.balancers[balancer].incarnation != incarnation || !self.balancers[balancer].alive {
            return;
        }
        if drained {
            self.stop_member(balancer, true, true);
            self.stop_balancer(balancer);
            return self.start_balancer(balancer, 0);
        }
        self.balancers[balancer].draining = true;
        self.front_noticed(balancer, incarnation, true);
        self.front
            .iter_mut()
            .for_each(|front| front.close(balancer as u32));
        let longest_deadline = self.scenario.longest_deadline().0;
        self.event_queue.after(
            longest_deadline + 700 * MS,
            Event::RollBalancer {
                balancer: balancer as u32,
                incarnation,
                drained: true,
            },
        );
    }
}
