//! Accepts connections and limits their number.

use super::Server;
use super::connection::{CallerConnection, ConnectionSlot};
use crate::net::log::log;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;
use woadstall_inbound::lock;
use woadstall_transport::{SharedStream, is_local_resource_error};

/// Pause after a failed accept for lack of file descriptors; an immediate retry would fail as well.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);
/// Maximum number of surplus connections, which are accepted beyond the served ones only to reject their requests. If
/// they stayed in the kernel's backlog, their callers would see accepted connections without responses.
const MAX_SURPLUS: usize = 32;
/// Number of connections that may linger in addition to the unused capacity. Their file descriptors come from the
/// reserve.
const RESERVED_LINGERING: usize = 8;

impl Server {
    /// Accepts and serves connections until the future is dropped.
    pub(super) async fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
        closing: &watch::Receiver<bool>,
    ) {
        let max_connections = self.config.limits.caller_connections + MAX_SURPLUS;
        loop {
            // Surplus requests are rejected at once and unresponsive callers are aborted, so capacity is available
            // soon.
            while self.connection_count() >= max_connections {
                self.close_idle();
                self.connection_closed.notified().await;
            }
            match listener.accept().await {
                Ok((tcp, _)) => self.serve_connection(tcp, closing),
                Err(error) => {
                    log(format_args!("accept_failed error=\"{error}\""));
                    if is_local_resource_error(&error) {
                        self.free_descriptors();
                        sleep(ACCEPT_BACKOFF).await;
                    }
                }
            }
        }
    }

    /// Releases file descriptors after the process has run out of them: closes an idle caller connection, all lingering
    /// connections and the upstream connections that the transport can close.
    fn free_descriptors(&self) {
        self.close_idle();
        self.lingering.keep_at_most(0);
        self.load_balancer.transport().close_all();
    }

    pub(super) fn serve_connection(
        self: &Arc<Self>,
        tcp: TcpStream,
        closing: &watch::Receiver<bool>,
    ) {
        let stream = SharedStream::new(tcp);
        let is_full = self.connection_count() >= self.config.limits.caller_connections;
        let is_surplus = is_full && !self.close_idle();
        let (connection, gate) = CallerConnection::new(is_surplus, stream);
        let number = self.next_connection_number.fetch_add(1, Ordering::Relaxed);
        lock(&self.connections).insert(number, connection.clone());
        self.limit_lingering();
        let slot = ConnectionSlot {
            server: self.clone(),
            number,
            connection,
        };
        tokio::spawn(slot.serve(gate, closing.clone()));
    }

    pub(super) fn connection_count(&self) -> usize {
        lock(&self.connections).len()
    }

    /// Removes a closed caller connection.
    pub(super) fn remove_connection(&self, number: u64) {
        lock(&self.connections).remove(&number);
        self.connection_closed.notify_one();
    }

    /// Closes an idle connection, and returns `false` if there is none. Prefers the oldest connection that never had a
    /// request, so that a crowd of silent clients displaces only its own connections; otherwise closes the connection
    /// that has been idle for longest. A caller that is writing a request at this moment learns that the request was
    /// not accepted.
    fn close_idle(&self) -> bool {
        let connections = lock(&self.connections);
        let idle = connections
            .values()
            .filter(|connection| !connection.is_draining.load(Ordering::Relaxed))
            .filter_map(|connection| Some((connection.idle()?, connection)));
        let Some((_, connection)) = idle.min_by_key(|(idle, _)| *idle) else {
            return false;
        };
        connection.is_draining.store(true, Ordering::Relaxed);
        connection.close.notify_one();
        true
    }

    /// Closes a connection whose caller may still be writing, by lingering close.
    pub(super) fn linger(&self, stream: SharedStream) {
        self.lingering.close(stream);
        self.limit_lingering();
    }

    /// Limits lingering connections to the unused capacity plus [`RESERVED_LINGERING`].
    fn limit_lingering(&self) {
        let unused = self
            .config
            .limits
            .caller_connections
            .saturating_sub(self.connection_count());
        self.lingering.keep_at_most(unused + RESERVED_LINGERING);
    }
}
