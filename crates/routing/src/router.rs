//! The choice of an upstream for a request.

use crate::budget::{ColdShare, RetryBudget};
use crate::locality::{Locality, RegionLoad};
use crate::outage::Outages;
use crate::upstream::{Outcome, Prompt, Upstream, UpstreamId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use woadstall_control::configuration::{Route, Service};
use woadstall_control::registry::{Registration, Status};
use woadstall_control::shards::hash;

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

/// The balancers that share budgets.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// This balancer, as it stands in the lists.
    own: u32,
    /// Balancers by region, by hashes of their names.
    pub by_region: BTreeMap<String, Vec<u32>>,
}

impl Fleet {
    /// A fleet as this balancer sees it, without any yet.
    pub fn new(own: u32) -> Self {
        Self { own, by_region: BTreeMap::new() }
    }

    fn total(&self) -> usize {
        self.by_region.values().map(Vec::len).sum::<usize>().max(1)
    }

    fn of(&self, region: &str) -> usize {
        self.by_region.get(region).map_or(0, Vec::len)
    }

    /// This balancer's share of a cold upstream's bound.
    fn cold_share(&self, bound: f64, upstream: &str, region: &str) -> ColdShare {
        let local = self.by_region.get(region).map_or(&[][..], Vec::as_slice);
        let is_local = local.contains(&self.own);
        if !self.by_region.values().any(|balancers| balancers.contains(&self.own)) {
            return ColdShare { per_second: 1 }; // nothing is known of the others yet
        }
        let has_others = self.total() > local.len();
        let total = ColdShare::given(bound, is_local, !local.is_empty(), has_others);
        let sharers: Vec<u32> = if is_local {
            local.to_vec()
        } else {
            let remote = self.by_region.iter().filter(|(other, _)| *other != region);
            remote.flat_map(|(_, balancers)| balancers.iter().copied()).collect()
        };
        ColdShare::of(total, upstream, self.own, &sharers)
    }
}

/// A request that wants an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Its service.
    pub service: &'a Service,
    /// Its prompt, where it goes to a model.
    pub prompt: Prompt,
    /// Upstreams that it was sent to already.
    pub tried: &'a [UpstreamId],
}

/// An upstream to send to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The upstream.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is in this balancer's region.
    pub is_near: bool,
    /// Connections that this balancer may have to it.
    pub connections: usize,
    /// The tokens that it is expected to read.
    pub reading: u64,
}

/// A request that goes to no upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When its client may come back.
    pub retry_after: Duration,
    /// Whether no upstream may be used at all, rather than all having their fill.
    pub none_usable: bool,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it. [`Router::finish`] must follow.
    Send(Target),
    /// Refuse it at once.
    Refuse(Refusal),
}

/// Proposals of the round robin before it falls back (about ten, as in Ribbon).
const PROPOSALS: usize = 10;
/// Requests at one upstream over its places: those beyond wait in its queue, which costs them less than a refusal.
const OVERFULL: f64 = 1.5;
/// How long an upstream that has turned a request away as full is passed over, in milliseconds.
const FULL_PAUSE: u64 = 150;
/// How long an upstream may tell nothing while requests wait there, before it is passed over, in milliseconds: longer than a
/// long prompt takes to read beside others. What it is sent until it is known to be gone is lost.
const SILENT_NEAR: u64 = 600;
/// The same for another region: two ways between regions more.
const SILENT_FAR: u64 = 800;
/// Tokens that an upstream may have to read before it is passed over by requests that could go elsewhere: about one step
/// of an engine, a tenth of a second.
const READING: u64 = 4_096;
/// The same for a request whose prompt it keeps: to read that elsewhere takes longer than to wait.
const READING_KEPT: u64 = 40_000;
/// The same for one whose prompt has to be read anyway: one long prompt of each balancer.
const READING_NEW: u64 = 16_000;
/// Upstreams that may come to hold a prompt, in the order of its hash.
const HOLDERS: usize = 2;
/// How long an upstream that a new snapshot does not name is kept, in milliseconds: a control machine that has just started
/// hears of all within a few heartbeats.
const UNCONFIRMED: u64 = 10_000;
/// Retry-After: the least, and what chance adds, so that those refused together do not return together.
const RETRY_AFTER_MS: std::ops::Range<u64> = 200..600;
/// The same where no upstream can be reached: that takes seconds to change, and one that comes back too soon has no try left.
const RETRY_AFTER_LOST_MS: std::ops::Range<u64> = 1_000..1_800;

