//! The directory service: selects the balancers for a client, and the control machine to which an
//! upstream sends its heartbeats.

use super::ControlMachine;
use crate::balancers::BalancerHeartbeat;
use crate::shards::hash;
use crate::wire::MachineInfo;
use std::collections::BTreeSet;

/// The time in milliseconds after its last heartbeat for which a balancer is offered to clients. It
/// covers three heartbeat periods and the delay between machines.
const BALANCER_TIMEOUT_MS: u64 = 1_100;
/// The time in milliseconds after its last ready heartbeat for which a balancer that is shutting
/// down may still be offered to clients. A balancer accepts clients for 3 s during its shutdown.
const SHUTDOWN_ACCEPT_MS: u64 = 2_500;
/// The maximum number of addresses in a response. It leaves a client with alternatives when some
/// balancers fail, and keeps responses short. Each client always gets the same subset, because a
/// client closes its connections to balancers that are missing from a new response.
const MAX_ADDRESSES: usize = 16;
/// The time-to-live of a response in seconds in a small fleet. It is short because few clients
/// repeat their requests.
const TTL_S: u64 = 1;
/// The time-to-live of a response in seconds in a large fleet, where many clients repeat their
/// requests.
const LARGE_FLEET_TTL_S: u64 = 2;
/// The number of ready balancers from which the fleet counts as large.
const LARGE_FLEET: usize = 32;

/// A client's request for the addresses of balancers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolveRequest {
    /// The address of the client. It determines which subset of the balancers the client gets.
    pub client: String,
    /// The host name in the client's requests, which selects the routes.
    pub host: String,
    /// The zone of the client.
    pub zone: String,
    /// The region of the client, used if the settings do not list the zone.
    pub region: String,
}

/// The response to a [`ResolveRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolveResponse {
    /// The addresses of the selected balancers, as `ip:port`.
    pub addresses: Vec<String>,
    /// The time-to-live of the response in seconds.
    pub ttl_s: u64,
}

impl ControlMachine {
    /// Returns the control address to which an upstream sends its subsequent heartbeats. A control
    /// machine in the upstream's zone is preferred to one in its region; `None` means that neither
    /// has an alive machine.
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

    /// Selects the balancers for a client, in this order of preference: ready balancers in the
    /// client's zone, in its region, in the regions to which the routes of its host are restricted,
    /// and all. If the routes are restricted, only balancers in the allowed regions or in the
    /// client's region may read the requests, so balancers that are shutting down there are
    /// preferred to ready ones elsewhere.
    pub fn resolve(&self, request: &ResolveRequest) -> ResolveResponse {
        let alive = self.balancers.alive(self.now_ms, BALANCER_TIMEOUT_MS);
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

    /// Selects balancers for a client whose region has no ready balancer and whose requests are
    /// restricted to the `allowed` regions. Returns none if `allowed` is empty.
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
        let stopping =
            self.balancers
                .stopping(self.now_ms, BALANCER_TIMEOUT_MS, SHUTDOWN_ACCEPT_MS);
        let stopping: Vec<&BalancerHeartbeat> = stopping.collect();
        let is_near = |heartbeat: &BalancerHeartbeat| {
            self.region_of(&heartbeat.zone)
                .is_some_and(|balancer_region| balancer_region == region)
        };
        addresses(&stopping, |heartbeat| {
            is_near(heartbeat) || may_serve(heartbeat)
        })
    }

    /// Returns the regions in which all restricted routes of a host may be served. If there is no
    /// such region, returns the regions in which any restricted route may be served.
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
        let in_any_route: BTreeSet<String> = restrictions().flatten().cloned().collect();
        let is_in_all_routes =
            |region: &&String| restrictions().all(|regions| regions.contains(region));
        let in_all_routes: BTreeSet<String> = in_any_route
            .iter()
            .filter(is_in_all_routes)
            .cloned()
            .collect();
        if in_all_routes.is_empty() {
            in_any_route
        } else {
            in_all_routes
        }
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
