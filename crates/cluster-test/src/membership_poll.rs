//! Polling of the operators' interface of all running balancers for their membership reports and their evacuated zones.

use crate::balancer::Balancer;
use crate::fleet::Fleet;
use crate::membership::Membership;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{interval, timeout};
use woadstall_emulator::{Requirement, Scenario};
use woadstall_evacuation::Status;
use woadstall_load_test::lock;
use woadstall_membership_net::Report;

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// No further requests are sent while the number of pending requests per balancer exceeds this limit.
const MAX_PENDING_PER_BALANCER: usize = 2;

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// A response of the operators' interface.
enum OperatorResponse {
    Members(Box<Report>),
    Evacuation(Status),
}

/// Index of a balancer and its response; `None` if the request failed or timed out.
type PollResult = (usize, Option<OperatorResponse>);

/// Polls all running balancers until the future is dropped. Returns at once if the scenario has no membership.
pub async fn poll(fleet: Arc<Fleet>) {
    let Some(membership) = &fleet.membership else {
        return;
    };
    let mut partition_checks = partition_check_times(&fleet.scenario);
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build(HttpConnector::new());
    let mut ticks = interval(POLL_INTERVAL);
    let mut pending = JoinSet::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(result) = pending.join_next() => {
                if let Ok((number, Some(response))) = result {
                    record_response(membership, number, response);
                }
                continue;
            }
        }
        while partition_checks
            .front()
            .is_some_and(|&due_ns| membership.now_ns() >= due_ns)
        {
            partition_checks.pop_front();
            record_partitions(&fleet, membership);
        }
        if pending.len() > MAX_PENDING_PER_BALANCER * fleet.balancers.len() {
            continue;
        }
        for balancer in &fleet.balancers {
            if balancer.is_expected_to_run() {
                send_requests(&fleet.scenario, balancer, &client, &mut pending);
            }
        }
    }
}

/// Returns the times at which the scenario's bounds require partitions to be reported, in nanoseconds, in ascending
/// order.
fn partition_check_times(scenario: &Scenario) -> VecDeque<u64> {
    let mut times: Vec<u64> = scenario
        .bound
        .iter()
        .filter_map(|bound| match bound.requirement {
            Requirement::PartitionsReported { at, .. } => Some(at.0),
            _ => None,
        })
        .collect();
    times.sort_unstable();
    times.into()
}

fn record_partitions(fleet: &Fleet, membership: &Membership) {
    let active = lock(&fleet.active_faults).clone();
    membership.record_partitions(|from, to| fleet.member_link(&active, from, to).partitioned);
}

fn record_response(membership: &Membership, number: usize, response: OperatorResponse) {
    match response {
        OperatorResponse::Members(report) => membership.record_report(number, *report),
        OperatorResponse::Evacuation(status) => membership.record_evacuation(number, &status),
    }
}

fn send_requests(
    scenario: &Scenario,
    balancer: &Balancer,
    client: &HttpClient,
    pending: &mut JoinSet<PollResult>,
) {
    let number = balancer.placement.number as usize;
    let Some(admin) = balancer.endpoints.admin else {
        return;
    };
    let members = get_json(client.clone(), admin, "/control/instances");
    pending.spawn(async move {
        let report = members.await.map(Box::new);
        (number, report.map(OperatorResponse::Members))
    });
    if scenario.evacuation.is_some() {
        let status = get_json(client.clone(), admin, "/control/places");
        pending.spawn(async move { (number, status.await.map(OperatorResponse::Evacuation)) });
    }
}

/// Requests a JSON document. Returns `None` if the request fails, times out or returns invalid JSON.
async fn get_json<T: DeserializeOwned>(
    client: HttpClient,
    address: SocketAddr,
    path: &'static str,
) -> Option<T> {
    let read = async {
        let request = Request::get(format!("http://{address}{path}"))
            .body(Empty::<Bytes>::new())
            .ok()?;
        let response = client.request(request).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    };
    timeout(REQUEST_TIMEOUT, read).await.ok().flatten()
}
