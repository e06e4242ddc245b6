//! The padron: changes of the list, and how word of them reaches the balancers.

use super::*;

impl World<'_> {
    pub(super) fn boot_ms(nodo: &Nodo) -> u64 {
        nodo.started.map_or(0, |started| (EPOCH + started) / MS)
    }

    pub(super) fn entry(&self, nodo: u32, lifecycle: Lifecycle, boot_ms: u64) -> UpstreamEntry {
        let nodo = &self.nodos[nodo as usize];
        let ip = Ipv4Addr::from(0x0a00_0000 | nodo.host);
        UpstreamEntry {
            name: nodo.name.clone(),
            address: Some(SocketAddr::from((ip, 8080))),
            zone: Some(ZoneId(nodo.zone)),
            cell: nodo.cell,
            lifecycle,
            size: 1.0,
            boot_ms,
        }
    }

    pub(super) fn change(&mut self, nodo: u32, lifecycle: Lifecycle) {
        let boot_ms = Self::boot_ms(&self.nodos[nodo as usize]);
        self.changes.push(Change {
            at: self.agenda.now(),
            nodo,
            lifecycle,
            boot_ms,
        });
        if self.padron_silent == 0 {
            self.spread();
        }
    }

    /// Sends word of all changes so far to all balancers of their tiers.
    pub(super) fn spread(&mut self) {
        let upto = self.changes.len() as u32;
        for at in 0..self.balancers.len() {
            if self.balancers[at].watches {
                self.send_word(at, upto);
            }
        }
    }

    pub(super) fn send_word(&mut self, at: usize, upto: u32) {
        let (now, padron) = (self.agenda.now(), &self.scenario.padron);
        let balancer = &mut self.balancers[at];
        let jitter = (balancer.padron.random::<f64>() * padron.jitter.0 as f64) as Time;
        // In order: never before what was sent earlier.
        let latest = balancer.words.back().map_or(0, |(at, _)| *at);
        let comes = latest.max(now + padron.delay.0 + jitter);
        match balancer.words.back_mut() {
            Some(last) if last.0 == comes => last.1 = upto,
            _ => {
                balancer.words.push_back((comes, upto));
                let (balancer, life) = (at as u32, balancer.life);
                self.agenda.at(comes, Event::Told { balancer, life });
            }
        }
    }

    pub(super) fn told(&mut self, event: Event, at: usize, life: u32) {
        if !self.balancers[at].alive || self.balancers[at].life != life {
            return;
        }
        if let Some(until) = self.stands_still(at) {
            return self.agenda.at(until, event);
        }
        let now = self.agenda.now();
        let balancer = &mut self.balancers[at];
        let (from, tier) = (balancer.heard, balancer.tier);
        while let Some(&(_, upto)) = balancer.words.front().filter(|(comes, _)| *comes <= now) {
            balancer.words.pop_front();
            balancer.heard = balancer.heard.max(upto);
        }
        let upto = balancer.heard;
        if from >= upto {
            return;
        }
        let mut entries = Vec::new();
        for change in &self.changes[from as usize..upto as usize] {
            let nodo = &self.nodos[change.nodo as usize];
            if nodo.tier == tier {
                entries.push(self.entry(change.nodo, change.lifecycle, change.boot_ms));
                let ready = change.lifecycle == Lifecycle::Ready;
                self.auditor.told(now, at, nodo.host, change.boot_ms, ready);
            }
        }
        if !entries.is_empty() {
            self.tell(
                at,
                Input::EndpointsListed {
                    entries: &entries,
                    is_complete: false,
                },
            );
        }
    }

    /// Tells a balancer the whole list as it was some time ago, and sends word of the rest.
    pub(super) fn list_whole(&mut self, at: usize, stale: Time) {
        let now = self.agenda.now();
        let tier = self.balancers[at].tier;
        let before = now.saturating_sub(stale);
        let upto = self.changes.partition_point(|change| change.at <= before);
        let mut state: Vec<Option<(Lifecycle, u64)>> = Vec::new();
        // Those of the start; what came later is among the changes.
        let first: u32 = self.scenario.tier.iter().map(|tier| tier.nodos).sum();
        for nodo in 0..self.nodos.len() {
            let cold = self.scenario.tier[self.nodos[nodo].tier].cold;
            let boot_ms = if cold { EPOCH / MS } else { 0 };
            state.push(((nodo as u32) < first).then_some((Lifecycle::Ready, boot_ms)));
        }
        for change in &self.changes[..upto] {
            state[change.nodo as usize] = Some((change.lifecycle, change.boot_ms));
        }
        let listed = state
            .iter()
            .enumerate()
            .filter_map(|(nodo, state)| Some((nodo as u32, (*state)?)));
        let listed = listed.filter(|(nodo, (lifecycle, _))| {
            self.nodos[*nodo as usize].tier == tier && *lifecycle != Lifecycle::Removed
        });
        let entries: Vec<_> = listed
            .map(|(nodo, (life, boot))| self.entry(nodo, life, boot))
            .collect();
        self.balancers[at].heard = upto as u32;
        self.tell(
            at,
            Input::EndpointsListed {
                entries: &entries,
                is_complete: true,
            },
        );
        let all = self.changes.len() as u32;
        if all > upto as u32 && self.padron_silent == 0 && self.balancers[at].watches {
            self.send_word(at, all);
        }
    }

    /// A balancer asks discovery: what has changed, and to be told from then on.
    pub(super) fn read_list(&mut self, at: usize) {
        let (now, tier) = (self.agenda.now(), self.balancers[at].tier);
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        let read = discovery.read(now);
        self.prices.pay(now, tier, Price::Reads, at);
        let (balancer, life) = (at as u32, self.balancers[at].life);
        let (until, well) = match read {
            Read::Answered(until) => (until, true),
            Read::Failed(until) => (until, false),
        };
        self.agenda.at(
            until + self.scenario.padron.delay.0,
            Event::Listed {
                balancer,
                life,
                well,
            },
        );
    }

    pub(super) fn read_ends(&mut self, at: usize, life: u32, well: bool) {
        let (now, tier) = (self.agenda.now(), self.balancers[at].tier);
        if !self.balancers[at].alive || self.balancers[at].life != life {
            return;
        }
        if !well || self.padron_silent > 0 {
            self.prices.pay(now, tier, Price::FailedReads, at);
            return self.tell(at, Input::DiscoveryFailed);
        }
        self.balancers[at].watches = true;
        let upto = self.changes.len() as u32;
        if self.balancers[at].heard < upto {
            self.send_word(at, upto);
        } else {
            self.tell(
                at,
                Input::EndpointsListed {
                    entries: &[],
                    is_complete: false,
                },
            );
        }
    }
}
