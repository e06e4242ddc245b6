//! Applies the scenario's faults.

use super::*;

impl Simulation<'_> {
    pub(super) fn fault_changes(&mut self, at: usize, begins: bool) {
        if begins {
            self.draw_targets(at);
        }
        let targets = &self.fault_targets[at];
        let (upstreams, balancers) = (targets.upstreams.clone(), targets.balancers.clone());
        let fault = &self.scenario.fault[at];
        match &fault.kind {
            FaultKind::Kill { .. }
            | FaultKind::Roll
            | FaultKind::Replace
            | FaultKind::RegistryWrong => self.upstream_fault(at, begins, &upstreams),
            FaultKind::ClockStep(_)
            | FaultKind::Restart { .. }
            | FaultKind::RollBalancers
            | FaultKind::PauseBalancers => self.balancer_fault(at, begins, &balancers),
            FaultKind::PowerLoss { stale, over, .. } => match begins {
                true => self.lose_power(&upstreams, &balancers),
                false => self.restore_power(at, &upstreams, &balancers, (stale.0, over.0)),
            },
            FaultKind::RegistrySilent => self.registry_outage(begins),
            FaultKind::PartitionTo | FaultKind::PartitionFrom => self.partition(at, begins),
            // Link faults are evaluated at each send.
            FaultKind::Link(_) | FaultKind::MemberLink(_) => self.update_member_partitions(),
            _ => upstreams
                .iter()
                .for_each(|&upstream| self.refresh_upstream_faults(upstream, at, begins)),
        }
    }

    /// Tier and zone of a fault; the zone is `None` for all zones.
    fn scope(&self, at: usize) -> (usize, Option<u8>) {
        let fault = &self.scenario.fault[at];
        let tier = fault.tier.as_ref();
        let tier = tier.and_then(|name| self.scenario.tier(name)).unwrap_or(0);
        (tier, self.scenario.zone(&fault.zone).unwrap_or(None))
    }

    /// Draws the upstreams and balancers that a fault affects.
    fn draw_targets(&mut self, at: usize) {
        let (tier, zone) = self.scope(at);
        let is_within =
            |of: usize, its_zone: u8| of == tier && zone.is_none_or(|zone| zone == its_zone);
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
        let part = self.scenario.fault[at].part;
        let targets = &mut self.fault_targets[at];
        targets.upstreams = sample(&mut targets.rng, &upstreams, part);
        targets.balancers = sample(&mut targets.rng, &balancers, part);
    }

    /// Duration of a fault, in nanoseconds.
    fn fault_duration(&self, at: usize) -> Time {
        let fault = &self.scenario.fault[at];
        fault.until.unwrap_or(self.scenario.duration).0 - fault.at.0
    }

    /// Applies faults that kill upstreams, restart them one by one, or list them as removed.
    fn upstream_fault(&mut self, at: usize, begins: bool, upstreams: &[u32]) {
        match (&self.scenario.fault[at].kind, begins) {
            (FaultKind::Kill { done }, true) => upstreams
                .iter()
                .for_each(|&upstream| self.kill_upstream(upstream as usize, *done)),
            (FaultKind::Kill { .. }, false) => upstreams
                .iter()
                .for_each(|&upstream| self.boot_upstream(upstream as usize)),
            (FaultKind::Roll | FaultKind::Replace, true) => {
                let half = self.fault_duration(at) / 2;
                for (turn, &upstream) in upstreams.iter().enumerate() {
                    let wait = half * turn as Time / upstreams.len().max(1) as Time;
                    let (step, fault) = (0, at as u32);
                    let event = Event::RollUpstream {
                        upstream,
                        step,
                        fault,
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
    fn balancer_fault(&mut self, at: usize, begins: bool, balancers: &[u32]) {
        match (&self.scenario.fault[at].kind, begins) {
            (FaultKind::ClockStep(step), true) => {
                for &balancer in balancers {
                    self.balancers[balancer as usize].clock_offset += step.0 as i64;
                }
            }
            (FaultKind::Restart { .. }, true) => balancers
                .iter()
                .for_each(|&balancer| self.stop_balancer(balancer as usize)),
            (FaultKind::Restart { stale, .. }, false) => {
                let stale = stale.0;
                for &balancer in balancers {
                    let event = Event::BalancerStarts { balancer, stale };
                    self.event_queue.after(0, event);
                }
            }
            (FaultKind::RollBalancers, true) => self.plan_balancer_roll(at, balancers),
            (FaultKind::PauseBalancers, true) => {
                let until = self.scenario.fault[at].until;
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
    fn plan_balancer_roll(&mut self, at: usize, balancers: &[u32]) {
        let time = self.fault_duration(at);
        for (turn, &balancer) in balancers.iter().enumerate() {
            let wait = time * turn as Time / balancers.len().max(1) as Time;
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

    /// Boots upstreams one after another over `over`, and starts balancers with an upstream list of age
    /// `stale`.
    fn restore_power(
        &mut self,
        at: usize,
        upstreams: &[u32],
        balancers: &[u32],
        (stale, over): (Time, Time),
    ) {
        for (turn, &upstream) in upstreams.iter().enumerate() {
            let wait = over * turn as Time / upstreams.len().max(1) as Time;
            self.event_queue.after(wait, Event::UpstreamBoots(upstream));
        }
        let (tier, _) = self.scope(at);
        if self.scenario.tier[tier].sidecar {
            return; // sidecars start with their upstreams
        }
        for &balancer in balancers {
            let event = Event::BalancerStarts { balancer, stale };
            self.event_queue.after(0, event);
        }
    }

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
    fn partition(&mut self, at: usize, begins: bool) {
        let (_, zone) = self.scope(at);
        let is_to = self.scenario.fault[at].kind == FaultKind::PartitionTo;
        let partition = (zone.unwrap_or(0), is_to);
        if begins {
            self.partitioned_zones.push(partition);
        } else {
            self.partitioned_zones.retain(|other| *other != partition);
        }
    }

    /// Recomputes an upstream's active faults from all faults that affect it now.
    pub(super) fn refresh_upstream_faults(&mut self, upstream: u32, changed: usize, begins: bool) {
        let now = self.event_queue.now();
        let mut active_faults = UpstreamFaults::default();
        for (at, fault) in self.scenario.fault.iter().enumerate() {
            let active = match at == changed {
                true => begins,
                false => fault.is_active(now),
            };
            if !active
                || self.fault_targets[at]
                    .upstreams
                    .binary_search(&upstream)
                    .is_err()
            {
                continue;
            }
            match &fault.kind {
                FaultKind::Slow(times) => active_faults.slowdown *= times,
                FaultKind::SlowLink(times) => active_faults.delay_factor *= times,
                FaultKind::Errors { share, class } => {
                    active_faults.errors.push((
                        *share,
                        class.as_ref().and_then(|name| self.scenario.class(name)),
                    ));
                }
                FaultKind::ResponseLoss(part) => active_faults.lost = active_faults.lost.max(*part),
                FaultKind::Resets(part) => active_faults.resets = active_faults.resets.max(*part),
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
            let waiting = std::mem::take(&mut self.suspended_events[upstream as usize]);
            waiting
                .into_iter()
                .for_each(|event| self.event_queue.after(0, event));
        }
    }

    pub(super) fn roll_upstream(&mut self, upstream: u32, step: u8, fault: usize) {
        let longest = self.scenario.longest_deadline().0;
        let at = upstream as usize;
        match step {
            0 => {
                self.upstreams[at].draining = true;
                self.change_registry(upstream, Lifecycle::Draining);
                // Propagation of the update, the one second that rule 3 allows, and the longest request.
                let registry = &self.scenario.registry;
                let wait = registry.delay.0 + registry.jitter.0 + SECOND + longest;
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
                self.kill_upstream(at, false);
                if self.scenario.fault[fault].kind == FaultKind::Replace {
                    return self.replace_upstream(upstream);
                }
                self.event_queue
                    .after(SECOND, Event::UpstreamBoots(upstream));
            }
        }
    }

    /// Starts a new upstream at the address of a removed one.
    pub(super) fn replace_upstream(&mut self, old: u32) {
        self.change_registry(old, Lifecycle::Removed);
        let (now, number) = (self.event_queue.now(), self.upstreams.len() as u32);
        let gone = &self.upstreams[old as usize];
        let (tier, place) = (gone.tier, (gone.zone, gone.cell, gone.host));
        let name = format!("{}-{number}", self.scenario.tier[tier].name);
        let rng = stream(self.seed, Actor::Upstream, number);
        let mut upstream = Upstream::new(name, tier, &self.scenario.tier[tier], place, rng);
        upstream.process = gone.process;
        upstream.boot(now);
        self.upstream_by_host[place.2 as usize] = number;
        self.upstreams.push(upstream);
        self.suspended_events.push(Vec::new());
        self.start_sidecar(number as usize);
        self.change_registry(number, Lifecycle::Ready);
    }

    /// Kills a balancer's process, which loses its whole state.
    pub(super) fn stop_balancer(&mut self, at: usize) {
        let balancer = &mut self.balancers[at];
        if !std::mem::replace(&mut balancer.alive, false) {
            return;
        }
        balancer.incarnation += 1;
        self.stop_member(at, false, true);
        let balancer = &mut self.balancers[at];
        (balancer.draining, balancer.subscribed) =
            (false, self.scenario.registry.queries.is_none());
        let links = std::mem::take(&mut balancer.pools);
        balancer.open_connections = 0;
        balancer.host_by_server.clear();
        balancer.updates.clear();
        balancer.planned_tick = Time::MAX;
        let out = self
            .attempts
            .iter()
            .filter(|(_, a)| a.balancer as usize == at && a.end_pending);
        let out: Vec<u64> = out.map(|(number, _)| number).collect();
        let held = self
            .requests
            .iter()
            .filter(|(_, r)| r.balancer as usize == at && !r.answered);
        let held: Vec<(u64, u64)> = held
            .map(|(number, request)| (number, request.client_call))
            .collect();
        for number in out {
            self.end_attempt(number, Outcome::Cancelled);
        }
        for (number, client_call) in held {
            self.auditor.request_abandoned(number);
            if let Some(request) = self.requests.get_mut(number) {
                request.answered = true;
            }
            self.record_trace(client_call, || format!("balancer {at} dies with it"));
            self.client_call_answered(client_call, &CallResult::Failed);
            self.forget_request(number);
        }
        let agent = self.new_agent(at);
        self.balancers[at].agent = agent;
        // Idle connections are reset here; busy ones were closed with their attempts.
        for (host, links) in links.iter().enumerate().filter(|(_, links)| links.idle > 0) {
            self.connections_closed(at, host, links.process, links.idle);
        }
        if let Some(front) = &mut self.front {
            front.close(at as u32);
            let config = self.scenario.front.as_ref();
            let detection_delay = config.map_or(0, |config| config.detection_delay.0);
            let incarnation = self.balancers[at].incarnation;
            self.event_queue.after(
                detection_delay,
                Event::FrontNoticed {
                    balancer: at as u32,
                    incarnation,
                    out: true,
                },
            );
        }
    }

    pub(super) fn start_balancer(&mut self, at: usize, stale: Time) {
        if self.balancers[at].alive {
            return;
        }
        // The agent is created at the start of the process, so that its start-up allowances count from now.
        let agent = self.new_agent(at);
        let balancer = &mut self.balancers[at];
        (balancer.agent, balancer.alive) = (agent, true);
        self.auditor.balancer_restarted(at);
        self.start_member(at);
        self.send_full_list(at, stale);
        if self.front.is_some() {
            let incarnation = self.balancers[at].incarnation;
            self.front_noticed(at, incarnation, false);
        }
    }

    /// Tells the front that an incarnation of a balancer is down or up. A report on an earlier incarnation is
    /// dropped.
    pub(super) fn front_noticed(&mut self, at: usize, incarnation: u32, out: bool) {
        let balancer = &self.balancers[at];
        if balancer.incarnation == incarnation && (!out || !balancer.alive || balancer.draining) {
            self.front
                .iter_mut()
                .for_each(|front| front.set_detected_down(at as u32, out));
        }
    }

    /// Rolling restart of one balancer: it gets no new connections and answers its open requests, and then a
    /// new process takes its place.
    pub(super) fn roll_balancer(&mut self, at: usize, incarnation: u32, drained: bool) {
        if self.balancers[at].incarnation != incarnation || !self.balancers[at].alive {
            return;
        }
        if drained {
            self.stop_member(at, true, true);
            self.stop_balancer(at);
            return self.start_balancer(at, 0);
        }
        self.balancers[at].draining = true;
        self.front_noticed(at, incarnation, true);
        self.front
            .iter_mut()
            .for_each(|front| front.close(at as u32));
        let longest = self.scenario.longest_deadline().0;
        let balancer = at as u32;
        self.event_queue.after(
            longest + 700 * MS,
            Event::RollBalancer {
                balancer,
                incarnation,
                drained: true,
            },
        );
    }
}
