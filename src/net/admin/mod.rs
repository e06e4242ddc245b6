//! The admin server, which handles operators' calls at a separate address.

mod routes;

use super::evacuation::EvacuationTask;
use super::log::log;
use super::metrics::Metrics;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use woadstall_inbound::lock;
use woadstall_membership_net::Membership;
use woadstall_runtime::LoadBalancer;
use woadstall_socket_options::set_nodelay;
use woadstall_transport::Http1;

/// Maximum number of connections. A further connection replaces the oldest connection without a complete call, so that
/// clients cannot lock others out by holding connections open.
const MAX_CONNECTIONS: usize = 8;
/// Maximum lifetime of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The state that operators' calls read and change.
pub struct AdminState {
    pub load_balancer: LoadBalancer<Http1>,
    pub metrics: Arc<Metrics>,
    /// Whether an upstream has been available for requests.
    pub ready: watch::Receiver<bool>,
    pub stopping: watch::Receiver<bool>,
    /// Whether the daemon is out of service and closes its clients' connections.
    pub out_of_service: watch::Sender<bool>,
    pub membership: Option<Membership>,
    pub evacuation: Option<EvacuationTask>,
}

/// The HTTP server for operators' calls.
pub struct AdminServer {
    state: AdminState,
    /// Open connections by ascending number, so that the oldest is first.
    connections: Mutex<BTreeMap<u64, Arc<AdminConnection>>>,
}

#[derive(Default)]
struct AdminConnection {
    /// Whether a complete call has been read from the connection.
    has_call: AtomicBool,
    /// Notified to close the connection immediately.
    abort: Notify,
}

impl AdminServer {
    /// Creates a server without connections.
    pub fn new(state: AdminState) -> Self {
        Self {
            state,
            connections: Mutex::default(),
        }
    }

    /// Accepts and serves connections for the lifetime of the process.
    pub async fn run(self, listener: TcpListener) {
        let server = Arc::new(self);
        for number in 0.. {
            match listener.accept().await {
                Ok((tcp, _)) => server.clone().serve(number, tcp),
                Err(error) => {
                    log(format_args!("admin_accept_failed error=\"{error}\""));
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    fn serve(self: Arc<Self>, number: u64, tcp: TcpStream) {
        set_nodelay(&tcp);
        let connection = self.add_connection(number);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                connection.has_call.store(true, Ordering::Relaxed);
                let response = routes::respond(&self.state, &request);
                async { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new()
                .keep_alive(false)
                .serve_connection(TokioIo::new(tcp), service);
            tokio::select! {
                _ = timeout(CONNECTION_TIMEOUT, serving) => {}
                () = connection.abort.notified() => {}
            }
            lock(&self.connections).remove(&number);
        });
    }

    /// Registers a connection, and closes another one if the maximum number is reached.
    fn add_connection(&self, number: u64) -> Arc<AdminConnection> {
        let connection = Arc::new(AdminConnection::default());
        let mut connections = lock(&self.connections);
        if connections.len() >= MAX_CONNECTIONS {
            let without_call = connections
                .iter()
                .find(|(_, connection)| !connection.has_call.load(Ordering::Relaxed));
            let replaced = without_call.or(connections.first_key_value());
            let replaced = replaced.map(|(number, _)| *number);
            if let Some(replaced) = replaced.and_then(|number| connections.remove(&number)) {
                replaced.abort.notify_one();
            }
        }
        connections.insert(number, connection.clone());
        connection
    }
}
