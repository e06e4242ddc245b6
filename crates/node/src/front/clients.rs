//! Accepts clients' connections, and closes them in order at the end of the process.

use super::client_connection::ClientConnection;
use super::state::Front;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::sleep;
use woadstall_inbound::LingeringConnections;

/// How long connections are still accepted after SIGTERM. Clients use the directory's response for
/// some seconds, and one whose connection is refused has lost an attempt.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3_000);
/// How long idle connections are kept open after SIGTERM, so that no request crosses their close.
const KEEP_IDLE_AFTER_STOP: Duration = Duration::from_millis(1_200);
/// Pause after a failed accept, such as for lack of descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The part of the descriptors that clients may use.
const CLIENT_DESCRIPTOR_RATIO: f64 = 0.45;

/// What the connections share.
struct Clients {
    front: Arc<Front>,
    open_connections: AtomicUsize,
    /// Notified when a connection has ended.
    connection_ended: Notify,
    lingering: Arc<LingeringConnections>,
}

/// Serves clients until `stopping` becomes true, and then until all accepted requests are answered.
pub(super) async fn serve(
    front: Arc<Front>,
    listener: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    let clients = Arc::new(Clients {
        front,
        open_connections: AtomicUsize::new(0),
        connection_ended: Notify::new(),
        lingering: Arc::default(),
    });
    let closing = close_after(stopping.clone());
    let accept_ended = async {
        stopping.wait_for(|stop| *stop).await.ok();
        sleep(ACCEPT_AFTER_STOP).await;
    };
    tokio::select! {
        () = accept(&clients, &listener, &closing) => {}
        () = accept_ended => {}
    }
    drop(listener);
    while clients.open_connections.load(Ordering::Relaxed) > 0 {
        clients.connection_ended.notified().await;
    }
    clients.lingering.all_closed().await;
}

/// A signal to close idle connections, some time after `stopping`.
fn close_after(mut stopping: watch::Receiver<bool>) -> watch::Receiver<bool> {
    let (close, closing) = watch::channel(false);
    tokio::spawn(async move {
        stopping.wait_for(|stop| *stop).await.ok();
        sleep(KEEP_IDLE_AFTER_STOP).await;
        close.send_replace(true);
    });
    closing
}

async fn accept(clients: &Arc<Clients>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
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
                tokio::spawn(serve_connection(clients.clone(), stream, closing.clone()));
            }
            Err(error) => {
                log::warn!("accept_failed error={error}");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection(
    clients: Arc<Clients>,
    stream: TcpStream,
    closing: watch::Receiver<bool>,
) {
    let connection = ClientConnection::new(&clients.front, &clients.lingering);
    if let Err(error) = connection.serve(stream, closing).await {
        log::debug!("client_connection_failed error={error}");
    }
    clients.open_connections.fetch_sub(1, Ordering::Relaxed);
    clients.connection_ended.notify_one();
}
