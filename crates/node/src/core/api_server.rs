//! HTTP API server: passes requests to the control machine or to the coordination service and waits
//! for their responses.

use super::CoreError;
use super::api::{ApiRequest, ApiResponse, HttpRequest, HttpResponse, request, response};
use super::coordination::{self, CoordinationHandle, CoordinationRequest};
use super::event::{Event, EventSender};
use super::listener::ACCEPT_RETRY_INTERVAL;
use crate::error::SetupError;
use crate::settings::{Endpoint, NodeSettings};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};
use woadstall_coordination::command::Call;
use woadstall_inbound::{BodyBudget, BodyMemory};
use woadstall_socket_options::set_nodelay;

/// Maximum time for which a request waits for its response. The machine's own time-out is slightly
/// shorter.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time within which a client must send the head of a request, measured from the end of the
/// previous request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which a client must send a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size up to which an oversized body is read and discarded, so that its sender receives
/// the error response.
const MAX_DISCARDED_BYTES: usize = 32 << 20;
/// Minimum size of a body that is parsed on a separate thread, so that parsing does not delay the
/// replicated logs.
const LARGE_BODY_BYTES: usize = 64 << 10;
/// Large request bodies may use the memory limit of the process divided by this number. Parsing a body takes several
/// times its size.
const BODY_MEMORY_DIVISOR: usize = 8;
/// Number of large bodies that are parsed at the same time.
const MAX_LARGE_PARSES: usize = 1;
/// Fraction of the process's file descriptors that API clients may use.
const CLIENT_DESCRIPTOR_RATIO: f64 = 0.7;

/// Queues of the services that handle API requests.
#[derive(Clone, Debug)]
pub(super) struct RequestQueues {
    /// Event queue of the control machine.
    pub control: EventSender,
    /// Handle of the coordination service; `None` if the service is disabled.
    pub coordination: Option<CoordinationHandle>,
}

/// Serves the API on the addresses of the control and directory endpoints, which may be equal.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub(super) async fn start(
    settings: &NodeSettings,
    control_address: SocketAddr,
    queues: RequestQueues,
) -> Result<(), CoreError> {
    let directory_address = settings
        .listen_address(Endpoint::Directory)
        .filter(|address| *address != control_address);
    let server = Arc::new(ApiServer {
        queues,
        max_connections: (settings.max_fds as f64 * CLIENT_DESCRIPTOR_RATIO) as usize,
        connections: AtomicUsize::new(0),
        large_bodies: BodyBudget::new(settings.memory_bytes / BODY_MEMORY_DIVISOR),
        large_parses: Semaphore::new(MAX_LARGE_PARSES),
    });
    for address in std::iter::once(control_address).chain(directory_address) {
        let listener = TcpListener::bind(address)
            .await
            .map_err(SetupError::during(format!("bind the address {address}")))?;
        tokio::spawn(accept(server.clone(), listener));
    }
    Ok(())
}

