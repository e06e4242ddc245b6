//! Accepting connections, and their number.

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

/// Pause after a connection could not be accepted for lack of descriptors: another attempt at once would fail alike.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);
/// Connections accepted beyond those that are served, to reject their requests: left in the kernel's backlog, they would
/// count as accepted and get no response.
const MAX_SURPLUS: usize = 32;
/// Connections that may linger beyond the unused capacity, within the descriptors that are reserved.
const RESERVED_LINGERING: usize = 8;

impl Server {
    pub(super) async fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
        closing: &watch::Receiver<bool>,
    ) {
        let max_connections = self.config.limits.callers + MAX_SURPLUS;
        loop {
            // The surplus is rejected at once and unresponsive callers are aborted, so there is soon capacity again.
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

    /// Closes what can be closed where descriptors have run out.
    fn free_descriptors(&self) {
        self.close_idle();
        self.lingering.keep_at_most(0);
        self.load_balancer.transport().close_all();
    }

    /// Accepts what waits in the backlog, and closes the listener: what waits there counts as accepted, and would be
    /// reset. Nothing is waited for in between, so that hardly anything comes between the last look and the end.
    pub(super) fn accept_backlog(
        self: &Arc<Self>,
        listener: TcpListener,
        closing: &watch::Receiver<bool>,
    ) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        let mut backlog = Vec::new();
        while let Ok((tcp, _)) = listener.accept() {
            backlog.push(tcp);
        }
        drop(listener);
        for tcp in backlog {
            if tcp.set_nonblocking(true).is_ok()
                && let Ok(tcp) = TcpStream::from_std(tcp)
            {
                self.serve_connection(tcp, closing);
            }
        }
    }

    fn serve_connection(self: &Arc<Self>, tcp: TcpStream, closing: &watch::Receiver<bool>) {
        let stream = SharedStream::new(tcp);
        let is_full = self.connection_count() >= self.config.limits.callers;
        let is_surplus = is_full && !self.close_idle();
        let (connection, gate) = CallerConnection::new(is_surplus, stream);
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
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

    /// A caller's connection is not served any more.
    pub(super) fn remove_connection(&self, number: u64) {
        lock(&self.connections).remove(&number);
        self.connection_closed.notify_one();
    }

    /// Has an idle connection closed: the oldest that never had a request, so that a silent crowd pushes out nobody but
    /// itself, or else the one idle for longest. Its caller may be writing to it just now; it knows then that its request
    /// was not accepted.
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

    /// Closes a connection that its caller may still be writing to.
    pub(super) fn linger(&self, stream: SharedStream) {
        self.lingering.close(stream);
        self.limit_lingering();
    }

    /// Those that linger may have the descriptors of the unused capacity, and a few more.
    fn limit_lingering(&self) {
        let unused = self
            .config
            .limits
            .callers
            .saturating_sub(self.connection_count());
        self.lingering.keep_at_most(unused + RESERVED_LINGERING);
    }
}
