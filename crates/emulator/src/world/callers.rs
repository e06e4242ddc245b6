//! Callers: the calls they make, the balancers they send to, and their retries.

use super::*;

impl Simulation<'_> {
    /// Schedules the next random arrival of a call from a group of callers.
    pub(super) fn plan_arrival(&mut self, group: usize) {
        let load = &self.scenario.callers[group].load;
        let max_rate = load.max_rate();
        if max_rate <= 0.0 {
            return;
        }
        // Thinning: arrivals are drawn at the maximum rate and accepted in proportion to the present rate.
        let mut arrives_at = self.event_queue.now();
        loop {
            arrives_at =
                arrives_at.saturating_add(exponential_gap(&mut self.arrival_rngs[group], max_rate));
            if arrives_at >= self.scenario.duration.0 {
                return;
            }
            if chance(
                &mut self.arrival_rngs[group],
                load.rate(arrives_at) / max_rate,
            ) {
                return self
                    .event_queue
                    .at(arrives_at, Event::CallArrives(group as u32));
            }
        }
    }

    pub(super) fn call_arrives(&mut self, group: usize) {
        self.plan_arrival(group);
        self.start_call(group, false);
    }

    pub(super) fn closed_loop_call(&mut self, group: usize) {
        if self.event_queue.now() < self.scenario.duration.0 {
            self.start_call(group, true);
        }
    }

    /// Creates a call of a group of callers, and sends it to a balancer.
    pub(super) fn start_call(&mut self, group: usize, closed_loop: bool) {
        let now = self.event_queue.now();
        let mix = &self.class_mix_by_group[group];
        let class = by_weight(mix, self.behavior_rngs[group].random::<f64>()).unwrap_or(0);
        let client_call = ClientCall {
            class,
            group: Some(group as u32),
            parent: None,
            closed_loop,
            created_at: now,
            deadline: now + self.scenario.class[class].deadline.0,
            send_count: 0,
            open_requests: 0,
            concluded: false,
            measured: now >= self.scenario.warm_up.0,
            connection: None,
            executed_groups: SmallVec::new(),
        };
        self.meter.offered(class, client_call.measured);
        let client_call = self.client_calls.add(client_call);
        self.send_to_balancer(client_call);
    }

    /// Sends a call, or its retry, to a balancer. The call fails if no balancer is alive.
    pub(super) fn send_to_balancer(&mut self, client_call: u64) {
        let Some(call) = self.client_calls.get_mut(client_call) else {
            return;
        };
        call.send_count += 1;
        let (class, deadline, send_count) = (call.class, call.deadline, call.send_count);
        let (group, parent) = (call.group, call.parent);
        let (tier, balancer) = match (group, parent) {
            (Some(group), _) => (0, self.balancer_of_caller(client_call, group as usize)),
            (None, Some(parent)) => self.balancer_of_upstream(parent),
            (None, None) => return,
        };
        let Some(balancer) = balancer else {
            self.record_trace(client_call, || "no balancer is there".to_owned());
            return self.conclude_client_call(client_call, &CallResult::Failed, true);
        };
        self.costs.count_request(tier);
        let effect = self.scenario.class[class].effect;
        let request = self.auditor.request_received(client_call, effect, deadline);
        let added_request = self.requests.add(Request {
            client_call,
            balancer,
            answered: false,
            live_attempts: 0,
            pending_attempts: SmallVec::new(),
        });
        debug_assert_eq!(request, added_request);
        if let Some(call) = self.client_calls.get_mut(client_call) {
            call.open_requests += 1;
        }
        self.record_trace(client_call, || {
            format!("try {send_count} reaches balancer {balancer}")
        });
        self.request_reaches_balancer(request);
    }

    /// Picks the balancer for a call from a group of callers.
    fn balancer_of_caller(&mut self, client_call: u64, group: usize) -> Option<u32> {
        self.meter.request_sent();
        let zone = self.zone_by_group[group];
        if self.front.is_some() {
            return self.fronted_balancer(client_call, group, zone);
        }
        let draw = self.behavior_rngs[group].next_u64();
        self.balancer_for(0, zone, draw)
    }

    /// The tier that an attempt's upstream calls, and the balancer for that call.
    fn balancer_of_upstream(&mut self, attempt: u64) -> (usize, Option<u32>) {
        let attempt = self.attempts.get(attempt);
        let upstream = attempt.map_or(0, |attempt| attempt.upstream as usize);
        let (caller_tier, zone) = (self.upstreams[upstream].tier, self.upstreams[upstream].zone);
        let tier = self.downstream_by_tier[caller_tier].map_or(0, |(tier, _)| tier);
        self.meter.request_sent();
        if self.scenario.tier[tier].sidecar {
            return (tier, self.sidecar_of(upstream));
        }
        let draw = self.upstreams[upstream].rng.next_u64(); // each upstream draws from its own stream
        (tier, self.balancer_for(tier, Some(zone), draw))
    }

    /// Hands a request to its balancer's agent, once the balancer is not paused.
    pub(super) fn request_reaches_balancer(&mut self, number: u64) {
        let Some(request) = self
            .requests
            .get(number)
            .filter(|request| !request.answered)
        else {
            return;
        };
        let balancer = request.balancer as usize;
        if let Some(until) = self.paused_until(balancer) {
            return self.event_queue.at(until, Event::RequestReaches(number));
        }
        let Some(client_call) = self.client_calls.get(request.client_call) else {
            return;
        };
        let call = Call {
            id: RequestId(number as u32),
            request: Ticket(number),
            class: client_call.class,
            tenant: client_call
                .group
                .map_or(0, |group| self.tenant_by_group[group as usize]),
            work: None,
            deadline: self.balancers[balancer].local_time(client_call.deadline),
            max_attempts: u32::MAX,
        };
        self.handle_input(balancer, Input::Call(call));
    }

    /// The balancer at the other end of the connection that the front provides for a call, if its process is
    /// alive.
    fn fronted_balancer(
        &mut self,
        client_call: u64,
        group: usize,
        zone: Option<u8>,
    ) -> Option<u32> {
        let (now, zones) = (self.event_queue.now(), self.scenario.zones.len());
        let zone = zone.map_or_else(
            || self.behavior_rngs[group].random_range(..zones),
            usize::from,
        );
        let (mut connection, is_new) =
            self.front
                .as_mut()?
                .acquire(zone, now, &mut self.front_rng)?;
        let balancer = connection.balancer as usize;
        let state = &self.balancers[balancer];
        if is_new {
            if !state.alive || state.draining {
                self.costs.count(now, 0, Cost::Unreached, balancer);
                return None;
            }
            connection.incarnation = state.incarnation;
            self.costs.count(now, 0, Cost::CallerConnections, balancer);
        }
        if let Some(client_call) = self.client_calls.get_mut(client_call) {
            client_call.connection = Some(connection);
        }
        Some(connection.balancer)
    }

    /// The live sidecar balancer of an upstream.
    fn sidecar_of(&self, upstream: usize) -> Option<u32> {
        let balancer = *self
            .sidecar_by_host
            .get(self.upstreams[upstream].host as usize)?;
        balancer.filter(|&balancer| self.balancers[balancer as usize].alive)
    }

    /// Returns a caller's connection to the front, unless the balancer is draining or has restarted since.
    fn release_caller_connection(&mut self, client_call: u64) {
        let connection = self
            .client_calls
            .get_mut(client_call)
            .and_then(|client_call| client_call.connection.take());
        let Some(connection) = connection else { return };
        let state = &self.balancers[connection.balancer as usize];
        if state.alive && !state.draining && state.incarnation == connection.incarnation {
            let now = self.event_queue.now();
            self.front
                .iter_mut()
                .for_each(|front| front.release(connection, now));
        }
    }

    /// A live balancer of a tier, preferably in the caller's zone; `draw` is a random number that selects the balancer,
    /// and the zone of a caller without one.
    pub(super) fn balancer_for(&self, tier: usize, zone: Option<u8>, draw: u64) -> Option<u32> {
        let zones = self.scenario.zones.len();
        let first = zone.map_or((draw >> 32) as usize % zones, usize::from);
        // The caller's own zone comes first, then the other zones in order.
        for step in 0..zones {
            let balancers = &self.balancers_by_zone[tier][(first + step) % zones];
            let count = balancers.len();
            let start = draw as u32 as usize;
            let mut candidates = (0..count).map(|offset| balancers[(start + offset) % count]);
            if let Some(balancer) =
                candidates.find(|&balancer| self.balancers[balancer as usize].alive)
            {
                return Some(balancer);
            }
        }
        None
    }

    /// Delivers a balancer's result to the caller.
    pub(super) fn client_call_answered(&mut self, number: u64, result: &CallResult<()>) {
        self.conclude_client_call(number, result, false);
    }

    /// Ends a client call with a result, or schedules its retry. `unreceived` means that no balancer received the
    /// request, so that a retry is safe.
    fn conclude_client_call(&mut self, number: u64, result: &CallResult<()>, unreceived: bool) {
        self.release_caller_connection(number);
        let now = self.event_queue.now();
        let Some(client_call) = self.client_calls.get(number) else {
            return;
        };
        if client_call.concluded {
            return;
        }
        let (class, group, measured) = (client_call.class, client_call.group, client_call.measured);
        let (latency, parent) = (now - client_call.created_at, client_call.parent);
        let closed_loop = client_call.closed_loop;
        self.record_trace(number, || {
            format!(
                "its caller has {} after {:.1} ms",
                call_trace::result_text(result),
                latency as f64 / 1e6
            )
        });
        let group = group.map(|group| group as usize);
        if let Some(group) = group
            && let Some(wait) = self.retry_wait(number, group, result, unreceived)
        {
            return self.event_queue.after(wait, Event::CallerRetries(number));
        }
        let outcome = self.call_outcome(class, latency, result);
        if let Some(client_call) = self.client_calls.get_mut(number) {
            client_call.concluded = true;
        }
        if let Some(group) = group {
            self.meter.ended(class, outcome, latency, measured);
            if closed_loop {
                self.plan_closed_loop_call(group);
            }
        } else if let Some(parent) = parent {
            let served = matches!(outcome, CallOutcome::OnTime | CallOutcome::Late);
            self.downstream_call_answered(parent, served);
        }
        self.forget_client_call(number);
    }

    /// Delay before a caller's retry; `None` if the caller gives up. `unreceived` means that no balancer received
    /// the request.
    fn retry_wait(
        &mut self,
        number: u64,
        group: usize,
        result: &CallResult<()>,
        unreceived: bool,
    ) -> Option<Time> {
        let call = self.client_calls.get(number)?;
        if *result == CallResult::Served(()) {
            return None;
        }
        // Callers, like balancers, know which requests must not run twice.
        let may_repeat = unreceived
            || matches!(result, CallResult::Rejected(_))
            || self.scenario.class[call.class].effect != CallEffect::Unsafe;
        let callers = &self.scenario.callers[group];
        let rng = &mut self.behavior_rngs[group];
        let delay = callers
            .retries
            .delay(call.send_count, || rng.random::<f64>());
        let retry_after = match result {
            CallResult::Rejected(after) if chance(rng, callers.honors_retry_after) => *after,
            _ => 0,
        };
        let delay = delay.filter(|_| may_repeat)?.max(retry_after);
        (self.event_queue.now() + delay < call.deadline).then_some(delay)
    }

    fn call_outcome(&self, class: usize, latency: Time, result: &CallResult<()>) -> CallOutcome {
        let latency_target = self.scenario.class[class].latency_target.0;
        match result {
            CallResult::Served(()) if latency <= latency_target => CallOutcome::OnTime,
            CallResult::Served(()) => CallOutcome::Late,
            CallResult::Rejected(_) => CallOutcome::Refused,
            CallResult::Failed => CallOutcome::Failed,
        }
    }

    /// Schedules the next call of a closed-loop caller after its think time.
    fn plan_closed_loop_call(&mut self, group: usize) {
        if let Load::Closed { think, .. } = self.scenario.callers[group].load {
            let rate = 1e9 / (think.0.max(1)) as f64;
            let wait = exponential_gap(&mut self.behavior_rngs[group], rate);
            let event = Event::ClosedLoopCall(group as u32);
            self.event_queue.after(wait, event);
        }
    }

    /// Removes a call once it has its result and no open requests.
    pub(super) fn forget_client_call(&mut self, number: u64) {
        if self
            .client_calls
            .get(number)
            .is_some_and(|client_call| client_call.concluded && client_call.open_requests == 0)
        {
            self.client_calls.take(number);
        }
    }
}
