//! Forwarding of streams from a client node to a server node, in both directions.

use super::forward::Forwarder;
use super::listener::ProxyListener;
use crate::schedule::handshake_ns;
use crate::state::{LinkState, NodeId, SharedState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use woadstall_socket_options::set_nodelay;

/// Time limit for holding an accepted stream over a partitioned link at a shared listener.
const PARTITIONED_STREAM_TIMEOUT: Duration = Duration::from_secs(10);

/// The pair of links over which streams from a client node to a server node are forwarded: one per
/// direction.
#[derive(Clone)]
pub(crate) struct LinkPair {
    state: Arc<SharedState>,
    /// Link from the client to the server.
    to_server_link: watch::Receiver<LinkState>,
    /// Link from the server to the client.
    to_client_link: watch::Receiver<LinkState>,
    /// Listen address of the server.
    target: SocketAddr,
}

impl LinkPair {
    pub(crate) fn new(
        state: Arc<SharedState>,
        from: NodeId,
        to: NodeId,
        target: SocketAddr,
    ) -> Self {
        Self {
            to_server_link: state.watch_link(from, to),
            to_client_link: state.watch_link(to, from),
            target,
            state,
        }
    }

    fn is_partitioned(&self) -> bool {
        self.to_server_link.borrow().conditions.partitioned
            || self.to_client_link.borrow().conditions.partitioned
    }

    /// Waits for a change of either link. Returns whether further changes are possible.
    async fn link_changed(&mut self) -> bool {
        tokio::select! {
            changed = self.to_server_link.changed() => changed.is_ok(),
            changed = self.to_client_link.changed() => changed.is_ok(),
        }
    }

    /// Accepts and forwards streams while the server is running and neither link is partitioned.
    pub(super) async fn accept_streams(
        mut self,
        mut listener: ProxyListener,
        mut running: watch::Receiver<bool>,
    ) {
        let mut streams = JoinSet::new();
        loop {
            if !*running.borrow_and_update() {
                listener.close();
                tokio::select! {
                    changed = running.changed() => if changed.is_err() { return },
                    Some(_) = streams.join_next() => {}
                }
                continue;
            }
            if !listener.reopen().await {
                continue;
            }
            self.to_server_link.borrow_and_update();
            self.to_client_link.borrow_and_update();
            let is_partitioned = self.is_partitioned();
            if is_partitioned {
                listener.ignore_handshakes().await;
            } else {
                listener.complete_handshakes();
            }
            tokio::select! {
                accepted = listener.accept(), if !is_partitioned => {
                    if let Some((stream, _)) = accepted {
                        streams.spawn(self.clone().forward(stream));
                    }
                }
                changed = running.changed() => if changed.is_err() { return },
                may_change = self.link_changed() => if !may_change { return },
                Some(_) = streams.join_next() => {}
            }
        }
    }

    /// Forwards a stream from a shared listener once neither link is partitioned.
    pub(crate) async fn forward_after_partition(mut self, client: TcpStream) {
        let partition_ended = async {
            while self.is_partitioned() {
                if !self.link_changed().await {
                    return;
                }
            }
        };
        if timeout(PARTITIONED_STREAM_TIMEOUT, partition_ended)
            .await
            .is_ok()
        {
            self.forward(client).await;
        }
    }

    async fn forward(self, client: TcpStream) {
        set_nodelay(&client);
        let mut rng = self.state.new_rng();
        let handshake_ns = handshake_ns(
            &self.to_server_link.borrow().conditions,
            &self.to_client_link.borrow().conditions,
            &mut rng,
        );
        if handshake_ns > 0 {
            sleep(Duration::from_nanos(handshake_ns)).await;
        }
        let Ok(server) = TcpStream::connect(self.target).await else {
            // The server has just stopped. The reset discards the written bytes, as the
            // server's own host does.
            client.set_zero_linger().ok();
            return;
        };
        set_nodelay(&server);
        let _open_stream = self.state.counters.open_stream();
        if !self.forward_both_directions(&client, &server).await {
            // A reset on one side must reach the other side as a reset, not as a regular end.
            client.set_zero_linger().ok();
            server.set_zero_linger().ok();
        }
    }

    /// Forwards both directions until both have ended. Returns `false` if the stream was reset.
    async fn forward_both_directions(&self, client: &TcpStream, server: &TcpStream) -> bool {
        let (mut to_server_link, mut to_client_link) =
            (self.to_server_link.clone(), self.to_client_link.clone());
        let to_server_resets = to_server_link.borrow().resets;
        let to_client_resets = to_client_link.borrow().resets;
        let mut to_server = Forwarder::new(self.state.clone(), self.to_server_link.clone());
        let mut to_client = Forwarder::new(self.state.clone(), self.to_client_link.clone());
        let both = async {
            tokio::try_join!(to_server.run(client, server), to_client.run(server, client))
        };
        tokio::select! {
            ended = both => ended.is_ok(),
            _ = to_server_link.wait_for(|link| link.resets != to_server_resets) => false,
            _ = to_client_link.wait_for(|link| link.resets != to_client_resets) => false,
        }
    }
}
