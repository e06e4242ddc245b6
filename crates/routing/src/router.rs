//! The choice of an upstream for a request.

use crate::budget::RetryBudget;
use crate::fleet::Fleet;
use crate::fleet_loads::Placements;
use crate::outage::Outages;
use crate::query::{Decision, Query, Refusal, Standing, Target};
use crate::upstream::{Outcome, Upstream, UpstreamId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use woadstall_control::registry::{Registration, UpstreamStatus};

/// How long an upstream that has turned a request away as full is passed over, in milliseconds.
const FULL_PAUSE: u64 = 150;
/// How long an upstream that a new snapshot does not name is kept, in milliseconds: a control machine that has just started
/// hears of all within a few heartbeats.
const UNCONFIRMED: u64 = 10_000;
/// Retry-After: the least, and what chance adds, so that those refused together do not return together.
const RETRY_AFTER_MS: std::ops::Range<u64> = 200..600;
/// The same where no upstream can be reached: that takes seconds to change, and one that comes back too soon has no try left.
const RETRY_AFTER_LOST_MS: std::ops::Range<u64> = 1_000..1_800;

/// Bounds of the deployment that routing keeps to.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Repeats over requests.
    pub retry_budget_ratio: f64,
    /// The window of that, in milliseconds.
    pub budget_window: u64,
    /// Repeats beyond the ratio, of all balancers together.
    pub budget_slack: f64,
    /// A cold upstream's bound over its `warmup_per_s`.
    pub cold_over: f64,
    /// Requests beyond that.
    pub cold_slack: f64,
}

/// Where this balancer is.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its region.
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
}

/// Chooses upstreams for requests, from this balancer's own counts.
#[derive(Debug)]
pub struct Router {
    pub(crate) place: Place,
    pub(crate) bounds: Bounds,
    pub(crate) fleet: Fleet,
    pub(crate) evacuated: BTreeSet<String>,
    pub(crate) upstreams: BTreeMap<UpstreamId, Upstream>,
    pub(crate) by_service: HashMap<String, Vec<UpstreamId>>,
    pub(crate) cursors: HashMap<String, usize>,
    budgets: HashMap<String, RetryBudget>,
    pub(crate) outages: Outages,
    pub(crate) placements: Placements,
    pub(crate) random: fastrand::Rng,
}

impl Router {
    /// A router that knows no upstream yet.
    pub fn new(place: Place, bounds: Bounds, seed: u64) -> Self {
        Self {
            place,
            bounds,
            fleet: Fleet::default(),
            evacuated: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            by_service: HashMap::new(),
            cursors: HashMap::new(),
            budgets: HashMap::new(),
            outages: Outages::default(),
            placements: Placements::default(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// The balancers that share budgets.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.fleet = fleet;
    }

    /// The zones that get nothing. Upstreams of a zone that is taken back count as cold for their service's time, as they may
    /// have turned cold shortly before.
    pub fn set_evacuated(
        &mut self,
        now: u64,
        zones: &BTreeSet<String>,
        cold: impl Fn(&str) -> Duration,
    ) {
        let returned: Vec<String> = self.evacuated.difference(zones).cloned().collect();
        self.evacuated = zones.clone();
        for upstream in self
            .upstreams
            .values_mut()
            .filter(|upstream| returned.iter().any(|zone| **zone == *upstream.zone))
        {
            let cold = u64::try_from(cold(&upstream.service).as_millis()).unwrap_or(0);
            upstream.cold_until = upstream.cold_until.max(now + cold);
        }
    }

    /// A registration has come or changed.
    pub fn register(&mut self, now: u64, registration: &Registration) {
        if let Some(upstream) = self.upstreams.get_mut(registration.id.as_str()) {
            upstream.update(now, registration);
            return;
        }
        let Ok(address) = registration.address.parse() else {
            return;
        };
        let region = self
            .place
            .zones
            .get(&registration.zone)
            .cloned()
            .unwrap_or_default();
        let upstream = Upstream::new(now, registration, region, address);
        self.by_service
            .entry(upstream.service.clone())
            .or_default()
            .push(upstream.id.clone());
        self.upstreams.insert(upstream.id.clone(), upstream);
    }

    /// A new snapshot names these upstreams. Others are kept for a while, since its source may have just started.
    pub fn snapshot(&mut self, now: u64, registrations: &[Registration]) {
        let named: BTreeSet<&str> = registrations
            .iter()
            .map(|registration| registration.id.as_str())
            .collect();
        for upstream in self
            .upstreams
            .values_mut()
            .filter(|upstream| !named.contains(&*upstream.id))
        {
            upstream.unconfirmed_since.get_or_insert(now);
        }
        registrations
            .iter()
            .for_each(|registration| self.register(now, registration));
    }

    /// Forgets upstreams that are gone and idle, and those that no source has told of for long.
    pub fn sweep(&mut self, now: u64) {
        let is_over = |upstream: &Upstream| {
            let unknown = upstream
                .unconfirmed_since
                .is_some_and(|since| now > since + UNCONFIRMED);
            unknown && upstream.in_flight == 0
        };
        let over: Vec<UpstreamId> = self
            .upstreams
            .values()
            .filter(|upstream| is_over(upstream))
            .map(|u| u.id.clone())
            .collect();
        for id in over {
            if let Some(upstream) = self.upstreams.remove(&id)
                && let Some(ids) = self.by_service.get_mut(&upstream.service)
            {
                ids.retain(|other| *other != id);
            }
        }
    }

    /// Whether requests may still go to an upstream: a connection that has come up meanwhile is looked at again.
    pub fn is_usable(&self, id: &str) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| {
            matches!(
                upstream.status,
                UpstreamStatus::Ready | UpstreamStatus::TimedOut
            ) && !self.evacuated.contains(&*upstream.zone)
        })
    }

