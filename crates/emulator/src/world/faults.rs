//! The script of faults.

use super::*;

impl World<'_> {
    pub(super) fn fault(&mut self, at: usize, begins: bool) {
        let fault = &self.scenario.fault[at];
        let tier = fault
            .tier
            .as_ref()
            .and_then(|name| self.scenario.tier(name))
            .unwrap_or(0);
        let zone = self.scenario.zone(&fault.zone).unwrap_or(None);
        if begins {
            let there =
                |other: &Upstream| other.tier == tier && zone.is_none_or(|zone| zone == other.zone);
            let upstreams: Vec<u32> = (0..self.upstreams.len() as u32)
                .filter(|&upstream| {
                    there(&self.upstreams[upstream as usize])
                        && self.upstreams[upstream as usize].alive
                })
                .collect();
            let there =
                |other: &Balancer| other.tier == tier && zone.is_none_or(|zone| zone == other.zone);
            let balancers = 0..self.balancers.len() as u32;
            let balancers: Vec<u32> = balancers
                .filter(|&at| there(&self.balancers[at as usize]))
                .collect();
            let rng = &mut self.faults[at].0;
            let hit = (
                sample(rng, &upstreams, fault.part),
                sample(rng, &balancers, fault.part),
            );
            (self.faults[at].1, self.faults[at].2) = hit;
        }
        let (upstreams, balancers) = (self.faults[at].1.clone(), self.faults[at].2.clone());
        let until = fault.until.unwrap_or(self.scenario.time);
        match &fault.what {
            FaultKind::Kill { done } if begins => upstreams
                .iter()
                .for_each(|&upstream| self.kill_upstream(upstream as usize, *done)),
            FaultKind::Kill { .. } => upstreams
                .iter()
                .for_each(|&upstream| self.boot_upstream(upstream as usize)),
            FaultKind::Roll | FaultKind::Replace if begins => {
                let half = (until.0 - fault.at.0) / 2;
                for (turn, &upstream) in upstreams.iter().enumerate() {
                    let wait = half * turn as Time / upstreams.len().max(1) as Time;
                    self.event_queue.after(
                        wait,
                        Event::RollUpstream {
                            upstream,
                            step: 0,
                            fault: at as u32,
                        },
                    );
                }
            }
            FaultKind::Roll | FaultKind::Replace => {}
            FaultKind::RegistrySilent => {
                self.discovery
                    .iter_mut()
                    .for_each(|discovery| discovery.set_down(begins));
                self.registry_outages = if begins {
                    self.registry_outages + 1
                } else {
                    self.registry_outages - 1
                };
                if self.registry_outages == 0 {
                    self.publish_changes();
                }
            }
            FaultKind::RegistryWrong => {
                let lifecycle = if begins {
                    Lifecycle::Removed
                } else {
                    Lifecycle::Ready
                };
                for &upstream in &upstreams {
                    let there = &self.upstreams[upstream as usize];
                    if there.alive && !there.draining {
                        self.change_registry(upstream, lifecycle);
                    }
                }
            }
            FaultKind::ClockStep(step) if begins => {
                for &balancer in &balancers {
                    self.balancers[balancer as usize].ahead += step.0 as i64;
                }
            }
            FaultKind::ClockStep(_) => {}
            FaultKind::PartitionTo | FaultKind::PartitionFrom => {
                let partitioned = (zone.unwrap_or(0), fault.what == FaultKind::PartitionTo);
                match begins {
                    true => self.partitions.push(partitioned),
                    false => self.partitions.retain(|other| *other != partitioned),
                }
            }
            FaultKind::PowerLoss { .. } if begins => {
                balancers
                    .iter()
                    .for_each(|&balancer| self.member_ends(balancer as usize, false, false));
                upstreams
                    .iter()
                    .for_each(|&upstream| self.kill_upstream(upstream as usize, false));
                balancers
                    .iter()
                    .for_each(|&balancer| self.stop_balancer(balancer as usize));
            }
            FaultKind::PowerLoss { stale, over, .. } => {
                for (turn, &upstream) in upstreams.iter().enumerate() {
                    let wait = over.0 * turn as Time / upstreams.len().max(1) as Time;
                    self.event_queue.after(wait, Event::UpstreamBoots(upstream));
                }
                for &balancer in balancers
                    .iter()
                    .filter(|_| !self.scenario.tier[tier].sidecar)
                {
                    self.event_queue.after(
                        0,
                        Event::BalancerStarts {
                            balancer,
                            stale: stale.0,
                        },
                    );
                }
            }
            FaultKind::Link(_) | FaultKind::Between(_) => {} // looked up where something is sent
            FaultKind::Restart { stale, .. } => {
                for &balancer in &balancers {
                    match begins {
                        true => self.stop_balancer(balancer as usize),
                        false => self.event_queue.after(
                            0,
                            Event::BalancerStarts {
                                balancer,
                                stale: stale.0,
                            },
                        ),
                    }
                }
            }
            FaultKind::RollBalancers if begins => {
                let time = until.0 - fault.at.0;
                for (turn, &balancer) in balancers.iter().enumerate() {
                    let wait = time * turn as Time / balancers.len().max(1) as Time;
                    let incarnation = self.balancers[balancer as usize].incarnation;
                    self.event_queue.after(
                        wait,
                        Event::RollBalancer {
                            balancer,
                            incarnation,
                            drained: false,
                        },
                    );
                }
            }
            FaultKind::RollBalancers => {}
            FaultKind::Stall if begins => {
                for &balancer in &balancers {
                    self.balancers[balancer as usize].stalled_until = until.0;
                }
                self.stalled = self.stalled.max(until.0);
                self.members_paused(&balancers, true);
            }
            FaultKind::Stall => self.members_paused(&balancers, false),
            _ => upstreams
                .iter()
                .for_each(|&upstream| self.refresh_upstream_faults(upstream, at, begins)),
        }
        if matches!(fault.what, FaultKind::Link(_) | FaultKind::Between(_)) {
            self.members_partitioned();
        }
    }

    /// What is wrong with a nodo, from all faults that hit it now.
    pub(super) fn refresh_upstream_faults(&mut self, upstream: u32, changed: usize, begins: bool) {
        let now = self.event_queue.now();
        let mut active_faults = UpstreamFaults::default();
        for (at, fault) in self.scenario.fault.iter().enumerate() {
            let active = match at == changed {
                true => begins,
                false => fault.is_in_force(now),
            };
            if !active || self.faults[at].1.binary_search(&upstream).is_err() {
                continue;
            }
            match &fault.what {
                FaultKind::Slow(times) => active_faults.slowdown *= times,
                FaultKind::SlowLink(times) => active_faults.delay_factor *= times,
                FaultKind::Errors { share, class } => {
                    active_faults.errors.push((
                        *share,
                        class.as_ref().and_then(|name| self.scenario.class(name)),
                    ));
                }
                FaultKind::Lost(part) => active_faults.lost = active_faults.lost.max(*part),
                FaultKind::Resets(part) => active_faults.resets = active_faults.resets.max(*part),
                FaultKind::Silent => active_faults.unresponsive = true,
                FaultKind::Full => active_faults.full = true,
                FaultKind::Stop => active_faults.stopped = true,
                _ => {}
            }
        }
        let goes_on =
            self.upstreams[upstream as usize].active_faults.stopped && !active_faults.stopped;
        self.upstreams[upstream as usize].active_faults = active_faults;
        if goes_on {
            // All at once: what came meanwhile, and what would have been done.
            let waiting = std::mem::take(&mut self.stopped[upstream as usize]);
            waiting
                .into_iter()
                .for_each(|event| self.event_queue.after(0, event));
        }
    }

    pub(super) fn roll_upstream(&mut self, upstream: u32, step: u8, fault: usize) {
        let longest = self.scenario.longest().0;
        let at = upstream as usize;
        match step {
            0 => {
                self.upstreams[at].draining = true;
                self.change_registry(upstream, Lifecycle::Draining);
                // The word's way, the second that rule 3 allows, and the work.
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
                if self.scenario.fault[fault].what == FaultKind::Replace {
                    return self.replace(upstream);
                }
                self.event_queue
                    .after(SECOND, Event::UpstreamBoots(upstream));
            }
        }
    }

    /// A new nodo at the address of one that is gone.
    pub(super) fn replace(&mut self, old: u32) {
        self.change_registry(old, Lifecycle::Removed);
        let (now, number) = (self.event_queue.now(), self.upstreams.len() as u32);
        let gone = &self.upstreams[old as usize];
        let (tier, place) = (gone.tier, (gone.zone, gone.cell, gone.host));
        let name = format!("{}-{number}", self.scenario.tier[tier].name);
        let rng = stream(self.seed, Actor::Upstream, number);
        let mut upstream = Upstream::new(name, tier, &self.scenario.tier[tier], place, rng);
        upstream.process = gone.process;
        upstream.boot(now);
        self.hosts[place.2 as usize] = number;
        self.upstreams.push(upstream);
        self.stopped.push(Vec::new());
        self.start_sidecar(number as usize);
        self.change_registry(number, Lifecycle::Ready);
    }

    /// A balancer's process dies, with all that it holds.
    pub(super) fn stop_balancer(&mut self, at: usize) {
        let balancer = &mut self.balancers[at];
        if !std::mem::replace(&mut balancer.alive, false) {
            return;
        }
        balancer.incarnation += 1;
        self.member_ends(at, false, true);
        let balancer = &mut self.balancers[at];
        (balancer.leaving, balancer.subscribed) = (false, self.scenario.registry.queries.is_none());
        let links = std::mem::take(&mut balancer.links);
        balancer.open = 0;
        balancer.hosts.clear();
        balancer.updates.clear();
        balancer.planned = Time::MAX;
        let out = self
            .attempts
            .iter()
            .filter(|(_, a)| a.balancer as usize == at && a.out);
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
            self.auditor.left(number);
            if let Some(request) = self.requests.get_mut(number) {
                request.answered = true;
            }
            self.record_story(client_call, || format!("balancer {at} dies with it"));
            self.client_call_answered(client_call, &CallResult::Failed);
            self.forget_request(number);
        }
        let agent = self.agent(at);
        self.balancers[at].agent = agent;
        // Its connections are reset; those of attempts were closed with these.
        for (host, links) in links.iter().enumerate().filter(|(_, links)| links.idle > 0) {
            self.closed(at, host, links.process, links.idle);
        }
        if let Some(front) = &mut self.front {
            front.close(at as u32);
            let (detection_delay, incarnation) = (
                self.scenario
                    .front
                    .as_ref()
                    .map_or(0, |f| f.detection_delay.0),
                self.balancers[at].incarnation,
            );
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
        // A process that has just started knows that it has: what it allows itself as such counts from now.
        let agent = self.agent(at);
        let balancer = &mut self.balancers[at];
        (balancer.agent, balancer.alive) = (agent, true);
        self.auditor.forgot(at);
        self.member_begins(at);
        self.send_full_list(at, stale);
        if self.front.is_some() {
            let incarnation = self.balancers[at].incarnation;
            self.front_noticed(at, incarnation, false);
        }
    }

    /// The front notices that a life of a balancer is over, unless the next has begun, or that one has begun.
    pub(super) fn front_noticed(&mut self, at: usize, incarnation: u32, out: bool) {
        let balancer = &self.balancers[at];
        if balancer.incarnation == incarnation && (!out || !balancer.alive || balancer.leaving) {
            self.front
                .iter_mut()
                .for_each(|front| front.set_out(at as u32, out));
        }
    }

    /// A balancer is told to stop: it is dealt nothing new, answers what it holds, and another process follows.
    pub(super) fn roll_balancer(&mut self, at: usize, incarnation: u32, drained: bool) {
        if self.balancers[at].incarnation != incarnation || !self.balancers[at].alive {
            return;
        }
        if drained {
            self.member_ends(at, true, true);
            self.stop_balancer(at);
            return self.start_balancer(at, 0);
        }
        self.balancers[at].leaving = true;
        self.front_noticed(at, incarnation, true);
        self.front
            .iter_mut()
            .for_each(|front| front.close(at as u32));
        let longest = self.scenario.longest().0;
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
