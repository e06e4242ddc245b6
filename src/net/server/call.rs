//! Handles a request: validation, body, load-balanced call and response.

use super::Server;
use super::connection::REJECTION_RETRY_AFTER;
use super::request::{CallRequest, Rejection, TOO_LARGE};
use super::response::{self, CallerResponse, ResponseBody};
use crate::net::MAX_BODY_BYTES;
use hyper::body::{Body, Incoming};
use hyper::{Request, StatusCode, Version};
use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;
use woadstall_engine::CallResult;
use woadstall_inbound::{ConnectionState, ReadBodyError, lock, read_body};
use woadstall_runtime::CallParameters;
use woadstall_transport::{Http1Body, remove_hop_by_hop_headers};

/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";

const BOTH_LENGTHS: Rejection = Rejection::new(
    StatusCode::BAD_REQUEST,
    "Content-Length beside Transfer-Encoding\n",
);
const BROKEN_BODY: Rejection = Rejection::new(StatusCode::BAD_REQUEST, "the body is broken\n");
const CALL_ID_IN_USE: Rejection = Rejection::new(
    StatusCode::CONFLICT,
    "a request with this X-Call-Id is open\n",
);

impl Server {
    /// Returns the response to a request and the caller's deadline. The deadline is `None` for health checks and
    /// rejected requests.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Mutex<ConnectionState>,
    ) -> (CallerResponse, Option<Instant>) {
        if request.uri().path() == HEALTH_PATH {
            return (self.health_response(), None);
        }
        match self.call(request, connection).await {
            Ok((response, deadline)) => (response, Some(deadline)),
            Err(Rejection { code, text }) => (response::text(code, text), None),
        }
    }

    fn health_response(&self) -> CallerResponse {
        let is_healthy = *self.ready.borrow() && !*self.out_of_service.borrow();
        response::status(match is_healthy {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        })
    }

    async fn call(
        &self,
        request: Request<Incoming>,
        connection: &Mutex<ConnectionState>,
    ) -> Result<(CallerResponse, Instant), Rejection> {
        if lock(connection).has_both_lengths() {
            return Err(BOTH_LENGTHS);
        }
        let call = CallRequest::parse(&request, &self.settings.borrow())?;
        if request.body().size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(TOO_LARGE);
        }
        let _call_id = CallIdGuard::reserve(&self.open_call_ids, call.call_id)?;
        let (mut head, body) = request.into_parts();
        // No time limit is needed here, since connections of overdue callers are aborted.
        let body = match read_body(body, MAX_BODY_BYTES, &self.body_budget).await {
            Err(ReadBodyError::TooLarge) => return Err(TOO_LARGE),
            Err(ReadBodyError::Broken) => return Err(BROKEN_BODY),
            Err(ReadBodyError::OutOfMemory) => None,
            Ok(body) => Some(body),
        };
        let deadline = lock(connection).request_completed() + call.budget;
        let Some(body) = body else {
            return Ok((response::rejection(REJECTION_RETRY_AFTER), deadline));
        };
        let _active = self.metrics.start_request();
        remove_hop_by_hop_headers(&mut head.headers);
        let parameters = CallParameters {
            class: call.class,
            tenant: call.tenant,
            work: call.work,
            deadline,
            max_attempts: u32::MAX,
        };
        let request = Request::from_parts(head, body);
        let result = self.load_balancer.call(parameters, request).await;
        Ok((caller_response(result), deadline))
    }
}

/// Converts the result of a call to a response.
fn caller_response(result: CallResult<hyper::Response<Http1Body>>) -> CallerResponse {
    match result {
        CallResult::Served(response) => {
            let mut response = response.map(ResponseBody::from);
            *response.version_mut() = Version::HTTP_11;
            remove_hop_by_hop_headers(response.headers_mut());
            response
        }
        CallResult::Rejected(nanos) => response::rejection(Duration::from_nanos(nanos)),
        CallResult::Failed => response::status(StatusCode::BAD_GATEWAY),
    }
}

/// Reserves the id of an open call until dropped. Prevents a second open call with the same id, since upstreams and
/// callers could not tell the responses apart.
struct CallIdGuard<'a> {
    open_call_ids: &'a Mutex<HashSet<String>>,
    id: String,
}

impl<'a> CallIdGuard<'a> {
    fn reserve(open_call_ids: &'a Mutex<HashSet<String>>, id: String) -> Result<Self, Rejection> {
        if !lock(open_call_ids).insert(id.clone()) {
            return Err(CALL_ID_IN_USE);
        }
        Ok(Self { open_call_ids, id })
    }
}

impl Drop for CallIdGuard<'_> {
    fn drop(&mut self) {
        lock(self.open_call_ids).remove(&self.id);
    }
}
