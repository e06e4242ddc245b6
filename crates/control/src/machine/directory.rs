//! The directory: which balancers a client is sent to, and where upstreams send their later
//! heartbeats.

use super::ControlMachine;
use crate::balancers::BalancerHeartbeat;
use crate::shards::hash;
use crate::wire::MachineInfo;
use std::collections::BTreeSet;

/// The time in milliseconds for which clients are sent to a balancer after it was last heard of:
/// three heartbeats, and the way between machines.
const BALANCER_TIMEOUT_MS: u64 = 1_100;
/// The time in milliseconds for which clients may still be sent to a balancer that is shutting
/// down, since it was last ready: it accepts clients for 3 s.
const SHUTDOWN_ACCEPT_MS: u64 = 2_500;
/// The number of addresses in a response at most: enough that some are left where others fail, few
/// enough for short responses. A client gets the same ones each time, as it closes its connections
/// to those that are no longer in the response.
const MAX_ADDRESSES: usize = 16;
/// The time in seconds for which clients may use a response: short, where there are few clients to
/// ask again.
const TTL_S: u64 = 1;
/// The same where there are many clients.
const LARGE_FLEET_TTL_S: u64 = 2;
/// The number of balancers from which on there are many clients.
const LARGE_FLEET: usize = 32;

/// A client's request for the addresses of balancers.
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

/// The balancers for a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolveResponse {
    /// Addresses of balancers, as `ip:port`.
    pub addresses: Vec<String>,
    /// The time for which the client may use them, in seconds.
    pub ttl_s: u64,
}

impl ControlMachine {
    /// Where an upstream of a zone sends its later heartbeats: a control machine of its zone, else
    /// of its region.
    pub fn heartbeat_address(&self, id: &str, zone: &str) -> Option<String> {
        let machines = self.machines();
        let region = self.region_of(zone);
        let in_zone = machines.iter().filter(|machine| machine.zone == zone);
        let in_region = machines
            .iter()
            .filter(|machine| region == Some(&machine.region));
        let weight = |machine: &&MachineInfo| hash(&(id, &machine.control_address));
        let chosen = in_zone
            .max_by_key(weight)
            .or_else(|| in_region.max_by_key(weight));
        chosen.map(|machine| machine.control_address.clone())
    }

    /// The balancers for a client: those of its zone, else of its region, else of the regions to
    /// which the routes of its host are restricted, else all. A request that is restricted to
    /// regions may be read there and in the client's region only: before its client is sent
    /// elsewhere, it goes to a balancer there that is shutting down.
    pub fn resolve(&self, request: &ResolveRequest) -> ResolveResponse {
        let alive = self.balancers.alive(self.now, BALANCER_TIMEOUT_MS);
        let ready: Vec<&BalancerHeartbeat> = alive.filter(|heartbeat| heartbeat.ready).collect();
        let mut nearest = self.nearest(&ready, request);
        nearest.sort_by_cached_key(|address| hash(&(&request.client, address)));
        let addresses = nearest
            .into_iter()
            .take(MAX_ADDRESSES)
            .map(str::to_owned)
            .collect();
        let ttl_s = if ready.len() < LARGE_FLEET {
            TTL_S
        } else {
            LARGE_FLEET_TTL_S
        };
        ResolveResponse { addresses, ttl_s }
    }

    fn nearest<'a>(
        &'a self,
        ready: &[&'a BalancerHeartbeat],
        request: &ResolveRequest,
    ) -> Vec<&'a str> {
        let region = self.region_of(&request.zone).unwrap_or(&request.region);
        let in_zone = addresses(ready, |heartbeat| heartbeat.zone == request.zone);
        if !in_zone.is_empty() {
            return in_zone;
        }
        let in_region = addresses(ready, |heartbeat| {
            self.region_of(&heartbeat.zone) == Some(region)
        });
        if !in_region.is_empty() {
            return in_region;
        }
        let restricted =
            self.in_allowed_regions(ready, region, &self.allowed_regions(&request.host));
        if restricted.is_empty() {
            addresses(ready, |_| true)
        } else {
            restricted
        }
    }

    /// The balancers for a client without a ready one in its region, whose requests are restricted
    /// to these regions, if to any.
    fn in_allowed_regions<'a>(
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
        let stopping = self
            .balancers
            .stopping(self.now, BALANCER_TIMEOUT_MS, SHUTDOWN_ACCEPT_MS);
        let stopping: Vec<&BalancerHeartbeat> = stopping.collect();
        let is_near = |heartbeat: &BalancerHeartbeat| {
            self.region_of(&heartbeat.zone)
                .is_some_and(|own| own == region)
        };
        addresses(&stopping, |heartbeat| {
            is_near(heartbeat) || may_serve(heartbeat)
        })
    }

    /// The regions in which all restricted routes of a host may be served; where there is none,
    /// those of any.
    fn allowed_regions(&self, host: &str) -> BTreeSet<String> {
        let Some(configuration) = &self.state.configuration else {
            return BTreeSet::new();
        };
        let restrictions = || {
            let regions = configuration
                .routes_of(host)
                .map(|route| &route.allowed_regions);
            regions.filter(|regions| !regions.is_empty())
        };
        let any: BTreeSet<String> = restrictions().flatten().cloned().collect();
        let is_common = |region: &&String| restrictions().all(|regions| regions.contains(region));
        let common: BTreeSet<String> = any.iter().filter(is_common).cloned().collect();
        if common.is_empty() { any } else { common }
    }

    fn region_of(&self, zone: &str) -> Option<&String> {
        self.settings.zones.get(zone)
    }
}

fn addresses<'a>(
    balancers: &[&'a BalancerHeartbeat],
    is_included: impl Fn(&BalancerHeartbeat) -> bool,
) -> Vec<&'a str> {
    let included = balancers.iter().filter(|heartbeat| is_included(heartbeat));
    included.map(|heartbeat| &*heartbeat.address).collect()
}
