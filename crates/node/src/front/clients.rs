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
use woadstall_inbound::LingeringConnections;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Fraction of the process's file descriptors that client connections may use.
const CLIENT_DESCRIPTOR_RATIO: f64 = 0.45;

/// State shared by all client connections.
struct Clients {
    front: Arc<Front>,
    open_connections: AtomicUsize,
    /// Notified whenever a connection ends.
    connection_ended: Notify,
    lingering: Arc<LingeringConnections>,
}

/// Serves clients until the shutdown ends the accepting of connections, then until all accepted
/// requests are answered and all connections are closed.
pub(super) async fn serve(front: Arc<Front>, listener: TcpListener) {
    let accept_ended = front.shutdown.reached(ShutdownPhase::NotAccepting);
    let clients = Arc::new(Clients {
        front,
        open_connections: AtomicUsize::new(0),
        connection_ended: Notify::new(),
        lingering: Arc::default(),
    });
    tokio::select! {
        () = accept(&clients, &listener) => {}
        () = accept_ended => {}
    }
    drop(listener);
    while clients.open_connections.load(Ordering::Relaxed) > 0 {
        clients.connection_ended.notified().await;
    }
    clients.lingering.all_closed().await;
}

async fn accept(clients: &Arc<Clients>, listener: &TcpListener) {
    let max_connections =
        (clients.front.settings.max_fds as f64 * CLIENT_DESCRIPTOR_RATIO) as usize;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if clients.open_connections.load(Ordering::Relaxed) >= max_connections {
                    log::warn!("client_connection_rejected open_connections={max_connections}");
                    continue;
                }
                clients.open_connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve_connection(clients.clone(), stream));
            }
            Err(error) => {
                log::warn!("accept_failed error={error}");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection(clients: Arc<Clients>, stream: TcpStream) {
    let connection = ClientConnection::new(&clients.front, &clients.lingering);
    if let Err(error) = connection.serve(stream).await {
        log::debug!("client_connection_failed error={error}");
    }
    clients.open_connections.fetch_sub(1, Ordering::Relaxed);
    clients.connection_ended.notify_one();
}
