//! One attempt of a call: the request, the balancer that it goes through, and the response.

use super::attempt_result::AttemptResult;
use super::call::{Call, RESPONSE_PATIENCE};
use super::endpoint::{BalancerEndpoint, choose_in_zone};
use super::{Callers, Transport};
use crate::headers;
use crate::lock;
use crate::rule_checker::CallerObservation;
use bytes::Bytes;
use http::request::Builder;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::timeout;
use tower_service::Service;
use woadstall_emulator::CallEffect;
use woadstall_mock_servers::grpc::message;
use woadstall_tower::Balance;

/// The longest advice to retry later that counts, in seconds.
const MAX_RETRY_AFTER_S: f64 = 3600.0;
const MAX_RETRY_PUSHBACK_MS: u64 = 3_600_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// What attempts are counted by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TallyKey {
    /// `daemon` or `plug-in`.
    pub transport: &'static str,
    /// The name of the class.
    pub class: String,
    /// `served`, `refused`, `failed` or `unreached`.
    pub result: &'static str,
}

/// Counts of attempts.
pub type Tally = BTreeMap<TallyKey, u64>;

/// An attempt that was sent.
struct SentAttempt {
    transport: &'static str,
    /// The daemon that it went through, if it was one.
    daemon: Option<SocketAddr>,
    /// The result, if there was a response in time.
    result: Option<AttemptResult>,
}

impl Callers {
    /// Makes one attempt of a call, which has so much time left. `draw` decides what it goes through.
    pub(super) async fn attempt(
        &self,
        call: &Call,
        attempt: u32,
        left: Duration,
        draw: u64,
    ) -> AttemptResult {
        let id = format!("{:010x}-{attempt}", call.number);
        let request = self.request(call, &id, attempt, left);
        let sent = Instant::now();
        let zone = self.zone_of(call.group, draw);
        let sent_attempt = match self.transport_for(draw) {
            Transport::Daemons(daemons) => {
                self.send_to_daemon(daemons, call, request, zone, left, draw >> 1)
                    .await
            }
            Transport::Plugins(plugins) => {
                self.send_to_plugin(plugins, call, request, zone, left, draw >> 1)
                    .await
            }
            Transport::Both(..) => None, // both of both are not both
        };
        let Some(attempt) = sent_attempt else {
            return AttemptResult::NotSent;
        };
        self.rules.record_response(CallerObservation {
            request: &id,
            sent,
            left,
            answered: attempt.result.is_some(),
            daemon: attempt.daemon,
        });
        let result = attempt.result.unwrap_or(AttemptResult::Failed);
        let class = &self.scenario.class[call.class];
        let key = TallyKey {
            transport: attempt.transport,
            class: class.name.clone(),
            result: result_name(&result),
        };
        *lock(&self.tally).entry(key).or_default() += 1;
        if matches!(result, AttemptResult::Rejected { .. }) {
            self.rules.record_rejection(&id, class.effect);
        }
        result
    }

    /// The headers of an attempt.
    fn request(&self, call: &Call, id: &str, attempt: u32, left: Duration) -> Builder {
        let class = &self.scenario.class[call.class];
        let mut request = Request::builder()
            .header(headers::CALL_ID, id)
            .header(headers::CALL_CLASS, &class.name)
            .header(headers::BUDGET, format!("{:.6}", left.as_secs_f64()));
        if let Some(tenant) = &self.scenario.callers[call.group].tenant {
            request = request.header(headers::TENANT, tenant);
        }
        if class.effect == CallEffect::Keyed {
            request = request.header(headers::IDEMPOTENCY_KEY, format!("{:032x}", call.number));
        }
        if attempt > 1 {
            request = request.header(headers::RETRY, "1");
        }
        request
    }

    fn transport_for(&self, draw: u64) -> &Transport {
        match &self.transport {
            Transport::Both(first, second) => {
                if draw & 1 == 0 {
                    first
                } else {
                    second
                }
            }
            only => only,
        }
    }

