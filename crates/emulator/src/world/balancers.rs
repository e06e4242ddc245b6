//! Balancers' processes: what their agents are told and what they do, up to the network between them and the upstreams.

use super::*;

impl Simulation<'_> {
    pub(super) fn handle_input(&mut self, at: usize, input: Input<'_, Ticket, ()>) {
        let local = self.balancers[at].local(self.event_queue.now());
        self.balancers[at].agent.handle(local, input);
        while let Some(command) = self.balancers[at].agent.next_command() {
            self.execute(at, command);
        }
        let now = self.event_queue.now();
        let balancer = &mut self.balancers[at];
        if let Some(due) = balancer.agent.wake_at() {
            let due = balancer.world(due).max(now + RING);
            if due < balancer.planned {
                balancer.planned = due;
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
        if self.balancers[at].planned != planned || !self.balancers[at].alive {
            return; // an earlier one was planned since
        }
        if let Some(until) = self.paused_until(at) {
            self.balancers[at].planned = until;
            let balancer = at as u32;
            return self.event_queue.at(
                until,
                Event::AgentTimer {
                    balancer,
                    at: until,
                },
            );
        }
        self.balancers[at].planned = Time::MAX;
        self.handle_input(at, Input::Tick);
    }

    pub(super) fn paused_until(&self, at: usize) -> Option<Time> {
        Some(self.balancers[at].stalled_until).filter(|&until| until > self.event_queue.now())
    }

    pub(super) fn stall_grace(&self, now: Time) -> Time {
        // Whoever stood still until lately answers late for that reason.
        if now < self.stalled.saturating_add(SECOND) {
            self.stalled_most()
        } else {
            0
        }
    }

    pub(super) fn stalled_most(&self) -> Time {
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
            Command::CancelAttempt { id, attempt } => self.withdraw(id, attempt),
            Command::Respond {
                request: Ticket(request),
                result: verdict,
            } => {
                let now = self.event_queue.now();
                let grace = self.stall_grace(now);
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
                        .pay(now, self.balancers[at].tier, Cost::Refusals, at);
                }
                self.record_story(client_call, || {
                    let text = story::result_text(&verdict);
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
        let over = |request: &Request| request.answered && request.attempts == 0;
        if let Some(client_call) = self
            .requests
            .get(request)
            .filter(|r| over(r))
            .map(|r| r.client_call)
        {
            self.requests.take(request);
            if let Some(client_call) = self.client_calls.get_mut(client_call) {
                client_call.requests -= 1;
            }
            self.forget_client_call(client_call);
        }
    }

    /// The idle connections of a balancer to one that it has sent to are closed; `retire`: what is busy is not used
    /// again either.
    fn close_idle(&mut self, at: usize, server: ServerId, retire: bool) {
        let balancer = &mut self.balancers[at];
        let Some(&host) = balancer.hosts.get(server.0 as usize) else {
            return;
        };
        let Some(links) = balancer.pools.get_mut(host as usize) else {
            return;
        };
        links.epoch += u32::from(retire);
        let (closed, process) = (std::mem::take(&mut links.idle), links.process);
        self.closed(at, host as usize, process, closed);
    }

    /// So many connections of a balancer to a process are closed.
    pub(super) fn closed(&mut self, at: usize, host: usize, process: u32, count: u16) {
        let balancer = &mut self.balancers[at];
        balancer.open = balancer.open.saturating_sub(u32::from(count));
        if let Some(&upstream) = self.hosts.get(host) {
            self.upstreams[upstream as usize].disconnect(process, u32::from(count));
        }
    }

    /// Whether a balancer may open one more connection, if need be after closing the one idle for longest.
    pub(super) fn may_open(&mut self, at: usize) -> bool {
        let most = self.scenario.limits.max_connections;
        if most == 0 || self.scenario.limits.http2 || self.balancers[at].open < most {
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
        self.closed(at, host, process, 1);
        true
    }

    pub(super) fn host_by_address(address: SocketAddr) -> u32 {
        match address {
            SocketAddr::V4(address) => u32::from(*address.ip()) & 0x00ff_ffff,
            SocketAddr::V6(_) => 0,
        }
    }

    /// What is wrong now with what goes to an upstream, or comes back.
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

    /// Whether a message gets lost by chance.
    pub(super) fn is_lost(&mut self, at: usize, upstream: usize, to: bool) -> bool {
        let link = self
            .link_faults(at, upstream, to)
            .map(|link| link.loss)
            .fold(0.0, f64::max);
        let loss = self.scenario.network.loss.max(link);
        chance(&mut self.balancers[at].network, loss)
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
        let jitter = 1.0 + network.jitter * balancer.network.random::<f64>();
        (base.0 as f64 * jitter * upstream.active_faults.delay_factor) as Time + more
    }

    /// Whether what goes to a zone's upstreams, or comes back, is cut off.
    pub(super) fn is_partitioned(&self, at: usize, upstream: usize, to: bool) -> bool {
        let zone = self.upstreams[upstream].zone;
        let partitioned = self.balancers[at].zone != zone && self.partitions.contains(&(zone, to));
        partitioned
            || self
                .link_faults(at, upstream, to)
                .any(|link| link.partitioned)
    }

    /// The request that a balancer's number stands for: the latest of that number.
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

    /// Nothing of an attempt is under way any more, though its balancer may still wait for it.
    pub(super) fn drop_attempt(&mut self, number: u64) {
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.there = false;
        }
        self.forget_attempt(number);
    }

    pub(super) fn forget_attempt(&mut self, number: u64) {
        let over = |attempt: &Attempt| !attempt.out && !attempt.there;
        let Some(attempt) = self.attempts.get(number).filter(|attempt| over(attempt)) else {
            return;
        };
        let request = attempt.request;
        self.attempts.take(number);
        self.auditor.attempt_over(self.event_queue.now(), request);
        if let Some(known) = self.requests.get_mut(request) {
            known.attempts -= 1;
        }
        self.forget_request(request);
    }

    pub(super) fn withdraw(&mut self, id: RequestId, attempt: u32) {
        let request = self.request_by_id(id);
        let out = self
            .requests
            .get(request)
            .and_then(|r| r.out.iter().find(|(n, _)| *n == attempt));
        if let Some(&(_, number)) = out {
            self.end_attempt(number, Outcome::Cancelled);
        }
    }

    /// Tells a balancer how an attempt ended, once.
    pub(super) fn end_attempt(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(number).filter(|attempt| attempt.out) else {
            return;
        };
        attempt.out = false;
        let (request, at, tries) = (attempt.request, attempt.balancer as usize, attempt.number);
        let took = self.event_queue.now() - attempt.sent;
        let mut client_call = 0;
        if let Some(known) = self.requests.get_mut(request) {
            known.out.retain(|(_, out)| *out != number);
            client_call = known.client_call;
        }
        self.release_connection(number, outcome);
        self.record_story(client_call, || {
            format!(
                "balancer {at} has {} for attempt {tries} after {:.1} ms",
                story::outcome_text(outcome),
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

    /// The connection of an attempt is idle again where its answer came whole from the process that it went to, and
    /// is closed otherwise.
    fn release_connection(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(number) else {
            return;
        };
        let (at, host) = (attempt.balancer as usize, attempt.host as usize);
        let (process, epoch, socket) = (attempt.process, attempt.epoch, attempt.socket);
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
            self.closed(at, host, process, 1);
        }
    }

    pub(super) fn response_arrived(&mut self, event: Event, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(number).filter(|attempt| attempt.out) else {
            return self.drop_attempt(number);
        };
        if let Some(until) = self.paused_until(attempt.balancer as usize) {
            return self.event_queue.at(until, event);
        }
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.there = false;
        }
        self.end_attempt(number, outcome);
    }

    pub(super) fn attempt_expired(&mut self, event: Event, number: u64) {
        let Some(attempt) = self.attempts.get(number).filter(|attempt| attempt.out) else {
            return;
        };
        if let Some(until) = self.paused_until(attempt.balancer as usize) {
            return self.event_queue.at(until, event);
        }
        self.end_attempt(number, Outcome::Timeout);
    }
}
