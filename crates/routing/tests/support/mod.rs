//! Routers, routes, services and upstreams for the tests.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use serde_json::json;
use woadstall_control::configuration::{Configuration, Route, Service};
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_routing::{Decision, Fleet, Location, Prompt, Query, Router, RoutingLimits, Target};

/// Hash of the name of the balancer under test.
pub const OWN: u32 = 1;

pub fn limits() -> RoutingLimits {
    RoutingLimits {
        retry_budget_ratio: 0.2,
        retry_budget_window_ms: 10_000,
        retry_budget_slack: 56.0,
        warmup_factor: 1.5,
        warmup_slack: 5.0,
    }
}

/// Creates a router in region `north`. The system has three regions with one zone each, and four
/// balancers, three of which are in `north`.
pub fn router() -> Router {
    let zones = [("n", "north"), ("s", "south"), ("w", "west")];
    let location = Location {
        region: "north".to_owned(),
        region_by_zone: zones
            .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
            .into(),
    };
    let mut router = Router::new(location, limits(), 1);
    let mut fleet = Fleet::new(OWN);
    fleet.by_region.insert("north".to_owned(), vec![OWN, 2, 3]);
    fleet.by_region.insert("south".to_owned(), vec![4]);
    router.set_fleet(fleet);
    router
}

pub fn registration(id: &str, zone: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        service: "s1".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: zone.to_owned(),
        capacity: 64,
        sequence: 1,
        status: UpstreamStatus::Ready,
        slow_start_remaining_ms: 0,
        termination_remaining_ms: 0,
        age_ms: 0,
    }
}

/// Creates a router with the given number of upstreams per zone. An upstream is named after its
/// zone and its number.
pub fn router_with(upstreams: &[(&str, usize)]) -> Router {
    let mut router = router();
    for (zone, count) in upstreams {
        for number in 0..*count {
            router.register(0, &registration(&format!("{zone}{number}"), zone));
        }
    }
    router
}

pub struct Request {
    pub route: Route,
    pub service: Service,
    pub prompt: Prompt,
    pub tried: Vec<woadstall_routing::UpstreamId>,
}

pub fn request() -> Request {
    let document = json!({
        "generation": 1,
        "routes": [{
            "name": "r", "host": "h", "path_prefix": "/", "route_type": "streaming", "timeout_ms": 5000, "service": "s1",
            "session_affinity": true, "max_attempts": 2,
        }],
        "services": [{ "name": "s1", "max_connections": 370, "cold_start_s": 3.0, "warmup_per_s": 21.0 }],
    });
    let configuration = Configuration::read(&document).unwrap();
    let (route, service) = (
        configuration.routes[0].clone(),
        configuration.services["s1"].clone(),
    );
    Request {
        route,
        service,
        prompt: Prompt::default(),
        tried: Vec::new(),
    }
}

impl Request {
    pub fn choose(&self, router: &mut Router, now: u64) -> Decision {
        let query = Query {
            route: &self.route,
            service: &self.service,
            prompt: self.prompt,
            tried: &self.tried,
        };
        router.choose(now, &query)
    }

    pub fn target(&self, router: &mut Router, now: u64) -> Target {
        match self.choose(router, now) {
            Decision::Forward(target) => target,
            Decision::Reject(rejection) => panic!("rejected: {rejection:?}"),
        }
    }
}
