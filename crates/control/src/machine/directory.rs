//! The directory: where clients find balancers, and where upstreams send their later heartbeats.

use super::ControlMachine;
use crate::balancers::BalancerHeartbeat;
use crate::shards::hash;
use crate::wire::MachineInfo;
use std::collections::BTreeSet;

/// How long a balancer is named to clients after it was last heard of, in milliseconds: three heartbeats, and the way between
/// machines.
const BALANCER_ALIVE: u64 = 1_100;
/// How long a balancer that is being stopped may still be named, in milliseconds since it was ready: it takes clients for 3 s.
const STOPPING_TAKES: u64 = 2_500;
/// Balancers that are named to a client at most: enough that some are left where others fail, few enough for short answers.
/// Each client is named the same ones each time, as it closes its connections to those that are named no more.
const MOST_NAMED: usize = 16;
/// Seconds for which names of balancers hold with clients: short, where the questions of all clients are few.
const TTL_S: u64 = 1;
const TTL_OF_MANY_S: u64 = 2;
/// Balancers from which on there are many clients.
const MANY: usize = 32;

/// A client's question where to go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolveRequest {
    /// The client's address.
    pub client: String,
    /// The host that its requests are for.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Its region, for a zone that the settings do not name.
    pub region: String,
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolveResponse {
    /// Addresses of balancers.
    pub addresses: Vec<String>,
    /// For how many seconds they hold.
    pub ttl_s: u64,
}

impl ControlMachine {
    /// Where an upstream of a zone sends its later heartbeats: a control machine of its zone, else of its region.
    pub fn heartbeat_address(&self, id: &str, zone: &str) -> Option<String> {
        let machines = self.machines();
        let region = self.region_of(zone);
        let in_zone = machines.iter().filter(|machine| machine.zone == zone);
        let in_region = machines
            .iter()
            .filter(|machine| region == Some(&machine.region));
        let weight = |machine: &&MachineInfo| hash(&(id, &machine.control));
        let chosen = in_zone
            .max_by_key(weight)
            .or_else(|| in_region.max_by_key(weight));
        chosen.map(|machine| machine.control.clone())
    }

    /// The balancers that a client goes to: those of its zone, else of its region, else of the regions to which the routes of
    /// its host are bound, else all. A request that is bound to regions may be read there and in the client's region only:
    /// before its client is sent elsewhere, it goes to a balancer there that is being stopped.
    pub fn resolve(&self, question: &ResolveRequest) -> ResolveResponse {
        let ready: Vec<&BalancerHeartbeat> = self
            .balancers
            .alive(self.now, BALANCER_ALIVE)
            .filter(|heartbeat| heartbeat.ready)
            .collect();
        let mut named = self.nearest(&ready, question);
        named.sort_by_cached_key(|address| hash(&(&question.client, address)));
        let addresses = named
            .into_iter()
            .take(MOST_NAMED)
            .map(str::to_owned)
            .collect();
        let ttl_s = if ready.len() < MANY {
            TTL_S
        } else {
            TTL_OF_MANY_S
        };
        ResolveResponse { addresses, ttl_s }
    }

    fn nearest<'a>(
        &'a self,
        ready: &[&'a BalancerHeartbeat],
        question: &ResolveRequest,
    ) -> Vec<&'a str> {
        let region = self.region_of(&question.zone).unwrap_or(&question.region);
        let in_zone = addresses(ready, |heartbeat| heartbeat.zone == question.zone);
        if !in_zone.is_empty() {
            return in_zone;
        }
        let in_region = addresses(ready, |heartbeat| {
            self.region_of(&heartbeat.zone) == Some(region)
        });
        if !in_region.is_empty() {
            return in_region;
        }
        let bound = self.within_bounds(ready, region, &self.allowed_regions(&question.host));
        if bound.is_empty() {
            addresses(ready, |_| true)
        } else {
            bound
        }
    }

    /// The balancers for a client without a ready one in its region, whose requests are bound to these regions, if to any.
    fn within_bounds<'a>(
        &'a self,
        ready: &[&'a BalancerHeartbeat],
        region: &str,
        allowed: &BTreeSet<String>,
    ) -> Vec<&'a str> {
        if allowed.is_empty() {
            return Vec::new();
        }
        let is_allowed = |region: &String| allowed.contains(region);
        let may_serve =
            |heartbeat: &BalancerHeartbeat| self.region_of(&heartbeat.zone).is_some_and(is_allowed);
        let in_service = addresses(ready, may_serve);
        if !in_service.is_empty() {
            return in_service;
        }
        let stopping: Vec<&BalancerHeartbeat> = self
            .balancers
            .stopping(self.now, BALANCER_ALIVE, STOPPING_TAKES)
            .collect();
        let is_near = |heartbeat: &BalancerHeartbeat| {
            self.region_of(&heartbeat.zone)
                .is_some_and(|own| own == region)
        };
        addresses(&stopping, |heartbeat| {
            is_near(heartbeat) || may_serve(heartbeat)
        })
    }

    /// The regions in which all routes of a host that are bound to regions may be served; where there is none, those of any.
    fn allowed_regions(&self, host: &str) -> BTreeSet<String> {
        let Some(configuration) = &self.state.configuration else {
            return BTreeSet::new();
        };
        let bound = || {
            configuration
                .routes_of(host)
                .map(|route| &route.allowed_regions)
                .filter(|all| !all.is_empty())
        };
        let any: BTreeSet<String> = bound().flatten().cloned().collect();
        let common: BTreeSet<String> = any
            .iter()
            .filter(|region| bound().all(|all| all.contains(region)))
            .cloned()
            .collect();
        if common.is_empty() { any } else { common }
    }

    fn region_of(&self, zone: &str) -> Option<&String> {
        self.settings.zones.get(zone)
    }
}

fn addresses<'a>(
    balancers: &[&'a BalancerHeartbeat],
    is_named: impl Fn(&BalancerHeartbeat) -> bool,
) -> Vec<&'a str> {
    balancers
        .iter()
        .filter(|heartbeat| is_named(heartbeat))
        .map(|heartbeat| &*heartbeat.address)
        .collect()
}
