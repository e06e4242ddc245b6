//! The callers' side: accepts connections, has their requests answered, and shuts down gracefully.

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
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use woadstall_inbound::LingeringConnections;
use woadstall_runtime::LoadBalancer;
use woadstall_transport::Http1;

/// How long connections are still accepted after a signal to stop: callers learn of it late.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// Added to the longest deadline, so long may responses take after the last connection was accepted.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(60);

/// What all connections share.
pub struct Server {
    config: Arc<Config>,
    load_balancer: LoadBalancer<Http1>,
    /// There is an upstream that takes requests.
    ready: watch::Receiver<bool>,
    metrics: Arc<Metrics>,
    settings: watch::Receiver<Arc<ServiceSettings>>,
    /// Clients are to be sent away.
    out_of_service: watch::Receiver<bool>,
    /// Responses end their connections.
    is_draining: AtomicBool,
    next_number: AtomicU64,
    connections: Mutex<HashMap<u64, Arc<CallerConnection>>>,
    /// The callers' own ids of the requests that are open.
    open_call_ids: Mutex<HashSet<String>>,
    /// Bytes of the bodies of open requests.
    body_bytes: AtomicUsize,
    /// A caller's connection has ended.
    connection_closed: Notify,
    lingering: Arc<LingeringConnections>,
}

impl Server {
    /// A server that passes its requests to a load balancer.
    pub fn new(
        config: Arc<Config>,
        load_balancer: LoadBalancer<Http1>,
        metrics: Arc<Metrics>,
        settings: watch::Receiver<Arc<ServiceSettings>>,
        out_of_service: watch::Receiver<bool>,
    ) -> Self {
        Self {
            config,
            ready: load_balancer.ready(),
            load_balancer,
            metrics,
            settings,
            out_of_service,
            is_draining: AtomicBool::new(false),
            next_number: AtomicU64::new(0),
            connections: Mutex::default(),
            open_call_ids: Mutex::default(),
            body_bytes: AtomicUsize::new(0),
            connection_closed: Notify::new(),
            lingering: Arc::default(),
        }
    }

    /// Serves until it is to stop, then for a while longer, and returns when all requests have their response.
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
        server.accept_backlog(listener, &closing);
        close.send_replace(true);
        let time_limit = server.longest_deadline() + SHUTDOWN_MARGIN;
        timeout(time_limit, server.all_closed()).await.ok();
        aborting.abort();
    }

    /// The longest deadline of all classes.
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

    /// Whether responses end their connections.
    fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// The name of a class, if there is or was one of that name.
    fn known_class(&self, name: &str) -> Option<String> {
        let settings = self.settings.borrow();
        let active = &settings.active;
        let class = active.class(name).or_else(|| active.previous_class(name));
        class.map(|_| name.to_owned())
    }
}
