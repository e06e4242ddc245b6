//! One attempt of a call: the request, the choice of a balancer, and the response.

use super::attempt_result::AttemptResult;
use super::call::{Call, RESPONSE_GRACE_PERIOD};
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

/// The longest `retry-after` delay that callers accept, in seconds; longer delays are cut to this value.
const MAX_RETRY_AFTER_S: f64 = 3600.0;
/// The longest `grpc-retry-pushback-ms` delay that callers accept; longer delays are cut to this value.
const MAX_RETRY_PUSHBACK_MS: u64 = 3_600_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The key by which attempts are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TallyKey {
    /// Transport of the attempt: `daemon` or `plug-in`.
    pub transport: &'static str,
    /// Name of the call's class.
    pub class: String,
    /// Result of the attempt: `served`, `refused`, `failed` or `unreached`.
    pub result: &'static str,
}

/// Number of attempts by transport, class and result.
pub type Tally = BTreeMap<TallyKey, u64>;

/// An attempt that was sent.
struct SentAttempt {
    transport: &'static str,
    /// Address of the daemon; `None` for an attempt through a plug-in.
    daemon: Option<SocketAddr>,
    /// Result of the attempt; `None` if the response did not arrive before the time-out.
    result: Option<AttemptResult>,
}

impl Callers {
    /// Makes one attempt of a call with the time budget `time_left`. The random number `draw` selects the transport, the
    /// zone and the balancer.
    pub(super) async fn attempt(
        &self,
        call: &Call,
        attempt: u32,
        time_left: Duration,
        draw: u64,
    ) -> AttemptResult {
        let id = format!("{:010x}-{attempt}", call.number);
        let request = self.request(call, &id, attempt, time_left);
        let sent_at = Instant::now();
        let zone = self.zone_of(call.group, draw);
        let sent_attempt = match self.transport_for(draw) {
            Transport::Daemons(daemons) => {
                self.send_to_daemon(daemons, call, request, zone, time_left, draw >> 1)
                    .await
            }
            Transport::Plugins(plugins) => {
                self.send_to_plugin(plugins, call, request, zone, time_left, draw >> 1)
                    .await
            }
            Transport::Both(..) => None, // `Both` holds single transports only
        };
        let Some(attempt) = sent_attempt else {
            return AttemptResult::NotSent;
        };
        self.rules.record_response(CallerObservation {
            request: &id,
            sent_at,
            time_left,
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

    /// Returns a request builder with the headers of an attempt.
    fn request(&self, call: &Call, id: &str, attempt: u32, time_left: Duration) -> Builder {
        let class = &self.scenario.class[call.class];
        let mut request = Request::builder()
            .header(headers::CALL_ID, id)
            .header(headers::CALL_CLASS, &class.name)
            .header(headers::BUDGET, format!("{:.6}", time_left.as_secs_f64()));
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
            single => single,
        }
    }

    /// Returns the zone of the caller: the group's zone, or a random zone if the group has none.
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
        time_left: Duration,
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
        let response = timeout(
            time_left + RESPONSE_GRACE_PERIOD,
            self.request_daemon(request),
        )
        .await;
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
        time_left: Duration,
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
        let response = timeout(time_left + RESPONSE_GRACE_PERIOD, response).await;
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
