//! Sends an attempt from a balancer: costs, connection, and path to the upstream.

use super::*;

/// Connection that an attempt is sent on.
struct Outgoing {
    /// Epoch of the balancer's connection pool for the host.
    epoch: u32,
    /// The connection was open before.
    reused: bool,
    /// The connection is open, or the balancer may open another one.
    available: bool,
    /// The upstream accepts no more connections.
    refused: bool,
}

/// Fate of an attempt on the network. Times are nanoseconds after the send.
enum Transit {
    /// The attempt is lost; the balancer is not notified.
    Lost,
    /// The balancer learns of a failure after this time.
    Failed(Time, Outcome),
    /// The attempt reaches the upstream after this time.
    Arrives(Time),
}

impl Simulation<'_> {
    /// Sends an attempt that a balancer's agent asked for.
    pub(super) fn dispatch(&mut self, balancer: usize, send: &SendAttempt) {
        let now = self.event_queue.now();
        let host = Self::host_by_address(send.to.address);
        let request = self.request_by_id(send.id);
        self.auditor.sent(now, request, balancer, host);
        let Some(&upstream) = self.upstream_by_host.get(host as usize) else {
            return;
        };
        let upstream = upstream as usize;
        let Some(known_request) = self.requests.get_mut(request) else {
            return;
        };
        known_request.live_attempts += 1;
        let client_call = known_request.client_call;
        self.count_attempt(balancer, upstream, host, send.attempt);
        let server = send.to.server.0 as usize;
        let outgoing = self.open_connection(balancer, upstream, host, server);
        let number = self.attempts.add(Attempt {
            request,
            number: send.attempt,
            balancer: balancer as u32,
            upstream: upstream as u32,
            host,
            process: self.upstreams[upstream].process,
            epoch: outgoing.epoch,
            end_pending: true,
            in_progress: true,
            holds_connection: outgoing.available && !outgoing.refused,
            new_connection: !outgoing.reused,
            open_downstream_calls: 0,
            downstream_failed: false,
            sent_at: now,
        });
        if let Some(known_request) = self.requests.get_mut(request) {
            known_request.pending_attempts.push((send.attempt, number));
        }
        let name = &self.upstreams[upstream].name;
        let text = format!(
            "balancer {balancer} sends attempt {} to {name} (host {host})",
            send.attempt
        );
        self.record_trace(client_call, || text);
        let expires_at = self.balancers[balancer].simulated_time(send.until);
        self.event_queue
            .at(expires_at, Event::AttemptExpired(number));
        let transit = if outgoing.available {
            self.transit(balancer, upstream, client_call, &outgoing)
        } else {
            Transit::Failed(0, Outcome::Moot)
        };
        self.schedule_transit(number, transit);
    }

    /// Counts an attempt and its costs.
    fn count_attempt(&mut self, balancer: usize, upstream: usize, host: u32, attempt: u32) {
        let (now, tier) = (self.event_queue.now(), self.balancers[balancer].tier);
        let crosses_zones = self.balancers[balancer].zone != self.upstreams[upstream].zone;
        self.meter.sent(attempt, crosses_zones, host);
        if attempt > 0 {
            self.costs.count(now, tier, Cost::Retries, balancer);
        }
        if crosses_zones {
            self.costs
                .count(now, tier, Cost::CrossZoneAttempts, balancer);
        }
    }

    /// Takes an idle connection to the upstream or opens a new one. `server` is the balancer's own number for
    /// the upstream.
    fn open_connection(
        &mut self,
        balancer: usize,
        upstream: usize,
        host: u32,
        server: usize,
    ) -> Outgoing {
        self.remember_host(balancer, host, server);
        let (epoch, reused) = self.take_idle(balancer, upstream, host as usize);
        let available = reused || self.make_room_for_connection(balancer);
        let refused = !reused && available && self.connect(balancer, upstream);
        Outgoing {
            epoch,
            reused,
            available,
            refused,
        }
    }

    /// Records the host of a balancer's server, and provides the connection pool for the host.
    fn remember_host(&mut self, balancer: usize, host: u32, server: usize) {
        let state = &mut self.balancers[balancer];
        if state.pools.len() <= host as usize {
            let host_count = self.upstream_by_host.len().max(host as usize + 1);
            state.pools.resize(host_count, ConnectionPool::default());
        }
        if state.host_by_server.len() <= server {
            state.host_by_server.resize(server + 1, u32::MAX);
        }
        state.host_by_server[server] = host;
    }

    /// Takes an idle connection to the present process if it is younger than the idle timeout, and closes
    /// expired ones. Returns the pool's epoch and whether a connection was reused.
    fn take_idle(&mut self, balancer: usize, upstream: usize, host: usize) -> (u32, bool) {
        let now = self.event_queue.now();
        let (alive, process) = (
            self.upstreams[upstream].alive,
            self.upstreams[upstream].process,
        );
        let pool = &mut self.balancers[balancer].pools[host];
        let (mut closed, former_process) = (0, pool.process);
        if pool.process != process {
            closed = pool.idle;
            *pool = ConnectionPool {
                epoch: pool.epoch + 1,
                process,
                idle: 0,
                idle_since: 0,
            };
        }
        let is_unexpired =
            pool.idle > 0 && now - pool.idle_since < self.scenario.limits.idle_timeout.0;
        let reused = is_unexpired && alive;
        if reused && !self.scenario.limits.http2 {
            pool.idle -= 1;
        } else if !is_unexpired {
            closed += std::mem::take(&mut pool.idle);
        }
        let epoch = pool.epoch;
        self.connections_closed(balancer, host, former_process, closed);
        (epoch, reused)
    }

    /// Opens a connection; returns `true` if the upstream refuses it.
    fn connect(&mut self, balancer: usize, upstream: usize) -> bool {
        let (now, tier) = (self.event_queue.now(), self.balancers[balancer].tier);
        self.balancers[balancer].open_connections += 1;
        let refused = self.upstreams[upstream].alive && !self.upstreams[upstream].connect();
        let cost = if refused {
            Cost::ConnectionsRefused
        } else {
            Cost::Handshakes
        };
        self.costs.count(now, tier, cost, balancer);
        if refused {
            self.balancers[balancer].open_connections -= 1; // a refused connection does not count as open
        }
        refused
    }

    /// Draws the fate of an attempt on the network. A stale list may name a process that has been replaced; the
    /// process that listens at the address receives the request.
    fn transit(
        &mut self,
        balancer: usize,
        upstream: usize,
        client_call: u64,
        outgoing: &Outgoing,
    ) -> Transit {
        let scenario = self.scenario;
        let delay = self.delay(balancer, upstream, true);
        let lost = self.is_lost(balancer, upstream, true);
        let reset = chance(
            &mut self.balancers[balancer].network_rng,
            scenario.network.resets,
        );
        let round_trips = Time::from(
            scenario.tier[self.balancers[balancer].tier]
                .connections
                .handshake_round_trips,
        );
        let handshake = if outgoing.reused {
            0
        } else {
            2 * delay * round_trips
        };
        let unreachable = lost
            || self.is_partitioned(balancer, upstream, true)
            || !outgoing.reused && self.is_partitioned(balancer, upstream, false);
        if unreachable && !outgoing.reused {
            Transit::Failed(scenario.limits.connect_timeout.0, Outcome::ConnectFailed)
        } else if unreachable {
            Transit::Lost
        } else if !self.upstreams[upstream].alive || outgoing.refused {
            Transit::Failed(2 * delay, Outcome::ConnectFailed)
        } else if reset {
            Transit::Failed(handshake + delay, Outcome::Reset)
        } else {
            Transit::Arrives(handshake + delay + self.body_time(client_call))
        }
    }

    /// Transfer time of a call's body, in nanoseconds.
    fn body_time(&self, client_call: u64) -> Time {
        let rate = self.scenario.network.bytes_per_second;
        if rate <= 0.0 {
            return 0;
        }
        let call = self.client_calls.get(client_call);
        let bytes = call.map_or(0.0, |call| self.scenario.class[call.class].bytes);
        (bytes / rate * 1e9) as Time
    }

    fn schedule_transit(&mut self, attempt: u64, transit: Transit) {
        match transit {
            Transit::Lost => self.drop_attempt(attempt),
            Transit::Failed(after, outcome) => {
                self.drop_attempt(attempt);
                let event = Event::ResponseArrived { attempt, outcome };
                self.event_queue.after(after, event);
            }
            Transit::Arrives(after) => self
                .event_queue
                .after(after, Event::AttemptArrived(attempt)),
        }
    }
}
