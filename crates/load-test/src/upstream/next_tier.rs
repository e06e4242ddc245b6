//! The calls of an upstream to the next tier.

use super::Upstream;
use crate::callers::{BalancerEndpoint, choose_in_zone};
use crate::headers;
use crate::lock;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::timeout;
use woadstall_emulator::{CallEffect, chance};

/// Numbers of the calls that upstreams make, so that each has an id of its own.
static CALL_NUMBER: AtomicU64 = AtomicU64::new(0);
/// The most time that a caller may leave, in seconds.
const MAX_BUDGET_S: f64 = 3600.0;

/// Where an upstream calls the next tier.
pub struct NextTier {
    /// The mean number of calls for each request.
    pub mean_calls: f64,
    /// The balancers of that tier that it may call.
    pub balancers: Vec<BalancerEndpoint>,
}

/// The calls that one request needs.
struct Calls {
    zone: u8,
    count: u32,
    draw: u64,
}

impl Upstream {
    /// Makes the calls to the next tier that a request needs, all at once, and returns whether all were served. They have
    /// as much time as the request's own caller has left.
    pub(super) async fn call_next_tier(
        &self,
        class: usize,
        headers: &HeaderMap,
        received: Instant,
    ) -> bool {
        let Some(next_tier) = self.next_tier.get() else {
            return true;
        };
        let left = self.time_left(class, headers, received);
        let calls = self.draw_calls(next_tier);
        if left.is_zero() {
            return calls.count == 0;
        }
        let zones = self.scenario.zones.len();
        let mut responses = JoinSet::new();
        for number in 0..calls.count {
            let draw = calls.draw.wrapping_add(u64::from(number) << 33);
            let balancers = &next_tier.balancers;
            let balancer = choose_in_zone(
                balancers,
                zones,
                calls.zone,
                draw,
                BalancerEndpoint::open_zone,
            );
            let Some(balancer) = balancer else {
                return false;
            };
            let Some(request) = self.next_tier_request(class, headers, number, balancer, left)
            else {
                return false;
            };
            let response = client().request(request);
            responses.spawn(async move {
                let response = timeout(left, response).await.ok()?.ok()?;
                let status = response.status();
                response.into_body().collect().await.ok()?;
                (status == StatusCode::OK).then_some(())
            });
        }
        let mut all_served = true;
        while let Some(response) = responses.join_next().await {
            all_served &= matches!(response, Ok(Some(())));
        }
        all_served
    }

    fn time_left(&self, class: usize, headers: &HeaderMap, received: Instant) -> Duration {
        let budget_s = headers::text(headers, headers::BUDGET)
            .and_then(|budget| budget.parse::<f64>().ok())
            .filter(|budget| budget.is_finite())
            .unwrap_or(self.scenario.class[class].deadline.seconds());
        let budget = Duration::from_secs_f64(budget_s.clamp(0.0, MAX_BUDGET_S));
        budget.saturating_sub(received.elapsed())
    }

    fn draw_calls(&self, next_tier: &NextTier) -> Calls {
        let mut state = lock(&self.state);
        let mean = next_tier.mean_calls;
        let one_more = chance(&mut state.model.rng, mean.fract());
        Calls {
            zone: state.model.zone,
            count: mean.floor() as u32 + u32::from(one_more),
            draw: state.model.rng.random::<u64>(),
        }
    }

    fn next_tier_request(
        &self,
        class: usize,
        headers: &HeaderMap,
        number: u32,
        balancer: &BalancerEndpoint,
        left: Duration,
    ) -> Option<Request<Full<Bytes>>> {
        let class = &self.scenario.class[class];
        let id = format!("{:x}-n", CALL_NUMBER.fetch_add(1, Ordering::Relaxed));
        let method = if class.effect == CallEffect::Safe {
            Method::GET
        } else {
            Method::POST
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}/{}", balancer.address, class.name))
            .header(headers::CALL_ID, id)
            .header(headers::CALL_CLASS, &class.name)
            .header(headers::BUDGET, format!("{:.6}", left.as_secs_f64()));
        let key = headers::text(headers, headers::IDEMPOTENCY_KEY);
        if let Some(key) = key.filter(|_| class.effect == CallEffect::Keyed) {
            // The same for the same work, whichever upstream of this tier calls for it.
            let key = format!("{key}-{}-{number}", self.tier);
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        request.body(Full::new(Bytes::new())).ok()
    }
}

/// The connections of all upstreams of this process to balancers.
fn client() -> &'static Client<HttpConnector, Full<Bytes>> {
    static CLIENT: OnceLock<Client<HttpConnector, Full<Bytes>>> = OnceLock::new();
    CLIENT.get_or_init(|| {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client::builder(TokioExecutor::new()).build(connector)
    })
}
