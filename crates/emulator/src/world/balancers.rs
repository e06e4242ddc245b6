//! Balancer processes: delivers inputs to the agents, executes their commands, and models the network between
//! balancers and upstreams.

use super::*;

impl Simulation<'_> {
    pub(super) fn handle_input(&mut self, at: usize, input: Input<'_, Ticket, ()>) {
        let local = self.balancers[at].local_time(self.event_queue.now());
        self.balancers[at].agent.handle(local, input);
        while let Some(command) = self.balancers[at].agent.next_command() {
            self.execute(at, command);
        }
        let now = self.event_queue.now();
        let balancer = &mut self.balancers[at];
        if let Some(due) = balancer.agent.wake_at() {
            let due = balancer.simulated_time(due).max(now + TIMER_GRANULARITY);
            if due < balancer.planned_tick {
                balancer.planned_tick = due;
                self.event_queue.at(
                    due,
                    Event::AgentTimer {
                        balancer: at as u32,
                        at: due,
                    },
                );
            }
        }
    }

    pub(super) fn agent_timer(&mut self, at: usize, planned: Time) {
        if self.balancers[at].planned_tick != planned || !self.balancers[at].alive {
            return; // superseded by an earlier timer
        }
        if let Some(until) = self.paused_until(at) {
            self.balancers[at].planned_tick = until;
            let balancer = at as u32;
            return self.event_queue.at(
                until,
                Event::AgentTimer {
                    balancer,
                    at: until,
                },
            );
        }
        self.balancers[at].planned_tick = Time::MAX;
        self.handle_input(at, Input::Tick);
    }

    pub(super) fn paused_until(&self, at: usize) -> Option<Time> {
        Some(self.balancers[at].resume_at).filter(|&until| until > self.event_queue.now())
    }

    pub(super) fn pause_grace(&self, now: Time) -> Time {
        // A balancer that was paused until recently answers late because of the pause.
        if now < self.latest_resume_at.saturating_add(SECOND) {
            self.longest_pause()
        } else {
            0
        }
    }

    pub(super) fn longest_pause(&self) -> Time {
        let longest = |fault: &Fault| match fault.kind {
            FaultKind::PauseBalancers => {
                fault
                    .until
                    .map_or(self.scenario.duration.0, |until| until.0)
                    - fault.at.0
            }
            _ => 0,
        };
        self.scenario.fault.iter().map(longest).max().unwrap_or(0)
    }

    pub(super) fn execute(&mut self, at: usize, command: Command<Ticket, ()>) {
        match command {
            Command::SendAttempt(send) => self.dispatch(at, &send),
            Command::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt),
            Command::Respond {
                request: Ticket(request),
                result: verdict,
            } => {
                let now = self.event_queue.now();
                let grace = self.pause_grace(now);
                self.auditor.answered(now, request, &verdict, grace);
                let Some(known) = self.requests.get_mut(request) else {
                    return;
                };
                if std::mem::replace(&mut known.answered, true) {
                    return;
                }
                let client_call = known.client_call;
                if matches!(verdict, CallResult::Rejected(_)) {
                    self.costs
                        .count(now, self.balancers[at].tier, Cost::Refusals, at);
                }
                self.record_trace(client_call, || {
                    let text = call_trace::result_text(&verdict);
                    format!("balancer {at} answers {text}")
                });
                self.client_call_answered(client_call, &verdict);
                self.forget_request(request);
            }
            Command::CloseIdleConnections(server) => self.close_idle(at, server, false),
            Command::RetireConnections(server) => self.close_idle(at, server, true),
            Command::Probe(peer) => self.probe(at, &peer),
            Command::WatchDiscovery => self.query_registry(at),
            Command::Log(line) => self.meter.log_line(&line),
        }
    }

    pub(super) fn forget_request(&mut self, request: u64) {
        let over = |request: &Request| request.answered && request.live_attempts == 0;
        if let Some(client_call) = self
            .requests
            .get(request)
            .filter(|r| over(r))
            .map(|r| r.client_call)
        {
            self.requests.take(request);
            if let Some(client_call) = self.client_calls.get_mut(client_call) {
                client_call.open_requests -= 1;
            }
            self.forget_client_call(client_call);
        }
    }

    /// Closes a balancer's idle connections to a server. With `retire`, its busy connections are not reused
    /// either.
    fn close_idle(&mut self, at: usize, server: ServerId, retire: bool) {
        let balancer = &mut self.balancers[at];
        let Some(&host) = balancer.host_by_server.get(server.0 as usize) else {
            return;
        };
        let Some(links) = balancer.pools.get_mut(host as usize) else {
            return;
        };
        links.epoch += u32::from(retire);
        let (closed, process) = (std::mem::take(&mut links.idle), links.process);
        self.connections_closed(at, host as usize, process, closed);
    }

    /// Accounts for `count` closed connections from a balancer to one process of an upstream.
    pub(super) fn connections_closed(&mut self, at: usize, host: usize, process: u32, count: u16) {
        let balancer = &mut self.balancers[at];
        balancer.open_connections = balancer.open_connections.saturating_sub(u32::from(count));
        if let Some(&upstream) = self.upstream_by_host.get(host) {
            self.upstreams[upstream as usize].disconnect(process, u32::from(count));
        }
    }

    /// Whether a balancer may open another connection. At the limit, the connection that has been idle longest
    /// is closed to make room.
    pub(super) fn make_room_for_connection(&mut self, at: usize) -> bool {
        let most = self.scenario.limits.max_connections;
        if most == 0 || self.scenario.limits.http2 || self.balancers[at].open_connections < most {
            return true;
        }
        let links = self.balancers[at].pools.iter_mut().enumerate();
        let idle = links
            .filter(|(_, links)| links.idle > 0)
            .min_by_key(|(_, links)| links.idle_since);
        let Some((host, links)) = idle else {
            return false;
        };
        links.idle -= 1;
        let process = links.process;
        self.connections_closed(at, host, process, 1);
        true
    }

    pub(super) fn host_by_address(address: SocketAddr) -> u32 {
        match address {
            SocketAddr::V4(address) => u32::from(*address.ip()) & 0x00ff_ffff,
            SocketAddr::V6(_) => 0,
        }
    }

    /// Active link faults on the path from a balancer to an upstream, or, unless `to`, on the path back.
    fn link_faults(
        &self,
        at: usize,
        upstream: usize,
        to: bool,
    ) -> impl Iterator<Item = &LinkFault> {
        let (now, there, here) = (
            self.event_queue.now(),
            self.upstreams[upstream].zone,
            self.balancers[at].zone,
        );
        let (from, into) = if to { (here, there) } else { (there, here) };
        let (from, into) = (self.scenario.zone_name(from), self.scenario.zone_name(into));
        let in_force = self
            .scenario
            .fault
            .iter()
            .filter(move |fault| fault.is_active(now));
        in_force.filter_map(move |fault| fault.link(from, into))
    }

    /// Draws whether the network loses a message.
    pub(super) fn is_lost(&mut self, at: usize, upstream: usize, to: bool) -> bool {
        let link = self
            .link_faults(at, upstream, to)
            .map(|link| link.loss)
            .fold(0.0, f64::max);
        let loss = self.scenario.network.loss.max(link);
        chance(&mut self.balancers[at].network_rng, loss)
    }

    pub(super) fn delay(&mut self, at: usize, upstream: usize, to: bool) -> Time {
        let more: Time = self
            .link_faults(at, upstream, to)
            .map(|link| link.delay.0)
            .sum();
        let (network, upstream) = (&self.scenario.network, &self.upstreams[upstream]);
        let balancer = &mut self.balancers[at];
        let base = if balancer.zone == upstream.zone {
            network.within_zone
        } else {
            network.between_zones
        };
        let jitter = 1.0 + network.jitter * balancer.network_rng.random::<f64>();
        (base.0 as f64 * jitter * upstream.active_faults.delay_factor) as Time + more
    }

    /// Whether a partition blocks the path from a balancer to an upstream, or, unless `to`, the path back.
    pub(super) fn is_partitioned(&self, at: usize, upstream: usize, to: bool) -> bool {
        let zone = self.upstreams[upstream].zone;
        let partitioned =
            self.balancers[at].zone != zone && self.partitioned_zones.contains(&(zone, to));
        partitioned
            || self
                .link_faults(at, upstream, to)
                .any(|link| link.partitioned)
    }

    /// Number of the latest request whose low 32 bits are the balancer's request id.
    pub(super) fn request_by_id(&self, id: RequestId) -> u64 {
        let next = self.requests.next();
        let high = next & !0xffff_ffff;
        let request = high | u64::from(id.0);
        if request >= next {
            request.wrapping_sub(1 << 32)
        } else {
            request
        }
    }

    /// Marks an attempt as finished at the upstream and on the network. Its balancer may still be waiting for
    /// it.
    pub(super) fn drop_attempt(&mut self, number: u64) {
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.in_progress = false;
        }
        self.forget_attempt(number);
    }

    pub(super) fn forget_attempt(&mut self, number: u64) {
        let over = |attempt: &Attempt| !attempt.end_pending && !attempt.in_progress;
        let Some(attempt) = self.attempts.get(number).filter(|attempt| over(attempt)) else {
            return;
        };
        let request = attempt.request;
        self.attempts.take(number);
        self.auditor.attempt_over(self.event_queue.now(), request);
        if let Some(known) = self.requests.get_mut(request) {
            known.live_attempts -= 1;
        }
        self.forget_request(request);
    }

    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let request = self.request_by_id(id);
        let out = self
            .requests
            .get(request)
            .and_then(|r| r.pending_attempts.iter().find(|(n, _)| *n == attempt));
        if let Some(&(_, number)) = out {
            self.end_attempt(number, Outcome::Cancelled);
        }
    }

    /// Reports the outcome of an attempt to its balancer, at most once.
    pub(super) fn end_attempt(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self
            .attempts
            .get_mut(number)
            .filter(|attempt| attempt.end_pending)
        else {
            return;
        };
        attempt.end_pending = false;
        let (request, at, tries) = (attempt.request, attempt.balancer as usize, attempt.number);
        let took = self.event_queue.now() - attempt.sent_at;
        let mut client_call = 0;
        if let Some(known) = self.requests.get_mut(request) {
            known.pending_attempts.retain(|(_, out)| *out != number);
            client_call = known.client_call;
        }
        self.release_connection(number, outcome);
        self.record_trace(client_call, || {
            format!(
                "balancer {at} has {} for attempt {tries} after {:.1} ms",
                call_trace::outcome_text(outcome),
                took as f64 / 1e6
            )
        });
        if self.balancers[at].alive {
            let end = AttemptEnd {
                outcome,
                response: (outcome == Outcome::Ok).then_some(()),
                load: None,
            };
            let input = Input::AttemptEnded {
                id: RequestId(request as u32),
                attempt: tries,
                end,
            };
            self.handle_input(at, input);
        }
        self.forget_attempt(number);
    }

    /// Returns an attempt's connection to the pool if a complete response came from the process that the
    /// attempt was sent to; closes the connection otherwise.
    fn release_connection(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(number) else {
            return;
        };
        let (at, host) = (attempt.balancer as usize, attempt.host as usize);
        let (process, epoch, socket) = (attempt.process, attempt.epoch, attempt.holds_connection);
        let is_complete = matches!(
            outcome,
            Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Declined
        );
        let is_same_process = self.upstreams[attempt.upstream as usize].process == process;
        let (now, http2) = (self.event_queue.now(), self.scenario.limits.http2);
        if let Some(pool) = self.balancers[at].pools.get_mut(host)
            && is_complete
            && is_same_process
            && pool.epoch == epoch
            && pool.process == process
        {
            pool.idle = if http2 {
                1
            } else {
                pool.idle.saturating_add(1)
            };
            pool.idle_since = now;
        } else if socket {
            self.connections_closed(at, host, process, 1);
        }
    }

    pub(super) fn response_arrived(&mut self, event: Event, number: u64, outcome: Outcome) {
        let Some(attempt) = self
            .attempts
            .get(number)
            .filter(|attempt| attempt.end_pending)
        else {
            return self.drop_attempt(number);
        };
        if let Some(until) = self.paused_until(attempt.balancer as usize) {
            return self.event_queue.at(until, event);
        }
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.in_progress = false;
        }
        self.end_attempt(number, outcome);
    }

    pub(super) fn attempt_expired(&mut self, event: Event, number: u64) {
        let Some(attempt) = self
            .attempts
            .get(number)
            .filter(|attempt| attempt.end_pending)
        else {
            return;
        };
        if let Some(until) = self.paused_until(attempt.balancer as usize) {
            return self.event_queue.at(until, event);
        }
        self.end_attempt(number, Outcome::Timeout);
    }
}
