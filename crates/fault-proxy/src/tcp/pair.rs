//! The streams from one node to another.

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

/// How long a stream over a partitioned link is kept at most where many links share a listener.
const PARTITIONED_STREAM_TIMEOUT: Duration = Duration::from_secs(10);

/// Both links between a client and a server.
#[derive(Clone)]
pub(crate) struct StreamPair {
    state: Arc<SharedState>,
    /// From the client to the server.
    there: watch::Receiver<LinkState>,
    back: watch::Receiver<LinkState>,
    /// Where the server listens.
    target: SocketAddr,
}

impl StreamPair {
    pub(crate) fn new(
        state: Arc<SharedState>,
        from: NodeId,
        to: NodeId,
        target: SocketAddr,
    ) -> Self {
        Self {
            there: state.watch_link(from, to),
            back: state.watch_link(to, from),
            target,
            state,
        }
    }

    fn is_partitioned(&self) -> bool {
        self.there.borrow().conditions.partitioned || self.back.borrow().conditions.partitioned
    }

    /// Waits for a change of either link. Returns whether there may be further ones.
    async fn link_changed(&mut self) -> bool {
        tokio::select! {
            changed = self.there.changed() => changed.is_ok(),
            changed = self.back.changed() => changed.is_ok(),
        }
    }

    /// Accepts streams, as far as the server runs and its links are not partitioned.
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
            self.there.borrow_and_update();
            self.back.borrow_and_update();
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

    /// Forwards a stream that was accepted over any link: once none is partitioned.
    pub(crate) async fn forward_once_healed(mut self, client: TcpStream) {
        let healed = async {
            while self.is_partitioned() {
                if !self.link_changed().await {
                    return;
                }
            }
        };
        if timeout(PARTITIONED_STREAM_TIMEOUT, healed).await.is_ok() {
            self.forward(client).await;
        }
    }

    async fn forward(self, client: TcpStream) {
        set_nodelay(&client);
        let mut rng = self.state.new_rng();
        let handshake_ns = handshake_ns(
            &self.there.borrow().conditions,
            &self.back.borrow().conditions,
            &mut rng,
        );
        if handshake_ns > 0 {
            sleep(Duration::from_nanos(handshake_ns)).await;
        }
        let Ok(server) = TcpStream::connect(self.target).await else {
            // The server has just ended: what was written to it is lost, as on its own host.
            client.set_zero_linger().ok();
            return;
        };
        set_nodelay(&server);
        let _open = self.state.counters.open_stream();
        if !self.forward_both_directions(&client, &server).await {
            // A stream that was reset on one side is reset on the other, not ended.
            client.set_zero_linger().ok();
            server.set_zero_linger().ok();
        }
    }

    /// Forwards both directions until both have ended. Returns whether they have, and were not
    /// reset.
    async fn forward_both_directions(&self, client: &TcpStream, server: &TcpStream) -> bool {
        let (mut there, mut back) = (self.there.clone(), self.back.clone());
        let resets_there = there.borrow().resets;
        let resets_back = back.borrow().resets;
        let mut to_server = Forwarder::new(self.state.clone(), self.there.clone());
        let mut to_client = Forwarder::new(self.state.clone(), self.back.clone());
        let both = async {
            tokio::try_join!(to_server.run(client, server), to_client.run(server, client))
        };
        tokio::select! {
            ended = both => ended.is_ok(),
            _ = there.wait_for(|link| link.resets != resets_there) => false,
            _ = back.wait_for(|link| link.resets != resets_back) => false,
        }
    }
}