/// Accepts connections until the process ends.
async fn accept(server: Arc<ApiServer>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                let open = server.connections.load(Ordering::Relaxed);
                if open >= server.max_connections {
                    log::warn!("api_connection_rejected open_connections={open}");
                    continue;
                }
                server.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve_connection(server.clone(), stream, client.ip()));
            }
            Err(error) => {
                log::warn!("accept_failed error={error}");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection(server: Arc<ApiServer>, stream: TcpStream, client: IpAddr) {
    set_nodelay(&stream);
    let service = service_fn(|request| {
        let server = server.clone();
        async move { server.serve(request, client).await }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("api_connection_failed error={error}");
    }
    server.connections.fetch_sub(1, Ordering::Relaxed);
}

/// State shared by all connections of the API.
#[derive(Debug)]
struct ApiServer {
    queues: RequestQueues,
    max_connections: usize,
    /// Number of open connections.
    connections: AtomicUsize,
    /// Memory for request bodies of at least [`LARGE_BODY_BYTES`]. Smaller bodies, such as heartbeats, are limited by the
    /// number of connections.
    large_bodies: Arc<BodyBudget>,
    /// Permits to parse large bodies.
    large_parses: Semaphore,
}

impl ApiServer {
    /// Reads and answers a request. An error closes the connection.
    async fn serve(
        &self,
        request: hyper::Request<Incoming>,
        client: IpAddr,
    ) -> Result<hyper::Response<Full<Bytes>>, hyper::Error> {
        let (head, body) = request.into_parts();
        let response = match timeout(BODY_TIMEOUT, read_body(body, &self.large_bodies)).await {
            Ok(body) => match body? {
                ReceivedBody::Complete(body) => {
                    self.handle(HttpRequest::new(head, body, client)).await
                }
                ReceivedBody::TooLarge => response::rejection(&request::RequestError::BodyTooLarge),
                ReceivedBody::OutOfMemory => response::unavailable(),
            },
            Err(_) => response::rejection(&request::RequestError::BodyTimeout),
        };
        Ok(response.into())
    }

    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        match self.parse(request).await {
            Ok(ApiRequest::Coordination(request)) => {
                self.handle_coordination_request(request).await
            }
            Ok(ApiRequest::CoordinationStatus) => self.coordination_status().await,
            Ok(request) => self.handle_control_request(request).await,
            Err(error) => response::rejection(&error),
        }
    }

    async fn parse(&self, request: HttpRequest) -> Result<ApiRequest, request::RequestError> {
        if request.body.len() < LARGE_BODY_BYTES {
            return request::parse(&request);
        }
        let _permit = self.large_parses.acquire().await;
        let parsed = spawn_blocking(move || request::parse(&request)).await;
        parsed.unwrap_or(Err(request::RequestError::ParserEnded))
    }

    async fn handle_control_request(&self, request: ApiRequest) -> HttpResponse {
        let (responder, response) = oneshot::channel();
        let event = Event::Api {
            request,
            received_at: Instant::now(),
            responder,
        };
        if self.queues.control.send(event).is_err() {
            return response::unavailable();
        }
        let response = receive_response(response, RESPONSE_TIMEOUT).await;
        response.map_or_else(response::unavailable, response::render)
    }

    async fn coordination_status(&self) -> HttpResponse {
        let Some(coordination) = &self.queues.coordination else {
            return response::unavailable();
        };
        let (responder, response) = oneshot::channel();
        coordination.send(coordination::Event::Status { responder });
        let response = receive_response(response, RESPONSE_TIMEOUT).await;
        response.map_or_else(response::unavailable, response::render)
    }

    async fn handle_coordination_request(&self, request: CoordinationRequest) -> HttpResponse {
        let Some(coordination) = &self.queues.coordination else {
            return response::unavailable();
        };
        let time_limit = match &request {
            CoordinationRequest::Call(_) => RESPONSE_TIMEOUT,
            CoordinationRequest::Watch(watch) => {
                Duration::from_millis(watch.wait_ms) + RESPONSE_TIMEOUT
            }
        };
        let is_command = matches!(request, CoordinationRequest::Call(Call::Command(_)));
        let (responder, response) = oneshot::channel();
        coordination.send(coordination::Event::Request {
            request,
            received_at: Instant::now(),
            responder,
        });
        let response = receive_response(response, time_limit).await;
        response.map_or_else(|| response::timed_out(is_command), response::render)
    }
}

/// Waits for a response; `None` if the time-out passes or if the responder is dropped.
async fn receive_response(
    response: oneshot::Receiver<ApiResponse>,
    time_limit: Duration,
) -> Option<ApiResponse> {
    timeout(time_limit, response).await.ok()?.ok()
}

/// Result of reading a request body.
enum ReceivedBody {
    Complete(Bytes),
    /// The body exceeds [`request::MAX_BODY_BYTES`].
    TooLarge,
    /// The memory for large bodies is exhausted.
    OutOfMemory,
}

/// Reads a request body. A body that cannot be kept is discarded, so that its sender receives the response.
async fn read_body(
    mut body: Incoming,
    large_bodies: &Arc<BodyBudget>,
) -> Result<ReceivedBody, hyper::Error> {
    let mut collected = Vec::new();
    let mut memory = BodyMemory::new(large_bodies);
    let mut is_out_of_memory = false;
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        size += data.len();
        if size > MAX_DISCARDED_BYTES {
            break;
        }
        is_out_of_memory = is_out_of_memory || !reserve_large(&mut memory, size);
        if size > request::MAX_BODY_BYTES || is_out_of_memory {
            collected = Vec::new();
            memory.shrink_to(0);
        } else {
            collected.extend_from_slice(&data);
        }
    }
    Ok(if size > request::MAX_BODY_BYTES {
        ReceivedBody::TooLarge
    } else if is_out_of_memory {
        ReceivedBody::OutOfMemory
    } else {
        ReceivedBody::Complete(memory.attach(collected.into()))
    })
}

/// Reserves memory for a body of `size` bytes so far if the body is large. Returns whether there is enough.
fn reserve_large(memory: &mut BodyMemory, size: usize) -> bool {
    let missing = size.saturating_sub(memory.bytes());
    // The reservation doubles like the capacity of the growing buffer.
    size < LARGE_BODY_BYTES || missing == 0 || memory.reserve(missing.max(memory.bytes()))
}