/// Chooses upstreams for requests, from this balancer's own counts.
#[derive(Debug)]
pub struct Router {
    place: Place,
    bounds: Bounds,
    fleet: Fleet,
    evacuated: BTreeSet<String>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    by_service: HashMap<String, Vec<UpstreamId>>,
    cursors: HashMap<String, usize>,
    budgets: HashMap<String, RetryBudget>,
    outages: Outages,
    random: fastrand::Rng,
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
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// The balancers that share budgets.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.fleet = fleet;
    }

    /// The zones that get nothing. Upstreams of a zone that is taken back count as cold for their service's time, as they may
    /// have turned cold shortly before.
    pub fn set_evacuated(&mut self, now: u64, zones: &BTreeSet<String>, cold: impl Fn(&str) -> Duration) {
        let returned: Vec<String> = self.evacuated.difference(zones).cloned().collect();
        self.evacuated = zones.clone();
        for upstream in self.upstreams.values_mut().filter(|upstream| returned.contains(&upstream.zone)) {
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
        let Ok(address) = registration.address.parse() else { return };
        let region = self.place.zones.get(&registration.zone).cloned().unwrap_or_default();
        let upstream = Upstream::new(now, registration, region, address);
        self.by_service.entry(upstream.service.clone()).or_default().push(upstream.id.clone());
        self.upstreams.insert(upstream.id.clone(), upstream);
    }

    /// A new snapshot names these upstreams. Others are kept for a while, since its source may have just started.
    pub fn snapshot(&mut self, now: u64, registrations: &[Registration]) {
        let named: BTreeSet<&str> =
            registrations.iter().map(|registration| registration.id.as_str()).collect();
        for upstream in self.upstreams.values_mut().filter(|upstream| !named.contains(&*upstream.id)) {
            upstream.unconfirmed_since.get_or_insert(now);
        }
        registrations.iter().for_each(|registration| self.register(now, registration));
    }

    /// Forgets upstreams that are gone and idle, and those that no source has told of for long.
    pub fn sweep(&mut self, now: u64) {
        let is_over = |upstream: &Upstream| {
            let unknown = upstream.unconfirmed_since.is_some_and(|since| now > since + UNCONFIRMED);
            unknown && upstream.in_flight == 0
        };
        let over: Vec<UpstreamId> =
            self.upstreams.values().filter(|upstream| is_over(upstream)).map(|u| u.id.clone()).collect();
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
            matches!(upstream.status, Status::Ready | Status::Silent)
                && !self.evacuated.contains(&upstream.zone)
        })
    }

    /// The upstreams that are known and not gone.
    pub fn known(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.status != Status::Gone).count()
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
        self.budgets.entry(service.to_owned()).or_insert_with(|| RetryBudget::new(ratio, window))
    }

    /// Chooses an upstream, or refuses.
    pub fn choose(&mut self, now: u64, query: &Query<'_>) -> Decision {
        let allowed = self.allowed(query);
        if allowed.is_empty() {
            return self.refuse(true);
        }
        self.note_outages(now, &allowed);
        let regions = self.regions(now, query, &allowed);
        let home = self.home(query.route, &regions);
        let candidates = match Locality::decide(&home, &regions) {
            Locality::Home => self.within(&allowed, std::slice::from_ref(&home)),
            Locality::All(regions) => self.within(&allowed, &regions),
            Locality::OneOf(regions) => {
                let drawn = self.random.usize(..regions.len());
                self.within(&allowed, &regions[drawn..=drawn])
            }
        };
        let chosen = self.pick(now, query, &candidates).or_else(|| self.pick(now, query, &allowed));
        match chosen {
            Some(id) => self.send(now, query, &id),
            None => {
                let is_lost = |id: &UpstreamId| {
                    self.upstreams.get(id).is_some_and(|upstream| self.outages.is_lost(&upstream.zone))
                };
                self.refuse(allowed.iter().all(is_lost))
            }
        }
    }

    /// A request at an upstream has ended.
    pub fn finish(&mut self, now: u64, id: &str, outcome: Outcome, unread: u64) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.reading = upstream.reading.saturating_sub(unread);
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        const UNREACHABLE_WEIGHT: u32 = 2;
        match outcome {
            Outcome::Answered => {}
            Outcome::Rejected => upstream.full_until = now + FULL_PAUSE,
            Outcome::Unreachable => upstream.breaker.failed(now, UNREACHABLE_WEIGHT),
            Outcome::Broken => upstream.breaker.failed(now, 1),
            Outcome::Withdrawn => {}
        }
    }

    /// An upstream has begun to answer soundly.
    pub fn answered(&mut self, now: u64, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.breaker.succeeded();
            upstream.silent_since = now;
            self.outages.heard(now, &upstream.zone);
        }
    }

    /// Something has come from an upstream; the first event of a stream tells that it has read so many tokens.
    pub fn heard(&mut self, now: u64, id: &str, read: u64) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.silent_since = now;
            self.outages.heard(now, &upstream.zone);
            upstream.reading = upstream.reading.saturating_sub(read);
        }
    }

    /// The upstreams of a service that a request may go to at all.
    fn allowed(&self, query: &Query<'_>) -> Vec<UpstreamId> {
        let Some(ids) = self.by_service.get(&query.service.name) else { return Vec::new() };
        let homes = &query.route.allowed_regions;
        let usable = |status: Status| {
            let fits = |id: &&UpstreamId| {
                self.upstreams.get(*id).is_some_and(|upstream| {
                    upstream.status == status
                        && !self.evacuated.contains(&upstream.zone)
                        && (homes.is_empty() || homes.contains(&upstream.region))
                        && !query.tried.contains(id)
                })
            };
            ids.iter().filter(fits).cloned().collect::<Vec<_>>()
        };
        let ready = usable(Status::Ready);
        // Where all have fallen silent, it may be the control plane that hears nothing.
        if ready.is_empty() { usable(Status::Silent) } else { ready }
    }

    fn note_outages(&mut self, now: u64, allowed: &[UpstreamId]) {
        let mut outages = std::mem::take(&mut self.outages);
        let upstreams = allowed.iter().filter_map(|id| self.upstreams.get(id));
        let is_suspect =
            |upstream: &&Upstream| upstream.breaker.has_failed() || self.is_silent(now, upstream);
        outages.update(now, upstreams.filter(is_suspect).map(|upstream| upstream.zone.as_str()));
        self.outages = outages;
    }

    fn regions(&self, now: u64, query: &Query<'_>, allowed: &[UpstreamId]) -> Vec<RegionLoad> {
        let mut regions: BTreeMap<&str, (usize, usize, f64, f64)> = BTreeMap::new();
        for upstream in allowed.iter().filter_map(|id| self.upstreams.get(id)) {
            let (upstreams, healthy, busy, places) = regions.entry(&upstream.region).or_default();
            *upstreams += 1;
            let is_healthy = upstream.breaker.allows(now)
                && !self.is_silent(now, upstream)
                && self.outages.allows(now, &upstream.zone, query.route.is_idempotent());
            *healthy += usize::from(is_healthy);
            *busy += f64::from(upstream.in_flight) * self.sharers(&upstream.region);
            *places += upstream.capacity as f64;
        }
        let load = |(region, (upstreams, healthy, busy, places)): (&str, (usize, usize, f64, f64))| {
            RegionLoad { region: region.to_owned(), upstreams, healthy, load: busy / places.max(1.0) }
        };
        regions.into_iter().map(load).collect()
    }

    /// The region that a request belongs to: this balancer's, or where its route does not allow that, one drawn from the
    /// others by their upstreams.
    fn home(&mut self, route: &Route, regions: &[RegionLoad]) -> String {
        let own = &self.place.region;
        let is_allowed = route.allowed_regions.is_empty() || route.allowed_regions.contains(own);
        if is_allowed && regions.iter().any(|load| load.region == *own) {
            return own.clone();
        }
        let total: usize = regions.iter().map(|load| load.healthy.max(1)).sum();
        let mut drawn = self.random.usize(..total.max(1));
        for load in regions {
            match drawn.checked_sub(load.healthy.max(1)) {
                None => return load.region.clone(),
                Some(rest) => drawn = rest,
            }
        }
        own.clone()
    }

    fn within(&self, allowed: &[UpstreamId], regions: &[String]) -> Vec<UpstreamId> {
        let is_there = |id: &&UpstreamId| {
            self.upstreams.get(*id).is_some_and(|upstream| regions.contains(&upstream.region))
        };
        allowed.iter().filter(is_there).cloned().collect()
    }

    /// The balancers that send to upstreams of a region.
    fn sharers(&self, region: &str) -> f64 {
        self.fleet.of(region).max(1) as f64
    }

    fn pick(&mut self, now: u64, query: &Query<'_>, candidates: &[UpstreamId]) -> Option<UpstreamId> {
        if candidates.is_empty() {
            return None;
        }
        if let Some(shared) = query.prompt.shared {
            let mut ranked: Vec<&UpstreamId> = candidates.iter().collect();
            ranked.sort_by_cached_key(|id| std::cmp::Reverse(hash(&(shared, &***id))));
            let has_room = |id: &&&UpstreamId| self.has_room(now, query, id);
            let keeps = |id: &&&UpstreamId| {
                has_room(id) && self.keeps(id, shared) && self.reads_less(id, READING_KEPT)
            };
            let is_free = |id: &&&UpstreamId| has_room(id) && self.reads_less(id, READING_NEW);
            // Whoever keeps it; else the first that does not read much already; else the first with room.
            let holders = ranked.iter().take(HOLDERS);
            let chosen = holders.clone().find(keeps).or_else(|| holders.clone().find(is_free));
            if let Some(id) = chosen.or_else(|| ranked.iter().find(has_room)) {
                return Some((*id).clone());
            }
        }
        let cursor =
            self.cursors.entry(query.service.name.clone()).or_insert_with(|| self.random.usize(..1 << 16));
        let begin = *cursor;
        *cursor = cursor.wrapping_add(1);
        let order =
            || (0..candidates.len()).map(|step| &candidates[(begin.wrapping_add(step)) % candidates.len()]);
        let proposals = || order().take(PROPOSALS.max(candidates.len()));
        let is_free = |id: &&UpstreamId| self.has_room(now, query, id) && self.reads_less(id, READING);
        if let Some(id) =
            proposals().find(is_free).or_else(|| proposals().find(|id| self.has_room(now, query, id)))
        {
            return Some(id.clone());
        }
        // The fallback: the next in order that is not known to be full; a breaker may be wrong, a cold budget may not.
        order().find(|id| self.may_fall_back(now, query, id)).cloned()
    }

    fn keeps(&self, id: &str, shared: u64) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| upstream.kept.contains(&shared))
    }

    fn reads_less(&self, id: &str, tokens: u64) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| upstream.reading < tokens)
    }

    fn is_silent(&self, now: u64, upstream: &Upstream) -> bool {
        let patience = if upstream.region == self.place.region { SILENT_NEAR } else { SILENT_FAR };
        upstream.is_silent(now, patience)
    }

    fn has_room(&self, now: u64, query: &Query<'_>, id: &str) -> bool {
        let Some(upstream) = self.upstreams.get(id) else { return false };
        upstream.breaker.allows(now)
            && !self.is_silent(now, upstream)
            && self.outages.allows(now, &upstream.zone, query.route.is_idempotent())
            && now >= upstream.full_until
            && f64::from(upstream.in_flight) < self.most_in_flight(upstream)
            && self.is_within_cold_budget(now, query, upstream)
    }

    /// Whether all that speaks against an upstream is its breaker or its silence. A zone that seems lost gets its trials and no
    /// more: whoever waited there for a connection would be refused late.
    fn may_fall_back(&self, now: u64, query: &Query<'_>, id: &str) -> bool {
        let Some(upstream) = self.upstreams.get(id) else { return false };
        let is_suspect = !upstream.breaker.allows(now) || self.is_silent(now, upstream);
        is_suspect
            && self.outages.allows(now, &upstream.zone, query.route.is_idempotent())
            && f64::from(upstream.in_flight) < self.most_in_flight(upstream)
            && self.is_within_cold_budget(now, query, upstream)
    }

    /// activeConnectionsLimit: this balancer's share of an upstream's places.
    fn most_in_flight(&self, upstream: &Upstream) -> f64 {
        const LEAST: f64 = 2.0;
        let share = upstream.capacity as f64 * OVERFULL / self.sharers(&upstream.region);
        share.ceil().max(LEAST)
    }

    fn is_within_cold_budget(&self, now: u64, query: &Query<'_>, upstream: &Upstream) -> bool {
        if !upstream.is_cold(now) || query.service.warmup_per_s <= 0.0 {
            return true;
        }
        let bound = query.service.warmup_per_s * self.bounds.cold_over + self.bounds.cold_slack;
        self.fleet.cold_share(bound, &upstream.id, &upstream.region).allows(now, &upstream.cold_sends)
    }

    fn send(&mut self, now: u64, query: &Query<'_>, id: &UpstreamId) -> Decision {
        const CONNECTIONS_GIVEN: f64 = 0.9;
        const LEAST_CONNECTIONS: f64 = 2.0;
        let total = self.fleet.total() as f64;
        let near = self.place.region.clone();
        let Some(upstream) = self.upstreams.get_mut(id) else { return self.refuse(true) };
        if upstream.in_flight == 0 {
            upstream.silent_since = now;
        }
        upstream.in_flight += 1;
        let reading = upstream.unread(&query.prompt);
        upstream.reading += reading;
        if let Some(shared) = query.prompt.shared {
            upstream.note_kept(shared);
        }
        upstream.breaker.sent(now);
        self.outages.sent(now, &upstream.zone);
        if upstream.is_cold(now) {
            upstream.note_cold_send(now);
        }
        let connections = query.service.max_connections as f64 * CONNECTIONS_GIVEN / total;
        Decision::Send(Target {
            id: upstream.id.clone(),
            address: upstream.address,
            is_near: upstream.region == near,
            connections: connections.max(LEAST_CONNECTIONS) as usize,
            reading,
        })
    }

    fn refuse(&mut self, none_usable: bool) -> Decision {
        let range = if none_usable { RETRY_AFTER_LOST_MS } else { RETRY_AFTER_MS };
        let retry_after = Duration::from_millis(self.random.u64(range));
        Decision::Refuse(Refusal { retry_after, none_usable })
    }
}
