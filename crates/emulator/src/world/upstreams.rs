//! Upstreams: how they handle attempts, and how their processes die and start.

use super::*;

impl Simulation<'_> {
    pub(super) fn attempt_arrived(&mut self, event: Event, number: u64) {
        let Some(attempt) = self.attempts.get(number) else {
            return;
        };
        let (request, host) = (attempt.request, attempt.host);
        let (sent_to, process) = (attempt.upstream as usize, attempt.process);
        let upstream = self.upstream_by_host[host as usize] as usize;
        if !self.upstreams[upstream].alive
            || upstream != sent_to
            || self.upstreams[upstream].process != process
        {
            // The process died while the attempt was in transit. It may have read the request.
            return self.respond(number, Outcome::Reset);
        }
        if self.upstreams[upstream].active_faults.stopped {
            return self.suspended_events[upstream].push(event);
        }
        let Some((client_call, class)) = self.client_call_and_class(request) else {
            return;
        };
        if self.overloads_cold_upstream(upstream, class) {
            self.kill_upstream(upstream, false);
            let event = Event::UpstreamBoots(upstream as u32);
            return self.event_queue.after(OVERLOAD_RECOVERY, event);
        }
        let target = &mut self.upstreams[upstream];
        if target.active_faults.unresponsive {
            return self.drop_attempt(number);
        }
        let resets = target.active_faults.resets;
        if chance(&mut target.rng, resets / 2.0) {
            return self.respond(number, Outcome::Reset);
        }
        if target.draw_error(class) {
            return self.respond(number, Outcome::Error);
        }
        self.admit(upstream, number, (client_call, class));
    }

    /// Client call and class of a request.
    fn client_call_and_class(&self, request: u64) -> Option<(u64, usize)> {
        let client_call = self.requests.get(request)?.client_call;
        let class = self.client_calls.get(client_call)?.class;
        Some((client_call, class))
    }

    /// Whether another request overloads a cold upstream. Reports the overload to the auditor.
    fn overloads_cold_upstream(&mut self, upstream: usize, class: usize) -> bool {
        let now = self.event_queue.now();
        let mean = self.scenario.class[class].service.mean();
        let target = &mut self.upstreams[upstream];
        let warm_rate = f64::from(target.workers()) * 1e9 / mean;
        let Some(relative_load) = target.count_cold_arrival(now, warm_rate) else {
            return false;
        };
        self.auditor.cold_overload(now, &target.name, relative_load);
        true
    }

    /// Starts work on an attempt, queues it, or rejects it as full.
    fn admit(&mut self, upstream: usize, number: u64, (client_call, class): (u64, usize)) {
        let name = self.upstreams[upstream].name.clone();
        match self.upstreams[upstream].accept(number) {
            Admission::Begun => {
                self.record_trace(client_call, || format!("{name} begins it"));
                self.begin_work(upstream, number, class);
            }
            Admission::Queued => {
                let in_flight = self.upstreams[upstream].in_flight();
                self.meter.queued(in_flight);
                self.record_trace(client_call, || {
                    format!("{name} lets it wait behind {}", in_flight - 1)
                });
            }
            Admission::Full => {
                self.record_trace(client_call, || format!("{name} turns it away as full"));
                self.respond(number, Outcome::Full);
            }
        }
    }

    /// Draws the time that an upstream works on an attempt, and schedules the end of the work.
    pub(super) fn begin_work(&mut self, upstream: usize, attempt: u64, class: usize) {
        let now = self.event_queue.now();
        let mut work_time =
            self.upstreams[upstream].service(now, &self.scenario.class[class].service);
        let connections = &self.scenario.tier[self.upstreams[upstream].tier].connections;
        if connections.handshake_work.0 > 0
            && self
                .attempts
                .get(attempt)
                .is_some_and(|attempt| attempt.new_connection)
        {
            work_time += self.upstreams[upstream].overhead(now, connections.handshake_work.0);
        }
        let process = self.upstreams[upstream].process;
        self.event_queue.after(
            work_time,
            Event::WorkFinished {
                attempt,
                upstream: upstream as u32,
                process,
            },
        );
    }

    /// Sends an outcome back to the balancer of an attempt.
    pub(super) fn respond(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(number) else {
            return;
        };
        let (balancer, upstream) = (attempt.balancer as usize, attempt.upstream as usize);
        if self.is_lost(balancer, upstream, false) || self.is_partitioned(balancer, upstream, false)
        {
            return self.drop_attempt(number);
        }
        let delay = self.delay(balancer, upstream, false);
        self.event_queue.after(
            delay,
            Event::ResponseArrived {
                attempt: number,
                outcome,
            },
        );
    }

    /// Handles the end of an upstream's own work on an attempt: the upstream calls the next tier, or responds if it makes
    /// no calls.
    pub(super) fn work_finished(&mut self, number: u64, upstream: usize, process: u32) {
        if self.upstreams[upstream].process != process || !self.upstreams[upstream].alive {
            return; // the process died in the meantime, and its work was lost
        }
        self.apply_effect(number);
        let downstream = self.downstream_by_tier[self.upstreams[upstream].tier];
        let parent = self.attempts.get(number).and_then(|attempt| {
            let client_call = self.requests.get(attempt.request)?.client_call;
            self.client_calls
                .get(client_call)
                .map(|client_call| (client_call.class, client_call.deadline))
        });
        let (Some((_, mean)), Some((class, deadline))) = (downstream, parent) else {
            return self.finish_attempt(number, upstream);
        };
        // A whole number of calls whose mean is `mean`.
        let rng = &mut self.upstreams[upstream].rng;
        let count = mean.floor() as u32 + u32::from(chance(rng, mean.fract()));
        let now = self.event_queue.now();
        if count == 0 || now >= deadline {
            return self.finish_attempt(number, upstream);
        }
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.open_downstream_calls = count;
        }
        for _ in 0..count {
            let client_call = self.client_calls.add(ClientCall {
                class,
                group: None,
                parent: Some(number),
                closed_loop: false,
                created_at: now,
                deadline,
                send_count: 0,
                open_requests: 0,
                concluded: false,
                measured: false,
                connection: None,
                executed_groups: SmallVec::new(),
            });
            self.send_to_balancer(client_call);
        }
    }

    /// Counts an answer to one of an attempt's calls to the next tier; the last answer finishes the attempt.
    pub(super) fn downstream_call_answered(&mut self, number: u64, succeeded: bool) {
        let Some(attempt) = self
            .attempts
            .get_mut(number)
            .filter(|attempt| attempt.open_downstream_calls > 0)
        else {
            return;
        };
        attempt.open_downstream_calls -= 1;
        attempt.downstream_failed |= !succeeded;
        let (open_calls, upstream, process) = (
            attempt.open_downstream_calls,
            attempt.upstream as usize,
            attempt.process,
        );
        if open_calls == 0
            && self.upstreams[upstream].alive
            && self.upstreams[upstream].process == process
        {
            self.finish_attempt(number, upstream);
        }
    }

    /// Finishes an attempt: responds to the balancer and starts the next queued attempt.
    pub(super) fn finish_attempt(&mut self, number: u64, upstream: usize) {
        let failed = self
            .attempts
            .get(number)
            .is_some_and(|attempt| attempt.downstream_failed);
        let target = &mut self.upstreams[upstream];
        let (response_loss, resets) =
            (target.active_faults.lost, target.active_faults.resets / 2.0);
        if chance(&mut target.rng, response_loss) {
            self.drop_attempt(number);
        } else if chance(&mut self.upstreams[upstream].rng, resets) {
            self.respond(number, Outcome::Reset);
        } else {
            self.respond(number, if failed { Outcome::Error } else { Outcome::Ok });
        }
        self.start_next_attempt(upstream);
    }

    /// Starts work on the next queued attempt that its balancer still waits for.
    pub(super) fn start_next_attempt(&mut self, upstream: usize) {
        let (attempts, mut dropped) = (&self.attempts, SmallVec::<[u64; 4]>::new());
        let next = self.upstreams[upstream].next_request(|request| {
            let waits = attempts
                .get(request)
                .is_some_and(|attempt| attempt.end_pending);
            if !waits {
                // The balancer has closed the connection, which the upstream sees before it starts the work.
                dropped.push(request);
            }
            waits
        });
        dropped
            .into_iter()
            .for_each(|request| self.drop_attempt(request));
        let Some(next) = next else { return };
        let class = self.attempts.get(next).and_then(|attempt| {
            let client_call = self.requests.get(attempt.request)?.client_call;
            self.client_calls
                .get(client_call)
                .map(|client_call| client_call.class)
        });
        self.begin_work(upstream, next, class.unwrap_or(0));
    }

    /// Applies the effect of an attempt's work. Upstreams drop repeats of keyed work within their group and
    /// window.
    pub(super) fn apply_effect(&mut self, number: u64) {
        let now = self.event_queue.now();
        let Some(attempt) = self.attempts.get(number) else {
            return;
        };
        let (request, upstream) = (attempt.request, &self.upstreams[attempt.upstream as usize]);
        let Some(client_call_number) = self
            .requests
            .get(request)
            .map(|request| request.client_call)
        else {
            return;
        };
        let Some(client_call) = self.client_calls.get_mut(client_call_number) else {
            return;
        };
        let class = &self.scenario.class[client_call.class];
        let group = match class.group {
            CallGroup::All => 0,
            CallGroup::Zone => u32::from(upstream.zone),
            CallGroup::Cell => u32::from(upstream.cell),
        };
        if class.effect == CallEffect::Keyed {
            let is_repeat = |(executed_group, executed_at): &(u32, Time)| {
                *executed_group == group && now < executed_at + class.window.0
            };
            if client_call.executed_groups.iter().any(is_repeat) {
                return;
            }
            client_call.executed_groups.push((group, now));
        }
        let name = upstream.name.clone();
        self.auditor.effect_happened(now, request);
        self.record_trace(client_call_number, || format!("{name} has done it"));
    }

    /// Kills an upstream's process and resets its attempts. With `work_takes_effect`, the work in progress takes
    /// effect first, although no response is sent.
    pub(super) fn kill_upstream(&mut self, upstream: usize, work_takes_effect: bool) {
        if !self.upstreams[upstream].alive {
            return;
        }
        let process = self.upstreams[upstream].process;
        self.upstreams[upstream].kill();
        let is_at_process =
            |attempt: &Attempt| attempt.upstream as usize == upstream && attempt.process == process;
        let lost_attempts = self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_at_process(attempt) && attempt.in_progress);
        let lost_attempts: Vec<u64> = lost_attempts.map(|(number, _)| number).collect();
        for number in lost_attempts {
            if work_takes_effect {
                self.apply_effect(number);
            }
            if let Some(attempt) = self.attempts.get_mut(number) {
                attempt.open_downstream_calls = 0;
            }
            self.respond(number, Outcome::Reset);
        }
        let detection_delay = self.scenario.registry.detection_delay.0;
        self.event_queue.after(
            detection_delay,
            Event::DeathNoticed {
                upstream: upstream as u32,
                process,
            },
        );
        if let Some(balancer) = self.sidecar_by_host[self.upstreams[upstream].host as usize] {
            self.stop_balancer(balancer as usize);
        }
    }

    /// Starts a new process of an upstream, unless one is running or another upstream has replaced it at its host.
    pub(super) fn boot_upstream(&mut self, upstream: usize) {
        let host = self.upstreams[upstream].host as usize;
        if self.upstreams[upstream].alive || self.upstream_by_host[host] as usize != upstream {
            return;
        }
        let now = self.event_queue.now();
        self.upstreams[upstream].boot(now);
        self.start_sidecar(upstream);
        self.change_registry(upstream as u32, Lifecycle::Ready);
    }

    /// Starts the sidecar balancer of an upstream.
    pub(super) fn start_sidecar(&mut self, upstream: usize) {
        if let Some(balancer) = self.sidecar_by_host[self.upstreams[upstream].host as usize] {
            self.start_balancer(balancer as usize, 0);
        }
    }

    // ---- Probes ----

    /// Sends a health probe, whose result is its answer or its timeout.
    pub(super) fn probe(&mut self, balancer: usize, peer: &Peer) {
        let (now, tier) = (self.event_queue.now(), self.balancers[balancer].tier);
        self.costs.count(now, tier, Cost::Probes, balancer);
        let host = Self::host_by_address(peer.address) as usize;
        let (Some(&upstream), Some(probed)) = (
            self.upstream_by_host.get(host),
            &self.scenario.tier[tier].probed,
        ) else {
            return;
        };
        let timeout = probed.timeout.0;
        let (process, incarnation) = (
            self.upstreams[upstream as usize].process,
            self.balancers[balancer].incarnation,
        );
        let pending = PendingProbe {
            balancer: balancer as u32,
            incarnation,
            upstream,
            process,
            server: peer.server,
        };
        let probe = self.probes.add(pending);
        self.event_queue.after(
            timeout,
            Event::ProbeCompleted {
                probe,
                in_flight: None,
            },
        );
        if !self.is_partitioned(balancer, upstream as usize, true) {
            let delay = self.delay(balancer, upstream as usize, true);
            self.event_queue.after(delay, Event::ProbeArrives { probe });
        }
    }

    /// Answers a probe with the upstream's number of requests, unless the probed process has died, is unresponsive, or
    /// cannot reach the balancer.
    pub(super) fn probe_arrived(&mut self, probe: u64) {
        let Some(pending) = self.probes.get(probe) else {
            return;
        };
        let (balancer, upstream, process) = (
            pending.balancer as usize,
            pending.upstream as usize,
            pending.process,
        );
        let target = &self.upstreams[upstream];
        let is_unresponsive = target.active_faults.unresponsive || target.active_faults.stopped;
        if target.alive
            && target.process == process
            && !is_unresponsive
            && !self.is_partitioned(balancer, upstream, false)
        {
            let (delay, in_flight) = (
                self.delay(balancer, upstream, false),
                Some(self.upstreams[upstream].in_flight()),
            );
            self.event_queue
                .after(delay, Event::ProbeCompleted { probe, in_flight });
        }
    }

    /// Completes a probe by its answer or its timeout, whichever comes first.
    pub(super) fn probe_completed(&mut self, probe: u64, in_flight: Option<u32>) {
        let Some(pending) = self.probes.take(probe) else {
            return;
        };
        let (balancer, server) = (pending.balancer as usize, pending.server);
        if !self.balancers[balancer].alive
            || self.balancers[balancer].incarnation != pending.incarnation
        {
            return;
        }
        let outcome = if in_flight.is_some() {
            Outcome::Ok
        } else {
            Outcome::Timeout
        };
        let load = in_flight.map(|in_flight| LoadReport {
            figures: [in_flight as f32, 0.0, 0.0, 0.0],
            len: 1,
        });
        self.handle_input(balancer, Input::ProbeEnded(server, outcome, load));
    }
}
