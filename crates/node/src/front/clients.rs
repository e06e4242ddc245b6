//! Accepts client connections and closes them gracefully at shutdown.

use super::client_connection::ClientConnection;
use super::shutdown::ShutdownPhase;
use super::state::Front;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;
use woadstall_inbound::{LingeringConnections, close_listener};
use woadstall_transport::SharedStream;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Fraction of the process's file descriptors that client connections may use.
const CLIENT_DESCRIPTOR_RATIO: f64 = 0.45;

/// Number of connections that may linger in addition to the unused capacity.
const RESERVED_LINGERING: usize = 64;

/// State shared by all client connections.
struct Clients {
    front: Arc<Front>,
    open_connections: AtomicUsize,
    /// Notified whenever a connection ends.
    connection_ended: Notify,
    lingering: Arc<LingeringConnections>,
    /// Maximum number of connections that are served or linger.
    max_connections: usize,
}

impl Clients {
    fn new(front: Arc<Front>) -> Self {
        let max_connections = (front.settings.max_fds as f64 * CLIENT_DESCRIPTOR_RATIO) as usize;
        Self {
            front,
            open_connections: AtomicUsize::new(0),
            connection_ended: Notify::new(),
            lingering: Arc::default(),
            max_connections,
        }
    }

    /// Closes a connection by lingering close.
    fn linger(&self, stream: SharedStream) {
        self.lingering.close(stream);
        self.limit_lingering();
    }

    /// Limits lingering connections to the descriptors that the served connections leave, and some
    /// more.
    fn limit_lingering(&self) {
        let open_connections = self.open_connections.load(Ordering::Relaxed);
        let unused = self.max_connections.saturating_sub(open_connections);
        self.lingering.keep_at_most(unused + RESERVED_LINGERING);
    }
}

/// Serves clients until the shutdown ends the accepting of connections, then until all accepted
/// requests are answered and all connections are closed.
pub(super) async fn serve(front: Arc<Front>, listener: TcpListener) {
    let accept_ended = front.shutdown.reached(ShutdownPhase::NotAccepting);
    let clients = Arc::new(Clients::new(front));
    tokio::select! {
        () = accept(&clients, &listener) => {}
        () = accept_ended => {}
    }
    for stream in close_listener(listener) {
        spawn_connection(&clients, stream);
    }
    while clients.open_connections.load(Ordering::Relaxed) > 0 {
        clients.connection_ended.notified().await;
    }
    clients.lingering.all_closed().await;
}

async fn accept(clients: &Arc<Clients>, listener: &TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(clients, stream),
            Err(error) => {
                log::warn!("accept_failed error={error}");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Serves a connection in a task of its own, unless too many are open.
fn spawn_connection(clients: &Arc<Clients>, stream: TcpStream) {
    let max_connections = clients.max_connections;
    if clients.open_connections.load(Ordering::Relaxed) >= max_connections {
        log::warn!("client_connection_rejected open_connections={max_connections}");
        return;
    }
    clients.open_connections.fetch_add(1, Ordering::Relaxed);
    clients.limit_lingering();
    tokio::spawn(serve_connection(clients.clone(), stream));
}

async fn serve_connection(clients: Arc<Clients>, stream: TcpStream) {
    let end = ClientConnection::new(&clients.front).serve(stream).await;
    clients.open_connections.fetch_sub(1, Ordering::Relaxed);
    match end {
        Ok(Some(stream)) => clients.linger(stream),
        Ok(None) => {}
        Err(error) => log::debug!("client_connection_failed error={error}"),
    }
    clients.connection_ended.notify_one();
}
