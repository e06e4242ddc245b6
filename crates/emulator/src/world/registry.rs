//! The registry: changes of the upstream list, and their distribution to the balancers.

use super::*;

impl Simulation<'_> {
    pub(super) fn boot_ms(upstream: &Upstream) -> u64 {
        upstream.started.map_or(0, |started| (EPOCH + started) / MS)
    }

    pub(super) fn entry(&self, upstream: u32, lifecycle: Lifecycle, boot_ms: u64) -> UpstreamEntry {
        let upstream = &self.upstreams[upstream as usize];
        let ip = Ipv4Addr::from(0x0a00_0000 | upstream.host);
        UpstreamEntry {
            name: upstream.name.clone(),
            address: Some(SocketAddr::from((ip, 8080))),
            zone: Some(ZoneId(upstream.zone)),
            cell: upstream.cell,
            lifecycle,
            size: 1.0,
            boot_ms,
        }
    }

    /// Lists an upstream as removed after its process died, unless a new process has started since.
    pub(super) fn death_noticed(&mut self, upstream: u32, process: u32) {
        let dead = &self.upstreams[upstream as usize];
        let is_current = self.upstream_by_host[dead.host as usize] == upstream;
        if is_current && !dead.alive && dead.process == process {
            self.change_registry(upstream, Lifecycle::Removed);
        }
    }

    pub(super) fn change_registry(&mut self, upstream: u32, lifecycle: Lifecycle) {
        let boot_ms = Self::boot_ms(&self.upstreams[upstream as usize]);
        self.changes.push(RegistryChange {
            at: self.event_queue.now(),
            upstream,
            lifecycle,
            boot_ms,
        });
        if self.registry_outages == 0 {
            self.publish_changes();
        }
    }

    /// Sends all changes so far to the subscribed balancers.
    pub(super) fn publish_changes(&mut self) {
        let upto = self.changes.len() as u32;
        for at in 0..self.balancers.len() {
            if self.balancers[at].subscribed {
                self.send_update(at, upto);
            }
        }
    }

    pub(super) fn send_update(&mut self, at: usize, upto: u32) {
        let (now, registry) = (self.event_queue.now(), &self.scenario.registry);
        let balancer = &mut self.balancers[at];
        let jitter = (balancer.registry_rng.random::<f64>() * registry.jitter.0 as f64) as Time;
        // Updates stay in order: none arrives before an earlier one.
        let latest = balancer.updates.back().map_or(0, |(at, _)| *at);
        let comes = latest.max(now + registry.delay.0 + jitter);
        match balancer.updates.back_mut() {
            Some(last) if last.0 == comes => last.1 = upto,
            _ => {
                balancer.updates.push_back((comes, upto));
                let (balancer, incarnation) = (at as u32, balancer.incarnation);
                self.event_queue.at(
                    comes,
                    Event::RegistryUpdate {
                        balancer,
                        incarnation,
                    },
                );
            }
        }
    }

    pub(super) fn registry_updated(&mut self, event: Event, at: usize, incarnation: u32) {
        if !self.balancers[at].alive || self.balancers[at].incarnation != incarnation {
            return;
        }
        if let Some(until) = self.paused_until(at) {
            return self.event_queue.at(until, event);
        }
        let now = self.event_queue.now();
        let balancer = &mut self.balancers[at];
        let (from, tier) = (balancer.applied_changes, balancer.tier);
        while let Some(&(_, upto)) = balancer.updates.front().filter(|(comes, _)| *comes <= now) {
            balancer.updates.pop_front();
            balancer.applied_changes = balancer.applied_changes.max(upto);
        }
        let upto = balancer.applied_changes;
        if from >= upto {
            return;
        }
        let mut entries = Vec::new();
        for change in &self.changes[from as usize..upto as usize] {
            let upstream = &self.upstreams[change.upstream as usize];
            if upstream.tier == tier {
                entries.push(self.entry(change.upstream, change.lifecycle, change.boot_ms));
                let ready = change.lifecycle == Lifecycle::Ready;
                self.auditor
                    .notified(now, at, upstream.host, change.boot_ms, ready);
            }
        }
        if !entries.is_empty() {
            self.handle_input(
                at,
                Input::EndpointsListed {
                    entries: &entries,
                    is_complete: false,
                },
            );
        }
    }

    /// Gives a balancer the complete list of `stale` ago, and sends the later changes as an update.
    pub(super) fn send_full_list(&mut self, at: usize, stale: Time) {
        let now = self.event_queue.now();
        let tier = self.balancers[at].tier;
        let before = now.saturating_sub(stale);
        let upto = self.changes.partition_point(|change| change.at <= before);
        let mut state: Vec<Option<(Lifecycle, u64)>> = Vec::new();
        // Upstreams that exist from the start; later ones appear in the changes.
        let first: u32 = self.scenario.tier.iter().map(|tier| tier.upstreams).sum();
        for upstream in 0..self.upstreams.len() {
            let cold = self.scenario.tier[self.upstreams[upstream].tier].cold;
            let boot_ms = if cold { EPOCH / MS } else { 0 };
            state.push(((upstream as u32) < first).then_some((Lifecycle::Ready, boot_ms)));
        }
        for change in &self.changes[..upto] {
            state[change.upstream as usize] = Some((change.lifecycle, change.boot_ms));
        }
        let listed = state
            .iter()
            .enumerate()
            .filter_map(|(upstream, state)| Some((upstream as u32, (*state)?)));
        let listed = listed.filter(|(upstream, (lifecycle, _))| {
            self.upstreams[*upstream as usize].tier == tier && *lifecycle != Lifecycle::Removed
        });
        let entries: Vec<_> = listed
            .map(|(upstream, (incarnation, boot))| self.entry(upstream, incarnation, boot))
            .collect();
        self.balancers[at].applied_changes = upto as u32;
        self.handle_input(
            at,
            Input::EndpointsListed {
                entries: &entries,
                is_complete: true,
            },
        );
        let all = self.changes.len() as u32;
        if all > upto as u32 && self.registry_outages == 0 && self.balancers[at].subscribed {
            self.send_update(at, all);
        }
    }

    /// Reads the list from discovery for a balancer, and subscribes the balancer to changes.
    pub(super) fn query_registry(&mut self, at: usize) {
        let (now, tier) = (self.event_queue.now(), self.balancers[at].tier);
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        let read = discovery.read(now);
        self.costs.count(now, tier, Cost::Reads, at);
        let (balancer, incarnation) = (at as u32, self.balancers[at].incarnation);
        let (until, succeeded) = match read {
            Read::Answered(until) => (until, true),
            Read::Failed(until) => (until, false),
        };
        self.event_queue.at(
            until + self.scenario.registry.delay.0,
            Event::QueryCompleted {
                balancer,
                incarnation,
                succeeded,
            },
        );
    }

    pub(super) fn query_completed(&mut self, at: usize, incarnation: u32, succeeded: bool) {
        let (now, tier) = (self.event_queue.now(), self.balancers[at].tier);
        if !self.balancers[at].alive || self.balancers[at].incarnation != incarnation {
            return;
        }
        if !succeeded || self.registry_outages > 0 {
            self.costs.count(now, tier, Cost::FailedReads, at);
            return self.handle_input(at, Input::DiscoveryFailed);
        }
        self.balancers[at].subscribed = true;
        let upto = self.changes.len() as u32;
        if self.balancers[at].applied_changes < upto {
            self.send_update(at, upto);
        } else {
            self.handle_input(
                at,
                Input::EndpointsListed {
                    entries: &[],
                    is_complete: false,
                },
            );
        }
    }
}
