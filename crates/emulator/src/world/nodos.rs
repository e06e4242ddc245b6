//! What nodos do with the attempts that reach them, and how their processes die and start.

use super::*;

impl World<'_> {
    pub(super) fn reach(&mut self, event: Event, number: u64) {
        let now = self.agenda.now();
        let Some(attempt) = self.attempts.get(number) else {
            return;
        };
        let (request, host) = (attempt.request, attempt.host);
        let (sent_to, process) = (attempt.nodo as usize, attempt.process);
        let nodo = self.hosts[host as usize] as usize;
        if !self.nodos[nodo].alive || nodo != sent_to || self.nodos[nodo].process != process {
            // It died on the way. What was written may have been read.
            return self.answer(number, Outcome::Reset);
        }
        if self.nodos[nodo].ills.stopped {
            return self.stopped[nodo].push(event);
        }
        let Some(wish) = self.requests.get(request).map(|request| request.wish) else {
            return;
        };
        let Some(class) = self.wishes.get(wish).map(|wish| wish.class) else {
            return;
        };
        let mean = self.scenario.class[class].service.mean();
        let warm = f64::from(self.nodos[nodo].workers()) * 1e9 / mean;
        if let Some(part) = self.nodos[nodo].count_cold(now, warm) {
            let name = self.nodos[nodo].name.clone();
            self.auditor.pushed_over(now, &name, part);
            self.kill(nodo, false);
            return self.agenda.after(TOPPLED, Event::Boot(nodo as u32));
        }
        let there = &mut self.nodos[nodo];
        if there.ills.silent {
            return self.lose(number);
        }
        let ills = there.ills.resets;
        if chance(&mut there.rng, ills / 2.0) {
            return self.answer(number, Outcome::Reset);
        }
        if there.errs(class) {
            return self.answer(number, Outcome::Error);
        }
        let name = there.name.clone();
        match there.take(number) {
            Taken::Begun => {
                self.tell_story(wish, || format!("{name} begins it"));
                self.begin(nodo, number, class);
            }
            Taken::Queued => {
                let held = self.nodos[nodo].held();
                self.meter.queued(held);
                self.tell_story(wish, || format!("{name} lets it wait behind {}", held - 1));
            }
            Taken::Full => {
                self.tell_story(wish, || format!("{name} turns it away as full"));
                self.answer(number, Outcome::Full);
            }
        }
    }

    pub(super) fn begin(&mut self, nodo: usize, attempt: u64, class: usize) {
        let now = self.agenda.now();
        let mut took = self.nodos[nodo].service(now, &self.scenario.class[class].service);
        let connections = &self.scenario.tier[self.nodos[nodo].tier].connections;
        if connections.work.0 > 0
            && self
                .attempts
                .get(attempt)
                .is_some_and(|attempt| attempt.fresh)
        {
            took += self.nodos[nodo].overhead(now, connections.work.0);
        }
        let process = self.nodos[nodo].process;
        self.agenda.after(
            took,
            Event::Done {
                attempt,
                nodo: nodo as u32,
                process,
            },
        );
    }

    /// Sends an outcome back to the balancer of an attempt.
    pub(super) fn answer(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(number) else {
            return;
        };
        let (at, nodo) = (attempt.balancer as usize, attempt.nodo as usize);
        if self.is_lost(at, nodo, false) || self.is_cut(at, nodo, false) {
            return self.lose(number);
        }
        let way = self.delay(at, nodo, false);
        self.agenda.after(
            way,
            Event::Back {
                attempt: number,
                outcome,
            },
        );
    }

    pub(super) fn done(&mut self, number: u64, nodo: usize, process: u32) {
        if self.nodos[nodo].process != process || !self.nodos[nodo].alive {
            return; // it died meanwhile, and all that it was at with it
        }
        self.take_effect(number);
        let calls = self.calls[self.nodos[nodo].tier];
        let parent = self.attempts.get(number).and_then(|attempt| {
            let wish = self.requests.get(attempt.request)?.wish;
            self.wishes
                .get(wish)
                .map(|wish| (wish.class, wish.deadline))
        });
        let (Some((_, mean)), Some((class, deadline))) = (calls, parent) else {
            return self.finish(number, nodo);
        };
        // A whole number on either side of the mean.
        let rng = &mut self.nodos[nodo].rng;
        let count = mean.floor() as u32 + u32::from(chance(rng, mean.fract()));
        let now = self.agenda.now();
        if count == 0 || now >= deadline {
            return self.finish(number, nodo);
        }
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.calls = count;
        }
        for _ in 0..count {
            let wish = self.wishes.add(Wish {
                class,
                group: None,
                parent: Some(number),
                one_of_crowd: false,
                born: now,
                deadline,
                tries: 0,
                requests: 0,
                closed: false,
                measured: false,
                line: None,
                seen: SmallVec::new(),
            });
            self.ask(wish);
        }
    }

    /// A nodo's call to the next tier is answered.
    pub(super) fn call_back(&mut self, number: u64, well: bool) {
        let Some(attempt) = self
            .attempts
            .get_mut(number)
            .filter(|attempt| attempt.calls > 0)
        else {
            return;
        };
        attempt.calls -= 1;
        attempt.spoilt |= !well;
        let (left, nodo, process) = (attempt.calls, attempt.nodo as usize, attempt.process);
        if left == 0 && self.nodos[nodo].alive && self.nodos[nodo].process == process {
            self.finish(number, nodo);
        }
    }

    /// A nodo is done with an attempt: it answers and takes the next.
    pub(super) fn finish(&mut self, number: u64, nodo: usize) {
        let spoilt = self
            .attempts
            .get(number)
            .is_some_and(|attempt| attempt.spoilt);
        let there = &mut self.nodos[nodo];
        let (lost, resets) = (there.ills.lost, there.ills.resets / 2.0);
        if chance(&mut there.rng, lost) {
            self.lose(number);
        } else if chance(&mut self.nodos[nodo].rng, resets) {
            self.answer(number, Outcome::Reset);
        } else {
            self.answer(number, if spoilt { Outcome::Error } else { Outcome::Ok });
        }
        self.take_next(nodo);
    }

    pub(super) fn take_next(&mut self, nodo: usize) {
        let (attempts, mut dropped) = (&self.attempts, SmallVec::<[u64; 4]>::new());
        let next = self.nodos[nodo].next(|request| {
            let waits = attempts.get(request).is_some_and(|attempt| attempt.out);
            if !waits {
                dropped.push(request); // its connection is closed: a nodo sees that before it begins
            }
            waits
        });
        dropped.into_iter().for_each(|request| self.lose(request));
        let Some(next) = next else { return };
        let class = self.attempts.get(next).and_then(|attempt| {
            let wish = self.requests.get(attempt.request)?.wish;
            self.wishes.get(wish).map(|wish| wish.class)
        });
        self.begin(nodo, next, class.unwrap_or(0));
    }

    /// The work of an attempt is done. Nodos drop the repeats of keyed work in their group and window.
    pub(super) fn take_effect(&mut self, number: u64) {
        let now = self.agenda.now();
        let Some(attempt) = self.attempts.get(number) else {
            return;
        };
        let (request, nodo) = (attempt.request, &self.nodos[attempt.nodo as usize]);
        let Some(wish_number) = self.requests.get(request).map(|request| request.wish) else {
            return;
        };
        let Some(wish) = self.wishes.get_mut(wish_number) else {
            return;
        };
        let class = &self.scenario.class[wish.class];
        let group = match class.group {
            CallGroup::All => 0,
            CallGroup::Zone => u32::from(nodo.zone),
            CallGroup::Cell => u32::from(nodo.cell),
        };
        if class.effect == CallEffect::Keyed {
            let within = |(seen, at): &(u32, Time)| *seen == group && now < at + class.window.0;
            if wish.seen.iter().any(within) {
                return;
            }
            wish.seen.push((group, now));
        }
        let name = nodo.name.clone();
        self.auditor.ran(now, request);
        self.tell_story(wish_number, || format!("{name} has done it"));
    }

    /// A nodo's process dies. What it was at breaks, done or not.
    pub(super) fn kill(&mut self, nodo: usize, done: bool) {
        if !self.nodos[nodo].alive {
            return;
        }
        let process = self.nodos[nodo].process;
        self.nodos[nodo].die();
        let here = |attempt: &Attempt| attempt.nodo as usize == nodo && attempt.process == process;
        let lost = self
            .attempts
            .iter()
            .filter(|(_, attempt)| here(attempt) && attempt.there);
        let lost: Vec<u64> = lost.map(|(number, _)| number).collect();
        for number in lost {
            if done {
                self.take_effect(number);
            }
            if let Some(attempt) = self.attempts.get_mut(number) {
                attempt.calls = 0;
            }
            self.answer(number, Outcome::Reset);
        }
        let notices = self.scenario.padron.notices.0;
        self.agenda.after(
            notices,
            Event::Notice {
                nodo: nodo as u32,
                process,
            },
        );
        if let Some(balancer) = self.beside[self.nodos[nodo].host as usize] {
            self.stop(balancer as usize);
        }
    }

    pub(super) fn boot(&mut self, nodo: usize) {
        let host = self.nodos[nodo].host as usize;
        if self.nodos[nodo].alive || self.hosts[host] as usize != nodo {
            return;
        }
        let now = self.agenda.now();
        self.nodos[nodo].boot(now);
        self.start_beside(nodo);
        self.change(nodo as u32, Lifecycle::Ready);
    }

    /// The balancer beside a nodo starts with it.
    pub(super) fn start_beside(&mut self, nodo: usize) {
        if let Some(balancer) = self.beside[self.nodos[nodo].host as usize] {
            self.start(balancer as usize, 0);
        }
    }

    // ---- Probes ----

    pub(super) fn probe(&mut self, at: usize, peer: &Peer) {
        let (now, tier) = (self.agenda.now(), self.balancers[at].tier);
        self.prices.pay(now, tier, Price::Probes, at);
        let host = Self::host_of(peer.address) as usize;
        let (Some(&nodo), Some(probed)) = (self.hosts.get(host), &self.scenario.tier[tier].probed)
        else {
            return;
        };
        let patience = probed.patience.0;
        let (process, life) = (self.nodos[nodo as usize].process, self.balancers[at].life);
        let out = ProbeOut {
            balancer: at as u32,
            life,
            nodo,
            process,
            server: peer.server,
        };
        let probe = self.probes.add(out);
        self.agenda
            .after(patience, Event::Probed { probe, held: None });
        if !self.is_cut(at, nodo as usize, true) {
            let way = self.delay(at, nodo as usize, true);
            self.agenda.after(way, Event::Probe { probe });
        }
    }

    pub(super) fn probe_reaches(&mut self, probe: u64) {
        let Some(out) = self.probes.get(probe) else {
            return;
        };
        let (at, nodo, process) = (out.balancer as usize, out.nodo as usize, out.process);
        let there = &self.nodos[nodo];
        let mute = there.ills.silent || there.ills.stopped;
        if there.alive && there.process == process && !mute && !self.is_cut(at, nodo, false) {
            let (way, held) = (self.delay(at, nodo, false), Some(self.nodos[nodo].held()));
            self.agenda.after(way, Event::Probed { probe, held });
        }
    }

    /// A probe is over, by its answer or by its patience, whichever came first.
    pub(super) fn probe_ends(&mut self, probe: u64, held: Option<u32>) {
        let Some(out) = self.probes.take(probe) else {
            return;
        };
        let (at, server) = (out.balancer as usize, out.server);
        if !self.balancers[at].alive || self.balancers[at].life != out.life {
            return;
        }
        let outcome = if held.is_some() {
            Outcome::Ok
        } else {
            Outcome::Timeout
        };
        let load = held.map(|held| LoadReport {
            figures: [held as f32, 0.0, 0.0, 0.0],
            len: 1,
        });
        self.tell(at, Input::ProbeEnded(server, outcome, load));
    }
}
