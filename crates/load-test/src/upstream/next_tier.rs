//! Calls of an upstream to the next tier.

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

/// Number of the next call by any upstream of this process, which makes call ids unique.
static NEXT_CALL_NUMBER: AtomicU64 = AtomicU64::new(0);
/// The largest accepted time budget of a request, in seconds.
const MAX_BUDGET_S: f64 = 3600.0;

/// The next tier as called by an upstream.
pub struct NextTier {
    /// Mean number of calls to the next tier per request.
    pub mean_calls: f64,
    /// The balancers through which the upstream calls the next tier.
    pub balancers: Vec<BalancerEndpoint>,
}

/// The calls that one request makes to the next tier.
struct CallPlan {
    /// Zone whose balancers the calls prefer.
    zone: u8,
    count: u32,
    /// Random number that selects the balancers.
    draw: u64,
}

impl Upstream {
    /// Makes the calls of a request to the next tier in parallel, and returns whether all calls were served. The time
    /// limit of the calls is the time left for the request itself.
    pub(super) async fn call_next_tier(
        &self,
        class: usize,
        headers: &HeaderMap,
        received: Instant,
    ) -> bool {
        let Some(next_tier) = self.next_tier.get() else {
            return true;
        };
        let time_left = self.time_left(class, headers, received);
        let calls = self.draw_calls(next_tier);
        if time_left.is_zero() {
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
            let Some(request) = self.next_tier_request(class, headers, number, balancer, time_left)
            else {
                return false;
            };
            let response = client().request(request);
            responses.spawn(async move {
                let response = timeout(time_left, response).await.ok()?.ok()?;
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

    fn draw_calls(&self, next_tier: &NextTier) -> CallPlan {
        let mut state = lock(&self.state);
        let mean = next_tier.mean_calls;
        let has_extra_call = chance(&mut state.model.rng, mean.fract());
        CallPlan {
            zone: state.model.zone,
            count: mean.floor() as u32 + u32::from(has_extra_call),
            draw: state.model.rng.random::<u64>(),
        }
    }

    fn next_tier_request(
        &self,
        class: usize,
        headers: &HeaderMap,
        number: u32,
        balancer: &BalancerEndpoint,
        time_left: Duration,
    ) -> Option<Request<Full<Bytes>>> {
        let class = &self.scenario.class[class];
        let id = format!("{:x}-n", NEXT_CALL_NUMBER.fetch_add(1, Ordering::Relaxed));
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
            .header(headers::BUDGET, format!("{:.6}", time_left.as_secs_f64()));
        let key = headers::text(headers, headers::IDEMPOTENCY_KEY);
        if let Some(key) = key.filter(|_| class.effect == CallEffect::Keyed) {
            // The derived key does not depend on the upstream, so that a retry of the request on another upstream of
            // this tier sends the same key.
            let key = format!("{key}-{}-{number}", self.tier);
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        request.body(Full::new(Bytes::new())).ok()
    }
}

/// Returns the HTTP client that all upstreams of this process share for calls to balancers.
fn client() -> &'static Client<HttpConnector, Full<Bytes>> {
    static CLIENT: OnceLock<Client<HttpConnector, Full<Bytes>>> = OnceLock::new();
    CLIENT.get_or_init(|| {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client::builder(TokioExecutor::new()).build(connector)
    })
}
