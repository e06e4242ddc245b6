//! Balancer processes: delivers inputs to the agents, executes their commands, and models the network between
//! balancers and upstreams.

use super::*;

impl Simulation<'_> {
    /// Passes an input to a balancer's agent, executes the agent's commands, and schedules its timer.
    pub(super) fn handle_input(&mut self, balancer: usize, input: Input<'_, Ticket, ()>) {
        let local = self.balancers[balancer].local_time(self.event_queue.now());
        self.balancers[balancer].agent.handle(local, input);
        while let Some(command) = self.balancers[balancer].agent.next_command() {
            self.execute(balancer, command);
        }
        let now = self.event_queue.now();
        let state = &mut self.balancers[balancer];
        if let Some(due) = state.agent.wake_at() {
            let due = state.simulated_time(due).max(now + TIMER_GRANULARITY);
            if due < state.planned_tick {
                state.planned_tick = due;
                self.event_queue.at(
                    due,
                    Event::AgentTimer {
                        balancer: balancer as u32,
                        at: due,
                    },
                );
            }
        }
    }

    pub(super) fn agent_timer(&mut self, balancer: usize, planned: Time) {
        if self.balancers[balancer].planned_tick != planned || !self.balancers[balancer].alive {
            return; // superseded by an earlier timer
        }
        if let Some(until) = self.paused_until(balancer) {
            self.balancers[balancer].planned_tick = until;
            return self.event_queue.at(
                until,
                Event::AgentTimer {
                    balancer: balancer as u32,
                    at: until,
                },
            );
        }
        self.balancers[balancer].planned_tick = Time::MAX;
        self.handle_input(balancer, Input::Tick);
    }

    /// Time at which a paused balancer resumes; `None` if it is not paused.
    pub(super) fn paused_until(&self, balancer: usize) -> Option<Time> {
        Some(self.balancers[balancer].resume_at).filter(|&until| until > self.event_queue.now())
    }

    /// Additional time that the auditor allows for answers: a balancer that was paused until recently answers late
    /// because of the pause.
    pub(super) fn pause_grace(&self, now: Time) -> Time {
        if now < self.latest_resume_at.saturating_add(SECOND) {
            self.longest_pause()
        } else {
            0
        }
    }

    /// Duration of the longest pause of balancers in the scenario.
    pub(super) fn longest_pause(&self) -> Time {
        let pause = |fault: &Fault| match fault.kind {
            FaultKind::PauseBalancers => {
                fault
                    .until
                    .map_or(self.scenario.duration.0, |until| until.0)
                    - fault.at.0
            }
            _ => 0,
        };
        self.scenario.fault.iter().map(pause).max().unwrap_or(0)
    }

    pub(super) fn execute(&mut self, balancer: usize, command: Command<Ticket, ()>) {
        match command {
            Command::SendAttempt(send) => self.dispatch(balancer, &send),
            Command::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt),
            Command::Respond {
                request: Ticket(request),
                result,
            } => {
                let now = self.event_queue.now();
                let grace = self.pause_grace(now);
                self.auditor.answered(now, request, &result, grace);
                let Some(known_request) = self.requests.get_mut(request) else {
                    return;
                };
                if std::mem::replace(&mut known_request.answered, true) {
                    return;
                }
                let client_call = known_request.client_call;
                if matches!(result, CallResult::Rejected(_)) {
                    self.costs
                        .count(now, self.balancers[balancer].tier, Cost::Refusals, balancer);
                }
                self.record_trace(client_call, || {
                    let text = call_trace::result_text(&result);
                    format!("balancer {balancer} answers {text}")
                });
                self.client_call_answered(client_call, &result);
                self.forget_request(request);
            }
            Command::CloseIdleConnections(server) => self.close_idle(balancer, server, false),
            Command::RetireConnections(server) => self.close_idle(balancer, server, true),
            Command::Probe(peer) => self.probe(balancer, &peer),
            Command::WatchDiscovery => self.query_registry(balancer),
            Command::Log(line) => self.meter.log_line(&line),
        }
    }

    /// Removes a request once it is answered and has no live attempts.
    pub(super) fn forget_request(&mut self, number: u64) {
        let is_over = |request: &Request| request.answered && request.live_attempts == 0;
        if let Some(client_call) = self
            .requests
            .get(number)
            .filter(|request| is_over(request))
            .map(|request| request.client_call)
        {
            self.requests.take(number);
            if let Some(client_call) = self.client_calls.get_mut(client_call) {
                client_call.open_requests -= 1;
            }
            self.forget_client_call(client_call);
        }
    }

    /// Closes a balancer's idle connections to a server. With `retire`, its busy connections are not reused
    /// either.
    fn close_idle(&mut self, balancer: usize, server: ServerId, retire: bool) {
        let state = &mut self.balancers[balancer];
        let Some(&host) = state.host_by_server.get(server.0 as usize) else {
            return;
        };
        let Some(pool) = state.pools.get_mut(host as usize) else {
            return;
        };
        pool.epoch += u32::from(retire);
        let (closed, process) = (std::mem::take(&mut pool.idle), pool.process);
        self.connections_closed(balancer, host as usize, process, closed);
    }

    /// Accounts for `count` closed connections from a balancer to one process of an upstream.
    pub(super) fn connections_closed(
        &mut self,
        balancer: usize,
        host: usize,
        process: u32,
        count: u16,
    ) {
        let state = &mut self.balancers[balancer];
        state.open_connections = state.open_connections.saturating_sub(u32::from(count));
        if let Some(&upstream) = self.upstream_by_host.get(host) {
            self.upstreams[upstream as usize].disconnect(process, u32::from(count));
        }
    }

    /// Whether a balancer may open another connection. At the limit, the connection that has been idle longest
    /// is closed to make room.
    pub(super) fn make_room_for_connection(&mut self, balancer: usize) -> bool {
        let limit = self.scenario.limits.max_connections;
        if limit == 0
            || self.scenario.limits.http2
            || self.balancers[balancer].open_connections < limit
        {
            return true;
        }
        let pools = self.balancers[balancer].pools.iter_mut().enumerate();
        let longest_idle = pools
            .filter(|(_, pool)| pool.idle > 0)
            .min_by_key(|(_, pool)| pool.idle_since);
        let Some((host, pool)) = longest_idle else {
            return false;
        };
        pool.idle -= 1;
        let process = pool.process;
        self.connections_closed(balancer, host, process, 1);
        true
    }

    /// Number of the host with an address; the low 24 bits of the address are the number.
    pub(super) fn host_by_address(address: SocketAddr) -> u32 {
        match address {
            SocketAddr::V4(address) => u32::from(*address.ip()) & 0x00ff_ffff,
            SocketAddr::V6(_) => 0,
        }
    }

    /// Active link faults on the path from a balancer to an upstream, or, unless `to_upstream`, on the path back.
    fn link_faults(
        &self,
        balancer: usize,
        upstream: usize,
        to_upstream: bool,
    ) -> impl Iterator<Item = &LinkFault> {
        let (now, upstream_zone, balancer_zone) = (
            self.event_queue.now(),
            self.upstreams[upstream].zone,
            self.balancers[balancer].zone,
        );
        let (from, to) = if to_upstream {
            (balancer_zone, upstream_zone)
        } else {
            (upstream_zone, balancer_zone)
        };
        let (from, to) = (self.scenario.zone_name(from), self.scenario.zone_name(to));
        let active_faults = self
            .scenario
            .fault
            .iter()
            .filter(move |fault| fault.is_active(now));
        active_faults.filter_map(move |fault| fault.link(from, to))
    }

    /// Draws whether the network loses a message from a balancer to an upstream, or, unless `to_upstream`, back.
    pub(super) fn is_lost(&mut self, balancer: usize, upstream: usize, to_upstream: bool) -> bool {
        let link_loss = self
            .link_faults(balancer, upstream, to_upstream)
            .map(|link| link.loss)
            .fold(0.0, f64::max);
        let loss = self.scenario.network.loss.max(link_loss);
        chance(&mut self.balancers[balancer].network_rng, loss)
    }

    /// Draws the one-way delay from a balancer to an upstream, or, unless `to_upstream`, back.
    pub(super) fn delay(&mut self, balancer: usize, upstream: usize, to_upstream: bool) -> Time {
        let added_delay: Time = self
            .link_faults(balancer, upstream, to_upstream)
            .map(|link| link.delay.0)
            .sum();
        let (network, upstream) = (&self.scenario.network, &self.upstreams[upstream]);
        let state = &mut self.balancers[balancer];
        let base = if state.zone == upstream.zone {
            network.within_zone
        } else {
            network.between_zones
        };
        let jitter = 1.0 + network.jitter * state.network_rng.random::<f64>();
        (base.0 as f64 * jitter * upstream.active_faults.delay_factor) as Time + added_delay
    }

    /// Whether a partition blocks the path from a balancer to an upstream, or, unless `to_upstream`, the path back.
    pub(super) fn is_partitioned(
        &self,
        balancer: usize,
        upstream: usize,
        to_upstream: bool,
    ) -> bool {
        let zone = self.upstreams[upstream].zone;
        let partitioned = self.balancers[balancer].zone != zone
            && self.partitioned_zones.contains(&(zone, to_upstream));
        partitioned
            || self
                .link_faults(balancer, upstream, to_upstream)
                .any(|link| link.partitioned)
    }

    /// Number of the latest request whose low 32 bits are the balancer's request id.
    pub(super) fn request_by_id(&self, id: RequestId) -> u64 {
        let next_key = self.requests.next_key();
        let high = next_key & !0xffff_ffff;
        let request = high | u64::from(id.0);
        if request >= next_key {
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

    /// Removes an attempt once it has ended both at its balancer and at its upstream.
    pub(super) fn forget_attempt(&mut self, number: u64) {
        let is_over = |attempt: &Attempt| !attempt.end_pending && !attempt.in_progress;
        let Some(attempt) = self.attempts.get(number).filter(|attempt| is_over(attempt)) else {
            return;
        };
        let request = attempt.request;
        self.attempts.take(number);
        self.auditor.attempt_over(self.event_queue.now(), request);
        if let Some(known_request) = self.requests.get_mut(request) {
            known_request.live_attempts -= 1;
        }
        self.forget_request(request);
    }

    /// Ends an attempt that the balancer's agent has cancelled.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let request = self.request_by_id(id);
        let pending_attempt = self.requests.get(request).and_then(|request| {
            let mut pending_attempts = request.pending_attempts.iter();
            pending_attempts.find(|(number, _)| *number == attempt)
        });
        if let Some(&(_, number)) = pending_attempt {
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
        let (request, balancer, attempt_number) =
            (attempt.request, attempt.balancer as usize, attempt.number);
        let latency = self.event_queue.now() - attempt.sent_at;
        let mut client_call = 0;
        if let Some(known_request) = self.requests.get_mut(request) {
            known_request
                .pending_attempts
                .retain(|(_, pending)| *pending != number);
            client_call = known_request.client_call;
        }
        self.release_connection(number, outcome);
        self.record_trace(client_call, || {
            format!(
                "balancer {balancer} has {} for attempt {attempt_number} after {:.1} ms",
                call_trace::outcome_text(outcome),
                latency as f64 / 1e6
            )
        });
        if self.balancers[balancer].alive {
            let end = AttemptEnd {
                outcome,
                response: (outcome == Outcome::Ok).then_some(()),
                load: None,
            };
            let input = Input::AttemptEnded {
                id: RequestId(request as u32),
                attempt: attempt_number,
                end,
            };
            self.handle_input(balancer, input);
        }
        self.forget_attempt(number);
    }

    /// Returns an attempt's connection to the pool if a complete response came from the process that the
    /// attempt was sent to; closes the connection otherwise.
    fn release_connection(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(number) else {
            return;
        };
        let (balancer, host) = (attempt.balancer as usize, attempt.host as usize);
        let (process, epoch, holds_connection) =
            (attempt.process, attempt.epoch, attempt.holds_connection);
        let is_complete = matches!(
            outcome,
            Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Declined
        );
        let is_same_process = self.upstreams[attempt.upstream as usize].process == process;
        let (now, http2) = (self.event_queue.now(), self.scenario.limits.http2);
        if let Some(pool) = self.balancers[balancer].pools.get_mut(host)
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
        } else if holds_connection {
            self.connections_closed(balancer, host, process, 1);
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
