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
                |other: &Nodo| other.tier == tier && zone.is_none_or(|zone| zone == other.zone);
            let nodos: Vec<u32> = (0..self.nodos.len() as u32)
                .filter(|&nodo| {
                    there(&self.nodos[nodo as usize]) && self.nodos[nodo as usize].alive
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
                sample(rng, &nodos, fault.part),
                sample(rng, &balancers, fault.part),
            );
            (self.faults[at].1, self.faults[at].2) = hit;
        }
        let (nodos, balancers) = (self.faults[at].1.clone(), self.faults[at].2.clone());
        let until = fault.until.unwrap_or(self.scenario.time);
        match &fault.what {
            What::Kill { done } if begins => nodos
                .iter()
                .for_each(|&nodo| self.kill(nodo as usize, *done)),
            What::Kill { .. } => nodos.iter().for_each(|&nodo| self.boot(nodo as usize)),
            What::Roll | What::Replace if begins => {
                let half = (until.0 - fault.at.0) / 2;
                for (turn, &nodo) in nodos.iter().enumerate() {
                    let wait = half * turn as Time / nodos.len().max(1) as Time;
                    self.agenda.after(
                        wait,
                        Event::Roll {
                            nodo,
                            step: 0,
                            fault: at as u32,
                        },
                    );
                }
            }
            What::Roll | What::Replace => {}
            What::PadronSilent => {
                self.discovery
                    .iter_mut()
                    .for_each(|discovery| discovery.set_down(begins));
                self.padron_silent = if begins {
                    self.padron_silent + 1
                } else {
                    self.padron_silent - 1
                };
                if self.padron_silent == 0 {
                    self.spread();
                }
            }
            What::PadronWrong => {
                let lifecycle = if begins {
                    Lifecycle::Removed
                } else {
                    Lifecycle::Ready
                };
                for &nodo in &nodos {
                    let there = &self.nodos[nodo as usize];
                    if there.alive && !there.draining {
                        self.change(nodo, lifecycle);
                    }
                }
            }
            What::ClockStep(step) if begins => {
                for &balancer in &balancers {
                    self.balancers[balancer as usize].ahead += step.0 as i64;
                }
            }
            What::ClockStep(_) => {}
            What::CutTo | What::CutFrom => {
                let cut = (zone.unwrap_or(0), fault.what == What::CutTo);
                match begins {
                    true => self.cuts.push(cut),
                    false => self.cuts.retain(|other| *other != cut),
                }
            }
            What::PowerLoss { .. } if begins => {
                balancers
                    .iter()
                    .for_each(|&balancer| self.member_ends(balancer as usize, false, false));
                nodos
                    .iter()
                    .for_each(|&nodo| self.kill(nodo as usize, false));
                balancers
                    .iter()
                    .for_each(|&balancer| self.stop(balancer as usize));
            }
            What::PowerLoss { stale, over, .. } => {
                for (turn, &nodo) in nodos.iter().enumerate() {
                    let wait = over.0 * turn as Time / nodos.len().max(1) as Time;
                    self.agenda.after(wait, Event::Boot(nodo));
                }
                for &balancer in balancers
                    .iter()
                    .filter(|_| !self.scenario.tier[tier].beside)
                {
                    self.agenda.after(
                        0,
                        Event::Start {
                            balancer,
                            stale: stale.0,
                        },
                    );
                }
            }
            What::Link(_) | What::Between(_) => {} // looked up where something is sent
            What::Restart { stale, .. } => {
                for &balancer in &balancers {
                    match begins {
                        true => self.stop(balancer as usize),
                        false => self.agenda.after(
                            0,
                            Event::Start {
                                balancer,
                                stale: stale.0,
                            },
                        ),
                    }
                }
            }
            What::RollBalancers if begins => {
                let time = until.0 - fault.at.0;
                for (turn, &balancer) in balancers.iter().enumerate() {
                    let wait = time * turn as Time / balancers.len().max(1) as Time;
                    let life = self.balancers[balancer as usize].life;
                    self.agenda.after(
                        wait,
                        Event::RollBalancer {
                            balancer,
                            life,
                            drained: false,
                        },
                    );
                }
            }
            What::RollBalancers => {}
            What::Stall if begins => {
                for &balancer in &balancers {
                    self.balancers[balancer as usize].stalled_until = until.0;
                }
                self.stalled = self.stalled.max(until.0);
                self.members_stall(&balancers, true);
            }
            What::Stall => self.members_stall(&balancers, false),
            _ => nodos
                .iter()
                .for_each(|&nodo| self.refresh_ills(nodo, at, begins)),
        }
        if matches!(fault.what, What::Link(_) | What::Between(_)) {
            self.members_cut();
        }
    }

    /// What is wrong with a nodo, from all faults that hit it now.
    pub(super) fn refresh_ills(&mut self, nodo: u32, changed: usize, begins: bool) {
        let now = self.agenda.now();
        let mut ills = Ills::default();
        for (at, fault) in self.scenario.fault.iter().enumerate() {
            let active = match at == changed {
                true => begins,
                false => fault.is_in_force(now),
            };
            if !active || self.faults[at].1.binary_search(&nodo).is_err() {
                continue;
            }
            match &fault.what {
                What::Slow(times) => ills.slow *= times,
                What::SlowLink(times) => ills.far *= times,
                What::Errors { share, class } => {
                    ills.errors.push((
                        *share,
                        class.as_ref().and_then(|name| self.scenario.class(name)),
                    ));
                }
                What::Lost(part) => ills.lost = ills.lost.max(*part),
                What::Resets(part) => ills.resets = ills.resets.max(*part),
                What::Silent => ills.silent = true,
                What::Full => ills.full = true,
                What::Stop => ills.stopped = true,
                _ => {}
            }
        }
        let goes_on = self.nodos[nodo as usize].ills.stopped && !ills.stopped;
        self.nodos[nodo as usize].ills = ills;
        if goes_on {
            // All at once: what came meanwhile, and what would have been done.
            let waiting = std::mem::take(&mut self.stopped[nodo as usize]);
            waiting
                .into_iter()
                .for_each(|event| self.agenda.after(0, event));
        }
    }

    pub(super) fn roll(&mut self, nodo: u32, step: u8, fault: usize) {
        let longest = self.scenario.longest().0;
        let at = nodo as usize;
        match step {
            0 => {
                self.nodos[at].draining = true;
                self.change(nodo, Lifecycle::Draining);
                // The word's way, the second that rule 3 allows, and the work.
                let padron = &self.scenario.padron;
                let wait = padron.delay.0 + padron.jitter.0 + SECOND + longest;
                self.agenda.after(
                    wait,
                    Event::Roll {
                        nodo,
                        step: 1,
                        fault: fault as u32,
                    },
                );
            }
            _ => {
                self.kill(at, false);
                if self.scenario.fault[fault].what == What::Replace {
                    return self.replace(nodo);
                }
                self.agenda.after(SECOND, Event::Boot(nodo));
            }
        }
    }

    /// A new nodo at the address of one that is gone.
    pub(super) fn replace(&mut self, old: u32) {
        self.change(old, Lifecycle::Removed);
        let (now, number) = (self.agenda.now(), self.nodos.len() as u32);
        let gone = &self.nodos[old as usize];
        let (tier, place) = (gone.tier, (gone.zone, gone.cell, gone.host));
        let name = format!("{}-{number}", self.scenario.tier[tier].name);
        let rng = stream(self.seed, Actor::Nodo, number);
        let mut nodo = Nodo::new(name, tier, &self.scenario.tier[tier], place, rng);
        nodo.process = gone.process;
        nodo.boot(now);
        self.hosts[place.2 as usize] = number;
        self.nodos.push(nodo);
        self.stopped.push(Vec::new());
        self.start_beside(number as usize);
        self.change(number, Lifecycle::Ready);
    }

    /// A balancer's process dies, with all that it holds.
    pub(super) fn stop(&mut self, at: usize) {
        let balancer = &mut self.balancers[at];
        if !std::mem::replace(&mut balancer.alive, false) {
            return;
        }
        balancer.life += 1;
        self.member_ends(at, false, true);
        let balancer = &mut self.balancers[at];
        (balancer.leaving, balancer.watches) = (false, self.scenario.padron.asked.is_none());
        let links = std::mem::take(&mut balancer.links);
        balancer.open = 0;
        balancer.hosts.clear();
        balancer.words.clear();
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
            .map(|(number, request)| (number, request.wish))
            .collect();
        for number in out {
            self.end_attempt(number, Outcome::Cancelled);
        }
        for (number, wish) in held {
            self.auditor.left(number);
            if let Some(request) = self.requests.get_mut(number) {
                request.answered = true;
            }
            self.tell_story(wish, || format!("balancer {at} dies with it"));
            self.answered_wish(wish, &CallResult::Failed);
            self.forget_request(number);
        }
        let mind = self.mind(at);
        self.balancers[at].mind = mind;
        // Its connections are reset; those of attempts were closed with these.
        for (host, links) in links.iter().enumerate().filter(|(_, links)| links.idle > 0) {
            self.closed(at, host, links.process, links.idle);
        }
        if let Some(front) = &mut self.front {
            front.close(at as u32);
            let (notices, life) = (
                self.scenario.front.as_ref().map_or(0, |f| f.notices.0),
                self.balancers[at].life,
            );
            self.agenda.after(
                notices,
                Event::Noticed {
                    balancer: at as u32,
                    life,
                    out: true,
                },
            );
        }
    }

    pub(super) fn start(&mut self, at: usize, stale: Time) {
        if self.balancers[at].alive {
            return;
        }
        // A process that has just started knows that it has: what it allows itself as such counts from now.
        let mind = self.mind(at);
        let balancer = &mut self.balancers[at];
        (balancer.mind, balancer.alive) = (mind, true);
        self.auditor.forgot(at);
        self.member_begins(at);
        self.list_whole(at, stale);
        if self.front.is_some() {
            let life = self.balancers[at].life;
            self.noticed(at, life, false);
        }
    }

    /// The front notices that a life of a balancer is over, unless the next has begun, or that one has begun.
    pub(super) fn noticed(&mut self, at: usize, life: u32, out: bool) {
        let balancer = &self.balancers[at];
        if balancer.life == life && (!out || !balancer.alive || balancer.leaving) {
            self.front
                .iter_mut()
                .for_each(|front| front.notice(at as u32, out));
        }
    }

    /// A balancer is told to stop: it is dealt nothing new, answers what it holds, and another process follows.
    pub(super) fn roll_balancer(&mut self, at: usize, life: u32, drained: bool) {
        if self.balancers[at].life != life || !self.balancers[at].alive {
            return;
        }
        if drained {
            self.member_ends(at, true, true);
            self.stop(at);
            return self.start(at, 0);
        }
        self.balancers[at].leaving = true;
        self.noticed(at, life, true);
        self.front
            .iter_mut()
            .for_each(|front| front.close(at as u32));
        let longest = self.scenario.longest().0;
        let balancer = at as u32;
        self.agenda.after(
            longest + 700 * MS,
            Event::RollBalancer {
                balancer,
                life,
                drained: true,
            },
        );
    }
}
