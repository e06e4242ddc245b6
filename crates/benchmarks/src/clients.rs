//! The compared call methods: a direct connection, `tower::balance::p2c`, and the plug-in.

use crate::direct::{CallFailed, DirectClient};
use crate::error::BenchmarkError;
use crate::servers::RESPONSE_BODY;
use crate::settings::start_plugin;
use bytes::Bytes;
use clap::ValueEnum;
use http::Request;
use http_body_util::{BodyExt, Empty};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tower::ServiceExt;
use tower::balance::p2c;
use tower::buffer::Buffer;
use tower::discover::ServiceList;
use tower::load::{CompleteOnResponse, PendingRequests};
use tower::util::BoxService;
use tower_service::Service;
use woadstall_tower::Balance;

/// The largest number of requests in the buffer of the shared p2c balancer.
const BUFFER_BOUND: usize = 1024;

/// The method by which a caller makes its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum CallMethod {
    /// One connection to each upstream, in turn.
    Direct,
    /// `tower::balance::p2c` by pending requests, shared through a buffer as tonic's channel does.
    P2c,
    /// `tower::balance::p2c` with a balancer for each task, which does not see the pending requests of other tasks.
    P2cEach,
    /// The plug-in.
    Plugin,
}

/// The type-erased client of one task.
pub type ClientService = BoxService<Request<()>, Bytes, CallFailed>;

type P2cBalance = p2c::Balance<ServiceList<Vec<PendingRequests<DirectClient>>>, Request<()>>;
type SharedP2c = Buffer<Request<()>, <P2cBalance as Service<Request<()>>>::Future>;

/// Connections and balancers shared by the clients of all tasks.
pub struct Clients {
    direct: Vec<DirectClient>,
    p2c: SharedP2c,
    plugin: Balance,
    /// Number of the next direct call, which selects the upstream.
    next_call: Arc<AtomicUsize>,
}

impl Clients {
    /// Connects to the upstreams for each call method.
    ///
    /// # Errors
    ///
    /// Returns [`BenchmarkError::Io`] or [`BenchmarkError::Http2`] if an upstream cannot be reached, and
    /// [`BenchmarkError::Plugin`] if the plug-in does not start.
    pub async fn connect(upstreams: &[SocketAddr]) -> Result<Self, BenchmarkError> {
        let mut direct = Vec::new();
        for &address in upstreams {
            direct.push(DirectClient::connect(address).await?);
        }
        Ok(Self {
            p2c: Buffer::new(p2c_balance(&direct), BUFFER_BOUND),
            plugin: start_plugin(upstreams)?,
            next_call: Arc::default(),
            direct,
        })
    }

    /// Creates a client for one task.
    pub fn client(&self, method: CallMethod) -> ClientService {
        match method {
            CallMethod::Direct => self.round_robin(),
            CallMethod::P2c => BoxService::new(self.p2c.clone().map_err(|_| CallFailed)),
            CallMethod::P2cEach => {
                BoxService::new(p2c_balance(&self.direct).map_err(|_| CallFailed))
            }
            CallMethod::Plugin => plugin_client(self.plugin.clone()),
        }
    }

    /// Creates a client that calls the upstreams directly, in one rotation over the calls of all tasks.
    fn round_robin(&self) -> ClientService {
        let (direct, next_call) = (self.direct.clone(), self.next_call.clone());
        BoxService::new(tower::service_fn(move |request| {
            let upstream = next_call.fetch_add(1, Ordering::Relaxed) % direct.len();
            let response = direct[upstream].clone().send(request);
            async { response.await.ok_or(CallFailed) }
        }))
    }
}

fn p2c_balance(direct: &[DirectClient]) -> P2cBalance {
    let with_load =
        |client: &DirectClient| PendingRequests::new(client.clone(), CompleteOnResponse::default());
    p2c::Balance::new(ServiceList::new(direct.iter().map(with_load).collect()))
}

fn plugin_client(plugin: Balance) -> ClientService {
    BoxService::new(tower::service_fn(move |_| {
        let mut plugin = plugin.clone();
        async move {
            let served = call_through_plugin(&mut plugin).await;
            let body = served.then_some(Bytes::from_static(RESPONSE_BODY));
            body.ok_or(CallFailed)
        }
    }))
}

/// Returns the request that every call sends.
pub fn request() -> Request<()> {
    let mut request = Request::new(());
    *request.uri_mut() = http::Uri::from_static("/look");
    request
}

/// Makes one call through the plug-in, and returns whether the upstream's response arrived.
pub async fn call_through_plugin(plugin: &mut Balance) -> bool {
    let request = request().map(|()| Empty::<Bytes>::new());
    let Ok::<_, Infallible>(response) = plugin.call(request).await;
    let ok = response.status() == 200;
    ok && response
        .into_body()
        .collect()
        .await
        .is_ok_and(|body| body.to_bytes() == RESPONSE_BODY)
}
