//! The operators' calls, at an address of their own.

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

/// Most connections. One more takes the place of the oldest without a complete call, so that whoever holds connections
/// open keeps nobody out.
const MAX_CONNECTIONS: usize = 8;
/// How long a connection may last in all.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// What the operators' calls read and set.
pub struct AdminState {
    pub load_balancer: LoadBalancer<Http1>,
    pub metrics: Arc<Metrics>,
    /// There is an upstream that takes requests.
    pub ready: watch::Receiver<bool>,
    pub stopping: watch::Receiver<bool>,
    /// True while clients are to be sent away.
    pub out_of_service: watch::Sender<bool>,
    pub membership: Option<Membership>,
    pub evacuation: Option<EvacuationTask>,
}

/// Serves the operators' calls.
pub struct AdminServer {
    state: AdminState,
    /// The open connections by number, so that the oldest comes first.
    connections: Mutex<BTreeMap<u64, Arc<AdminConnection>>>,
}

#[derive(Default)]
struct AdminConnection {
    /// Its call has been read to its end.
    has_call: AtomicBool,
    /// It is to be closed as it is.
    abort: Notify,
}

impl AdminServer {
    /// A server that has no connection yet.
    pub fn new(state: AdminState) -> Self {
        Self {
            state,
            connections: Mutex::default(),
        }
    }

    /// Serves for as long as the process lives.
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

    /// Adds a connection, in place of another one where there are too many.
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
