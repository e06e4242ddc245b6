//! Callers: what they wish for, whom they ask, and what they do with what they get.

use super::*;

impl World<'_> {
    pub(super) fn plan_arrival(&mut self, group: usize) {
        let load = &self.scenario.callers[group].load;
        let most = load.most();
        if most <= 0.0 {
            return;
        }
        // A process whose rate changes is thinned out of one at the highest rate.
        let mut at = self.agenda.now();
        loop {
            at = at.saturating_add(gap(&mut self.arrivals[group], most));
            if at >= self.scenario.time.0 {
                return;
            }
            if chance(&mut self.arrivals[group], load.rate(at) / most) {
                return self.agenda.at(at, Event::Arrive(group as u32));
            }
        }
    }

    pub(super) fn arrive(&mut self, group: usize) {
        self.plan_arrival(group);
        self.wish(group, false);
    }

    pub(super) fn crowd(&mut self, group: usize) {
        if self.agenda.now() < self.scenario.time.0 {
            self.wish(group, true);
        }
    }

    pub(super) fn wish(&mut self, group: usize, one_of_crowd: bool) {
        let now = self.agenda.now();
        let mix = &self.mixes[group];
        let class = by_share(mix, self.habits[group].random::<f64>()).unwrap_or(0);
        let wish = Wish {
            class,
            group: Some(group as u32),
            parent: None,
            one_of_crowd,
            born: now,
            deadline: now + self.scenario.class[class].deadline.0,
            tries: 0,
            requests: 0,
            closed: false,
            measured: now >= self.scenario.warm_up.0,
            line: None,
            seen: SmallVec::new(),
        };
        self.meter.offered(class, wish.measured);
        let wish = self.wishes.add(wish);
        self.ask(wish);
    }

    pub(super) fn ask(&mut self, wish: u64) {
        let Some(known) = self.wishes.get_mut(wish) else {
            return;
        };
        known.tries += 1;
        let (class, deadline, tries, group, parent) = (
            known.class,
            known.deadline,
            known.tries,
            known.group,
            known.parent,
        );
        let (tier, zone) = match (group, parent) {
            (Some(group), _) => (0, self.zones[group as usize]),
            (None, Some(parent)) => {
                let nodo = self
                    .attempts
                    .get(parent)
                    .map_or(0, |attempt| attempt.nodo as usize);
                let nodo = &self.nodos[nodo];
                (
                    self.calls[nodo.tier].map_or(0, |(tier, _)| tier),
                    Some(nodo.zone),
                )
            }
            (None, None) => return,
        };
        self.meter.asked();
        let found = match (group, parent) {
            (Some(group), _) if self.front.is_some() => self.dealt(wish, group as usize, zone),
            (Some(group), _) => {
                let draw = self.habits[group as usize].next_u64();
                self.balancer_for(tier, zone, draw)
            }
            (None, _) => {
                let host = parent
                    .and_then(|parent| self.attempts.get(parent))
                    .map_or(0, |a| a.nodo as usize);
                match self.scenario.tier[tier].beside {
                    true => self.beside_nodo(host),
                    false => {
                        let draw = self.nodos[host].rng.next_u64(); // a nodo draws from its own stream
                        self.balancer_for(tier, zone, draw)
                    }
                }
            }
        };
        let Some(balancer) = found else {
            self.tell_story(wish, || "no balancer is there".to_owned());
            return self.conclude(wish, &CallResult::Failed, true);
        };
        self.prices.request(tier);
        let effect = self.scenario.class[class].effect;
        let request = self.auditor.taken(wish, effect, deadline);
        let out = SmallVec::new();
        let mine = self.requests.add(Request {
            wish,
            balancer,
            answered: false,
            attempts: 0,
            out,
        });
        debug_assert_eq!(request, mine);
        if let Some(known) = self.wishes.get_mut(wish) {
            known.requests += 1;
        }
        self.tell_story(wish, || format!("try {tries} reaches balancer {balancer}"));
        self.read(request);
    }

    /// A balancer reads a request, once its process does not stand still.
    pub(super) fn read(&mut self, number: u64) {
        let Some(request) = self
            .requests
            .get(number)
            .filter(|request| !request.answered)
        else {
            return;
        };
        let at = request.balancer as usize;
        if let Some(until) = self.stands_still(at) {
            return self.agenda.at(until, Event::Read(number));
        }
        let Some(wish) = self.wishes.get(request.wish) else {
            return;
        };
        let call = Call {
            id: RequestId(number as u32),
            request: Ticket(number),
            class: wish.class,
            tenant: wish.group.map_or(0, |group| self.tenants[group as usize]),
            work: None,
            deadline: self.balancers[at].local(wish.deadline),
            max_attempts: u32::MAX,
        };
        self.tell(at, Input::Call(call));
    }

    /// The balancer that the front's connection for a call leads to, if that lives.
    fn dealt(&mut self, wish: u64, group: usize, zone: Option<u8>) -> Option<u32> {
        let (now, zones) = (self.agenda.now(), self.scenario.zones.len());
        let zone = zone.map_or_else(|| self.habits[group].random_range(..zones), usize::from);
        let (mut line, fresh) = self.front.as_mut()?.take(zone, now, &mut self.dealing)?;
        let at = line.balancer as usize;
        let there = &self.balancers[at];
        if fresh {
            if !there.alive || there.leaving {
                self.prices.pay(now, 0, Price::Unreached, at);
                return None;
            }
            line.life = there.life;
            self.prices.pay(now, 0, Price::Lines, at);
        }
        if let Some(wish) = self.wishes.get_mut(wish) {
            wish.line = Some(line);
        }
        Some(line.balancer)
    }

    /// The balancer beside a nodo, if it lives.
    fn beside_nodo(&self, nodo: usize) -> Option<u32> {
        let balancer = *self.beside.get(self.nodos[nodo].host as usize)?;
        balancer.filter(|&balancer| self.balancers[balancer as usize].alive)
    }

    /// A caller's connection is free again, unless its balancer leaves or is another process by now.
    fn give_back(&mut self, wish: u64) {
        let line = self.wishes.get_mut(wish).and_then(|wish| wish.line.take());
        let Some(line) = line else { return };
        let there = &self.balancers[line.balancer as usize];
        if there.alive && !there.leaving && there.life == line.life {
            let now = self.agenda.now();
            self.front
                .iter_mut()
                .for_each(|front| front.give_back(line, now));
        }
    }

    pub(super) fn balancer_for(&self, tier: usize, zone: Option<u8>, draw: u64) -> Option<u32> {
        let zones = self.scenario.zones.len();
        let first = zone.map_or((draw >> 32) as usize % zones, usize::from);
        // The caller's own zone first, then the others in turn.
        for step in 0..zones {
            let there = &self.of_zone[tier][(first + step) % zones];
            let count = there.len();
            let start = draw as u32 as usize;
            let alive = (0..count).map(|at| there[(start + at) % count]);
            if let Some(balancer) = alive
                .into_iter()
                .find(|&at| self.balancers[at as usize].alive)
            {
                return Some(balancer);
            }
        }
        None
    }

    /// A caller has what its balancer made of its request.
    pub(super) fn answered_wish(&mut self, number: u64, verdict: &CallResult<()>) {
        self.conclude(number, verdict, false);
    }

    /// The same; `unseen`: no balancer has had the request, so that asking again is harmless.
    fn conclude(&mut self, number: u64, verdict: &CallResult<()>, unseen: bool) {
        self.give_back(number);
        let now = self.agenda.now();
        let Some(wish) = self.wishes.get(number) else {
            return;
        };
        if wish.closed {
            return;
        }
        let (class, group, measured, tries) = (wish.class, wish.group, wish.measured, wish.tries);
        let (took, deadline) = (now - wish.born, wish.deadline);
        self.tell_story(number, || {
            format!(
                "its caller has {} after {:.1} ms",
                story::result_text(verdict),
                took as f64 / 1e6
            )
        });
        let group_at = group.map(|group| group as usize);
        if let Some(group) = group_at
            && *verdict != CallResult::Served(())
        {
            let effect = self.scenario.class[class].effect;
            // Callers know as well as balancers what must not run twice.
            let may = unseen
                || matches!(verdict, CallResult::Rejected(_))
                || effect != CallEffect::Unsafe;
            let callers = &self.scenario.callers[group];
            let rng = &mut self.habits[group];
            let wait = callers.again.wait(tries, || rng.random::<f64>());
            let advice = match verdict {
                CallResult::Rejected(after) if chance(rng, callers.heeds_advice) => *after,
                _ => 0,
            };
            if let Some(wait) = wait.filter(|_| may)
                && now + wait.max(advice) < deadline
            {
                return self.agenda.after(wait.max(advice), Event::Again(number));
            }
        }
        let result = match verdict {
            CallResult::Served(()) if took <= self.scenario.class[class].aim.0 => Result::OnTime,
            CallResult::Served(()) => Result::Late,
            CallResult::Rejected(_) => Result::Refused,
            CallResult::Failed => Result::Failed,
        };
        let (parent, one_of_crowd) = match self.wishes.get_mut(number) {
            Some(wish) => {
                wish.closed = true;
                (wish.parent, wish.one_of_crowd)
            }
            None => return,
        };
        match (group_at, parent) {
            (Some(group), _) => {
                self.meter.ended(class, result, took, measured);
                if one_of_crowd
                    && let Load::Closed { think, .. } = self.scenario.callers[group].load
                {
                    let wait = gap(&mut self.habits[group], 1e9 / (think.0.max(1)) as f64);
                    self.agenda.after(wait, Event::Crowd(group as u32));
                }
            }
            (None, Some(parent)) => {
                self.call_back(parent, matches!(result, Result::OnTime | Result::Late))
            }
            (None, None) => {}
        }
        self.forget_wish(number);
    }

    pub(super) fn forget_wish(&mut self, number: u64) {
        if self
            .wishes
            .get(number)
            .is_some_and(|wish| wish.closed && wish.requests == 0)
        {
            self.wishes.take(number);
        }
    }
}