    /// The upstreams that are known and not gone.
    pub fn known(&self) -> usize {
        self.upstreams
            .values()
            .filter(|upstream| upstream.status != UpstreamStatus::Deregistered)
            .count()
    }

    /// A request has come for a service: repeats are budgeted by these.
    pub fn request(&mut self, now: u64, service: &str) {
        self.budget(service).request(now);
    }

    /// Takes one repeat from a service's budget, if there is room.
    pub fn take_repeat(&mut self, now: u64, service: &str) -> bool {
        let (slack, balancers) = (self.bounds.budget_slack, self.fleet.total());
        self.budget(service).take(now, slack, balancers)
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let (ratio, window) = (self.bounds.retry_budget_ratio, self.bounds.budget_window);
        self.budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(ratio, window))
    }

    /// Chooses an upstream, or refuses.
    pub fn choose(&mut self, now: u64, query: &Query<'_>) -> Decision {
        let allowed = self.allowed(query);
        if allowed.is_empty() {
            return self.refuse(true);
        }
        self.note_outages(now, &allowed);
        let candidates = self.candidates(now, query, &allowed);
        let chosen = self
            .pick(now, query, &candidates)
            .or_else(|| self.pick(now, query, &allowed));
        match chosen {
            Some(id) => self.send(now, query, &id),
            None => {
                let is_lost = |id: &UpstreamId| {
                    self.upstreams
                        .get(id)
                        .is_some_and(|upstream| self.outages.is_lost(&upstream.zone))
                };
                self.refuse(allowed.iter().all(is_lost))
            }
        }
    }

    /// How the upstreams stand for a request.
    pub fn standing(&self, now: u64, query: &Query<'_>) -> Standing {
        let allowed = self.allowed(query);
        let mut standing = Standing {
            candidates: allowed.len(),
            ..Standing::default()
        };
        for upstream in allowed.iter().filter_map(|id| self.upstreams.get(id)) {
            if let Some(obstacle) = self.obstacle(now, query, upstream) {
                *standing.passed_over.entry(obstacle).or_default() += 1;
            }
        }
        standing
    }

    /// A request at an upstream has ended.
    pub fn finish(&mut self, now: u64, id: &str, outcome: Outcome, unread: u64) {
        let was_silent = self
            .upstreams
            .get(id)
            .is_some_and(|upstream| self.is_silent(now, upstream));
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.reading = upstream.reading.saturating_sub(unread);
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        const UNREACHABLE_WEIGHT: u32 = 2;
        // Whoever gives up on a silent upstream has waited for long: the next request would wait for as long again.
        const SILENT_WEIGHT: u32 = 3;
        match outcome {
            Outcome::Answered => {}
            Outcome::Rejected => upstream.full_until = now + FULL_PAUSE,
            Outcome::Unreachable => upstream.breaker.failed(now, UNREACHABLE_WEIGHT),
            Outcome::Broken | Outcome::TimedOut | Outcome::Withdrawn if was_silent => {
                upstream.breaker.failed(now, SILENT_WEIGHT);
            }
            Outcome::Broken | Outcome::Error | Outcome::TimedOut => upstream.breaker.failed(now, 1),
            Outcome::Withdrawn => {}
        }
    }

    /// An upstream has begun to answer soundly: with a success, or with what it finds at fault with the request.
    pub fn answered(&mut self, now: u64, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.breaker.succeeded();
            upstream.note_heard(now);
            self.outages.heard(now, &upstream.zone);
        }
    }

    /// Something has come from an upstream; the first event of a stream tells that it has read so many tokens.
    pub fn heard(&mut self, now: u64, id: &str, read: u64) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.note_heard(now);
            self.outages.heard(now, &upstream.zone);
            upstream.reading = upstream.reading.saturating_sub(read);
        }
    }

    fn send(&mut self, now: u64, query: &Query<'_>, id: &UpstreamId) -> Decision {
        const CONNECTIONS_GIVEN: f64 = 0.9;
        const LEAST_CONNECTIONS: f64 = 2.0;
        let total = self.fleet.total() as f64;
        let near = self.place.region.clone();
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return self.refuse(true);
        };
        if upstream.in_flight == 0 {
            upstream.silent_since = now;
        }
        upstream.in_flight += 1;
        let reading = upstream.unread(&query.prompt);
        upstream.reading += reading;
        upstream.breaker.sent(now);
        self.outages.sent(now, &upstream.zone);
        if upstream.is_cold(now) {
            upstream.note_cold_send(now);
        }
        let connections = query.service.max_connections as f64 * CONNECTIONS_GIVEN / total;
        let target = Target {
            id: upstream.id.clone(),
            address: upstream.address,
            zone: upstream.zone.clone(),
            is_near: upstream.region == near,
            connections: connections.max(LEAST_CONNECTIONS) as usize,
            reading,
            total_reading: upstream.reading,
            in_flight: upstream.in_flight,
        };
        let capacity = query.service.engine.map(|engine| engine.kv_capacity_tokens);
        self.note_sent_prompt(now, id, &query.prompt, capacity);
        Decision::Send(target)
    }

    fn refuse(&mut self, none_usable: bool) -> Decision {
        let range = if none_usable {
            RETRY_AFTER_LOST_MS
        } else {
            RETRY_AFTER_MS
        };
        let retry_after = Duration::from_millis(self.random.u64(range));
        Decision::Refuse(Refusal {
            retry_after,
            none_usable,
        })
    }
}
