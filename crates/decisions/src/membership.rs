//! Server table and pools, which follow the server list of discovery.

use crate::api::{Lifecycle, ServerEntry, ServerId};
use crate::balancer::{Balancer, ListKind};
use crate::state::{CircuitBreaker, Pool, Server, ServerIndex, TrafficShare, pools_of};
use std::collections::HashSet;

impl Balancer {
    /// Applies a complete server list or changes to it.
    pub(crate) fn on_server_list(&mut self, entries: &[ServerEntry], kind: ListKind) {
        if kind == ListKind::Complete {
            self.server_indices
                .values()
                .for_each(|&index| self.servers[index].removed = true);
            self.servers
                .iter_mut()
                .for_each(|server| server.ready = false);
        }
        entries.iter().for_each(|entry| self.update_server(entry));
        self.forget_removed();
        self.rebuild_pools();
        self.subscribe_first_time();
    }

    fn update_server(&mut self, entry: &ServerEntry) {
        let removed = entry.lifecycle == Lifecycle::Removed;
        let index = match self.server_indices.get(&entry.server) {
            Some(&index) => index,
            None if removed => return,
            None => self.add_server(entry.server),
        };
        let server = &mut self.servers[index];
        server.removed = removed;
        server.zone = usize::from(entry.zone.0).min(self.settings.zones);
        server.cell = entry.cell;
        server.ready = entry.lifecycle == Lifecycle::Ready;
        let size = f64::from(entry.size);
        server.size = if size.is_finite() && size > 0.0 {
            size
        } else {
            1.0
        };
        if entry.started.is_some() && entry.started != server.started_at {
            self.reset_for_new_process(index);
        }
        self.servers[index].started_at = entry.started;
    }

    /// Resets the state of a server whose process was replaced, since failures and connections of
    /// the old process do not apply to the new one. The slow-start budget begins at a random value,
    /// so that not all balancers send their first call to the new process at once.
    fn reset_for_new_process(&mut self, index: ServerIndex) {
        let server = &mut self.servers[index];
        server.breaker = CircuitBreaker::default();
        server.traffic_share = TrafficShare::default();
        server.slow_start_budget = self.rng.f64();
        server.slow_start_budget_at = self.now;
        server.slowness = 1.0;
        server.open_connections = server.in_flight;
        server.connection_limit = None;
    }

    fn add_server(&mut self, id: ServerId) -> ServerIndex {
        // The random key gives each balancer its own round-robin order, so that balancers that skip
        // a server do not all move on to the same next server.
        let (round_robin_key, turn_credit) = (self.rng.u64(..), self.rng.f64());
        let server = Server {
            id,
            round_robin_key,
            turn_credit,
            slowness: 1.0,
            ..Server::default()
        };
        let index = self.free_indices.pop().unwrap_or(self.servers.len());
        match self.servers.get_mut(index) {
            Some(place) => *place = server,
            None => self.servers.push(server),
        }
        self.server_indices.insert(id, index);
        index
    }

    /// Frees the entries of removed servers, except those with an attempt in flight and those that
    /// define the deduplication scope of a keyed request. This bounds the memory, and the time to
    /// process a list, if servers are continually replaced.
    fn forget_removed(&mut self) {
        if self.servers.iter().all(|server| !server.removed) {
            return;
        }
        let needed = self.referenced_servers();
        for (index, server) in self.servers.iter_mut().enumerate() {
            if server.removed && !needed.contains(&index) {
                self.server_indices.remove(&server.id);
                *server = Server::default();
                self.free_indices.push(index);
            }
        }
    }

    /// The servers to which pending requests and load comparisons refer.
    fn referenced_servers(&self) -> HashSet<ServerIndex> {
        let comparisons = self.comparisons.values();
        let waiting_for_reports = comparisons.clone().map(|comparison| &comparison.request);
        let requests = self.requests.values().chain(waiting_for_reports);
        let sent = requests
            .flat_map(|request| [request.last_attempt, request.may_have_run])
            .flatten();
        let candidates = comparisons.flat_map(|comparison| &comparison.candidates);
        sent.map(|attempt| attempt.server)
            .chain(candidates.map(|it| it.server))
            .collect()
    }

    fn rebuild_pools(&mut self) {
        let is_ready = |&index: &ServerIndex| self.servers[index].ready;
        let mut ready: Vec<_> = (0..self.servers.len()).filter(is_ready).collect();
        ready.sort_by_key(|&index| self.servers[index].round_robin_key);
        self.pools.iter_mut().for_each(Pool::clear);
        for index in ready {
            let (server, window) = (&self.servers[index], self.settings.slow_start_window);
            pools_of(&mut self.pools, server.zone).for_each(|pool| pool.add(index, server, window));
        }
    }
}
