//! The HTTP server for callers: accepts connections, passes requests to the load balancer, and shuts down gracefully.

mod accept;
mod call;
mod connection;
mod drain;
mod request;
mod response;
mod service_settings;

pub use self::service_settings::ServiceSettings;

use self::connection::CallerConnection;
use super::config::Config;
use super::metrics::Metrics;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use woadstall_inbound::{BodyBudget, LingeringConnections, close_listener};
use woadstall_runtime::LoadBalancer;
use woadstall_transport::Http1;

/// Time after a stop signal during which connections are still accepted, since callers learn of the shutdown with a
/// delay.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// Margin added to the longest deadline. The sum is the time limit for responses after the last connection was
/// accepted.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(60);

/// Bodies of requests may use the memory limit divided by this number.
const BODY_MEMORY_DIVISOR: usize = 3;

/// State shared by all connections.
pub struct Server {
    config: Arc<Config>,
    load_balancer: LoadBalancer<Http1>,
    /// Whether an upstream has been available for requests.
    ready: watch::Receiver<bool>,
    metrics: Arc<Metrics>,
    /// The settings that apply to new requests.
    settings: watch::Receiver<Arc<ServiceSettings>>,
    /// Whether the server is out of service.
    out_of_service: watch::Receiver<bool>,
    /// Whether responses carry `Connection: close`.
    is_draining: AtomicBool,
    next_connection_number: AtomicU64,
    /// Open connections by number.
    connections: Mutex<HashMap<u64, Arc<CallerConnection>>>,
    /// `X-Call-Id` values of all open requests.
    open_call_ids: Mutex<HashSet<String>>,
    /// Memory for the bodies of requests.
    body_budget: Arc<BodyBudget>,
    /// Notified when a caller's connection has been removed.
    connection_closed: Notify,
    /// Connections in lingering close.
    lingering: Arc<LingeringConnections>,
}

impl Server {
    /// Creates a server that passes requests to `load_balancer`.
    pub fn new(
        config: Arc<Config>,
        load_balancer: LoadBalancer<Http1>,
        metrics: Arc<Metrics>,
        settings: watch::Receiver<Arc<ServiceSettings>>,
        out_of_service: watch::Receiver<bool>,
    ) -> Self {
        let body_budget = BodyBudget::new(config.limits.memory_bytes / BODY_MEMORY_DIVISOR);
        Self {
            config,
            ready: load_balancer.ready(),
            load_balancer,
            metrics,
            settings,
            out_of_service,
            is_draining: AtomicBool::new(false),
            next_connection_number: AtomicU64::new(0),
            connections: Mutex::default(),
            open_call_ids: Mutex::default(),
            body_budget,
            connection_closed: Notify::new(),
            lingering: Arc::default(),
        }
    }

    /// Accepts connections until [`ACCEPT_GRACE`] after `stopping` becomes true. Returns when all connections are
    /// closed, or when the time limit for the last responses has passed.
    pub async fn run(self, listener: TcpListener, mut stopping: watch::Receiver<bool>) {
        let server = Arc::new(self);
        let aborting = tokio::spawn(server.clone().abort_overdue());
        let draining = tokio::spawn(server.clone().drain_while_out_of_service());
        let (close, closing) = watch::channel(false);
        let stopped = async {
            stopping.wait_for(|stop| *stop).await.ok();
            draining.abort();
            server.is_draining.store(true, Ordering::Relaxed);
            sleep(ACCEPT_GRACE).await;
        };
        tokio::select! {
            () = server.accept(&listener, &closing) => {}
            () = stopped => {}
        }
        for tcp in close_listener(listener) {
            server.serve_connection(tcp, &closing);
        }
        close.send_replace(true);
        let time_limit = server.longest_deadline() + SHUTDOWN_MARGIN;
        timeout(time_limit, server.all_closed()).await.ok();
        aborting.abort();
    }

    /// Returns the longest deadline of all classes.
    fn longest_deadline(&self) -> Duration {
        let settings = self.settings.borrow();
        let classes = settings.active.settings().classes.iter();
        let nanos = classes.map(|class| class.deadline).max().unwrap_or(0);
        Duration::from_nanos(nanos)
    }

    /// Waits until all connections are closed.
    async fn all_closed(&self) {
        while self.connection_count() > 0 {
            self.connection_closed.notified().await;
        }
        self.lingering.all_closed().await;
    }

    /// Whether responses carry `Connection: close`.
    fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Returns the name as an owned string if it belongs to an active or previous class.
    fn known_class(&self, name: &str) -> Option<String> {
        let settings = self.settings.borrow();
        let active = &settings.active;
        let class = active.class(name).or_else(|| active.previous_class(name));
        class.map(|_| name.to_owned())
    }
}