    /// The zone that an attempt comes from: its group's, or any.
    fn zone_of(&self, group: usize, draw: u64) -> u8 {
        let zone = self
            .scenario
            .zone(&self.scenario.callers[group].zone)
            .unwrap_or(None);
        zone.unwrap_or(((draw >> 32) as usize % self.scenario.zones.len()) as u8)
    }

    async fn send_to_daemon(
        &self,
        daemons: &[BalancerEndpoint],
        call: &Call,
        request: Builder,
        zone: u8,
        left: Duration,
        draw: u64,
    ) -> Option<SentAttempt> {
        let zones = self.scenario.zones.len();
        let daemon = choose_in_zone(daemons, zones, zone, draw, BalancerEndpoint::open_zone)?;
        let class = &self.scenario.class[call.class];
        let method = if class.effect == CallEffect::Safe {
            Method::GET
        } else {
            Method::POST
        };
        let request = request
            .method(method)
            .uri(format!("http://{}/{}", daemon.address, class.name))
            .body(Full::new(Bytes::new()))
            .ok()?;
        let response = timeout(left + RESPONSE_PATIENCE, self.request_daemon(request)).await;
        Some(SentAttempt {
            transport: "daemon",
            daemon: Some(daemon.address),
            result: response.ok(),
        })
    }

    async fn send_to_plugin(
        &self,
        plugins: &[(Balance, u8)],
        call: &Call,
        request: Builder,
        zone: u8,
        left: Duration,
        draw: u64,
    ) -> Option<SentAttempt> {
        let zones = self.scenario.zones.len();
        let (balance, _) = choose_in_zone(plugins, zones, zone, draw, |(_, zone)| Some(*zone))?;
        let class = &self.scenario.class[call.class];
        let request = request
            .method(Method::POST)
            .uri(format!("/load.Nodo/{}", class.name))
            .header("content-type", "application/grpc")
            .body(Full::new(message(b"work")))
            .ok()?;
        let response = request_plugin(balance.clone(), request);
        let response = timeout(left + RESPONSE_PATIENCE, response).await;
        Some(SentAttempt {
            transport: "plug-in",
            daemon: None,
            result: response.ok(),
        })
    }

    async fn request_daemon(&self, request: Request<Full<Bytes>>) -> AttemptResult {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return AttemptResult::NotSent,
            Err(_) => return AttemptResult::Failed,
        };
        let status = response.status();
        let retry_after_s = headers::text(response.headers(), "retry-after")
            .and_then(|seconds| seconds.parse::<f64>().ok())
            .unwrap_or(0.0);
        if response.into_body().collect().await.is_err() {
            return AttemptResult::Failed;
        }
        match status {
            StatusCode::OK => AttemptResult::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let retry_after_s = retry_after_s.clamp(0.0, MAX_RETRY_AFTER_S);
                AttemptResult::Rejected {
                    retry_after_ns: (retry_after_s * 1e9) as u64,
                }
            }
            _ => AttemptResult::Failed,
        }
    }
}

async fn request_plugin(mut balance: Balance, request: Request<Full<Bytes>>) -> AttemptResult {
    let Ok(response) = balance.call(request).await;
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return AttemptResult::Failed;
    };
    let trailers = body.trailers().unwrap_or(&head.headers);
    let text = |name: &str| {
        trailers
            .get(name)
            .or(head.headers.get(name))
            .and_then(|value| value.to_str().ok())
    };
    match text("grpc-status") {
        Some("0") => AttemptResult::Served,
        Some("14") => {
            let pushback_ms = text("grpc-retry-pushback-ms").and_then(|ms| ms.parse::<u64>().ok());
            let pushback_ms = pushback_ms.unwrap_or(0).min(MAX_RETRY_PUSHBACK_MS);
            AttemptResult::Rejected {
                retry_after_ns: pushback_ms * NANOS_PER_MILLI,
            }
        }
        _ => AttemptResult::Failed,
    }
}

fn result_name(result: &AttemptResult) -> &'static str {
    match result {
        AttemptResult::Served => "served",
        AttemptResult::Rejected { .. } => "refused",
        AttemptResult::Failed => "failed",
        AttemptResult::NotSent => "unreached",
    }
}
