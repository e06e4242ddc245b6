//! The registry: changes of the upstream list, and their distribution to the balancers.

use super::*;

impl Simulation<'_> {
    /// Start time of an upstream's process in milliseconds of Unix time; 0 if the process was warm from the start of
    /// the run.
    pub(super) fn boot_ms(upstream: &Upstream) -> u64 {
        upstream.started.map_or(0, |started| (EPOCH + started) / MS)
    }

    /// Entry of an upstream in the list that balancers receive.
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

    /// Records a change of the upstream list, and publishes it unless the registry is down.
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
        let change_count = self.changes.len() as u32;
        for balancer in 0..self.balancers.len() {
            if self.balancers[balancer].subscribed {
                self.send_update(balancer, change_count);
            }
        }
    }

    /// Sends a balancer an update with the first `change_count` changes.
    pub(super) fn send_update(&mut self, balancer: usize, change_count: u32) {
        let (now, registry) = (self.event_queue.now(), &self.scenario.registry);
        let state = &mut self.balancers[balancer];
        let jitter = (state.registry_rng.random::<f64>() * registry.jitter.0 as f64) as Time;
        // Updates stay in order: none arrives before an earlier one.
        let latest = state.updates.back().map_or(0, |update| update.arrives_at);
        let arrives_at = latest.max(now + registry.delay.0 + jitter);
        match state.updates.back_mut() {
            Some(last) if last.arrives_at == arrives_at => last.change_count = change_count,
            _ => {
                state.updates.push_back(ListUpdate {
                    arrives_at,
                    change_count,
                });
                self.event_queue.at(
                    arrives_at,
                    Event::RegistryUpdate {
                        balancer: balancer as u32,
                        incarnation: state.incarnation,
                    },
                );
            }
        }
    }

    /// Applies the updates of the upstream list that have reached a balancer by now.
    pub(super) fn registry_updated(&mut self, event: Event, balancer: usize, incarnation: u32) {
        if !self.balancers[balancer].alive || self.balancers[balancer].incarnation != incarnation {
            return;
        }
        if let Some(until) = self.paused_until(balancer) {
            return self.event_queue.at(until, event);
        }
        let now = self.event_queue.now();
        let state = &mut self.balancers[balancer];
        let (already_applied, tier) = (state.applied_changes, state.tier);
        while let Some(update) = state
            .updates
            .front()
            .filter(|update| update.arrives_at <= now)
        {
            state.applied_changes = state.applied_changes.max(update.change_count);
            state.updates.pop_front();
        }
        let change_count = state.applied_changes;
        if already_applied >= change_count {
            return;
        }
        let mut entries = Vec::new();
        for change in &self.changes[already_applied as usize..change_count as usize] {
            let upstream = &self.upstreams[change.upstream as usize];
            if upstream.tier == tier {
                entries.push(self.entry(change.upstream, change.lifecycle, change.boot_ms));
                let ready = change.lifecycle == Lifecycle::Ready;
                self.auditor
                    .notified(now, balancer, upstream.host, change.boot_ms, ready);
            }
        }
        if !entries.is_empty() {
            self.handle_input(
                balancer,
                Input::EndpointsListed {
                    entries: &entries,
                    is_complete: false,
                },
            );
        }
    }

    /// Gives a balancer the complete list as it was `list_age` ago, and sends the later changes as an update.
    pub(super) fn send_full_list(&mut self, balancer: usize, list_age: Time) {
        let now = self.event_queue.now();
        let tier = self.balancers[balancer].tier;
        let list_time = now.saturating_sub(list_age);
        let listed_changes = self
            .changes
            .partition_point(|change| change.at <= list_time);
        let mut entry_states: Vec<Option<(Lifecycle, u64)>> = Vec::new();
        // Upstreams that exist from the start; later ones appear in the changes.
        let initial_count: u32 = self.scenario.tier.iter().map(|tier| tier.upstreams).sum();
        for upstream in 0..self.upstreams.len() {
            let cold = self.scenario.tier[self.upstreams[upstream].tier].cold;
            let boot_ms = if cold { EPOCH / MS } else { 0 };
            let is_initial = (upstream as u32) < initial_count;
            entry_states.push(is_initial.then_some((Lifecycle::Ready, boot_ms)));
        }
        for change in &self.changes[..listed_changes] {
            entry_states[change.upstream as usize] = Some((change.lifecycle, change.boot_ms));
        }
        let listed = entry_states
            .iter()
            .enumerate()
            .filter_map(|(upstream, state)| Some((upstream as u32, (*state)?)));
        let listed = listed.filter(|(upstream, (lifecycle, _))| {
            self.upstreams[*upstream as usize].tier == tier && *lifecycle != Lifecycle::Removed
        });
        let entries: Vec<_> = listed
            .map(|(upstream, (lifecycle, boot_ms))| self.entry(upstream, lifecycle, boot_ms))
            .collect();
        self.balancers[balancer].applied_changes = listed_changes as u32;
        self.handle_input(
            balancer,
            Input::EndpointsListed {
                entries: &entries,
                is_complete: true,
            },
        );
        let change_count = self.changes.len() as u32;
        if change_count > listed_changes as u32
            && self.registry_outages == 0
            && self.balancers[balancer].subscribed
        {
            self.send_update(balancer, change_count);
        }
    }

    /// Reads the list from discovery for a balancer, and subscribes the balancer to changes.
    pub(super) fn query_registry(&mut self, balancer: usize) {
        let (now, tier) = (self.event_queue.now(), self.balancers[balancer].tier);
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        let read = discovery.read(now);
        self.costs.count(now, tier, Cost::Reads, balancer);
        let incarnation = self.balancers[balancer].incarnation;
        let (completed_at, succeeded) = match read {
            Read::Answered(answered_at) => (answered_at, true),
            Read::Failed(failed_at) => (failed_at, false),
        };
        self.event_queue.at(
            completed_at + self.scenario.registry.delay.0,
            Event::QueryCompleted {
                balancer: balancer as u32,
                incarnation,
                succeeded,
            },
        );
    }

    /// Handles the end of a balancer's read: the balancer receives the changes that it does not know yet, or the
    /// failure.
    pub(super) fn query_completed(&mut self, balancer: usize, incarnation: u32, succeeded: bool) {
        let (now, tier) = (self.event_queue.now(), self.balancers[balancer].tier);
        if !self.balancers[balancer].alive || self.balancers[balancer].incarnation != incarnation {
            return;
        }
        if !succeeded || self.registry_outages > 0 {
            self.costs.count(now, tier, Cost::FailedReads, balancer);
            return self.handle_input(balancer, Input::DiscoveryFailed);
        }
        self.balancers[balancer].subscribed = true;
        let change_count = self.changes.len() as u32;
        if self.balancers[balancer].applied_changes < change_count {
            self.send_update(balancer, change_count);
        } else {
            self.handle_input(
                balancer,
                Input::EndpointsListed {
                    entries: &[],
                    is_complete: false,
                },
            );
        }
    }
}
