//! UDP proxies.

use crate::conditions::LinkConditions;
use crate::schedule::DatagramSchedule;
use crate::state::{NodeId, SharedState};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

/// Maximum number of datagrams in flight in one direction. Further datagrams are dropped, as by a
/// full queue.
const WINDOW_DATAGRAMS: usize = 4096;
/// Size of the receive buffer, larger than the largest IPv4 datagram.
pub(crate) const BUFFER_BYTES: usize = 65_536;

/// Creates a proxy between two UDP sockets. Returns the addresses at which the first and the second
/// node reach each other, and the proxy's task.
pub(crate) async fn proxy(
    state: Arc<SharedState>,
    first: (NodeId, SocketAddr),
    second: (NodeId, SocketAddr),
) -> io::Result<(
    (SocketAddr, SocketAddr),
    impl Future<Output = ()> + Send + 'static,
)> {
    // A datagram that arrives at the socket facing one node is sent from the socket facing the
    // other node. Each node therefore receives from the same address that it sends to.
    let (first_node, _) = first;
    let (second_node, _) = second;
    let first_socket = Arc::new(UdpSocket::bind(SocketAddr::new(first_node.proxy_ip(), 0)).await?);
    let second_socket =
        Arc::new(UdpSocket::bind(SocketAddr::new(second_node.proxy_ip(), 0)).await?);
    let addresses = (first_socket.local_addr()?, second_socket.local_addr()?);
    let to_second = forward(
        state.clone(),
        first,
        first_socket.clone(),
        second_socket.clone(),
        second,
    );
    let to_first = forward(state, second, second_socket, first_socket, first);
    let task = async move {
        tokio::join!(to_second, to_first);
    };
    Ok((addresses, task))
}

async fn forward(
    state: Arc<SharedState>,
    (from, sender): (NodeId, SocketAddr),
    input: Arc<UdpSocket>,
    output: Arc<UdpSocket>,
    (to, target): (NodeId, SocketAddr),
) {
    let link = state.watch_link(from, to);
    let mut schedule = DatagramSchedule::default();
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut forwarder = DatagramForwarder::new(state, output, target);
    loop {
        let received = tokio::select! {
            received = input.recv_from(&mut buffer) => received,
            () = forwarder.wait_for_delivery() => continue,
        };
        // A receive error reports that an earlier datagram was not delivered. Datagrams from
        // unknown senders are ignored.
        let Ok((length, peer)) = received else {
            continue;
        };
        if peer == sender {
            let conditions = link.borrow().conditions.clone();
            let datagram = &buffer[..length];
            forwarder
                .forward(&conditions, &mut schedule, datagram)
                .await;
        }
    }
}

/// Forwards datagrams to one target, each at its delivery time.
pub(crate) struct DatagramForwarder {
    state: Arc<SharedState>,
    output: Arc<UdpSocket>,
    target: SocketAddr,
    rng: ChaCha8Rng,
    in_flight: JoinSet<()>,
}

impl DatagramForwarder {
    pub(crate) fn new(state: Arc<SharedState>, output: Arc<UdpSocket>, target: SocketAddr) -> Self {
        Self {
            rng: state.new_rng(),
            state,
            output,
            target,
            in_flight: JoinSet::new(),
        }
    }

    /// Waits until a datagram in flight is delivered. Never completes while no datagram is in
    /// flight.
    pub(crate) async fn wait_for_delivery(&mut self) {
        if self.in_flight.join_next().await.is_none() {
            std::future::pending().await
        }
    }

    /// Forwards a datagram under the conditions of its link: immediately, delayed, twice, or never.
    pub(crate) async fn forward(
        &mut self,
        conditions: &LinkConditions,
        schedule: &mut DatagramSchedule,
        datagram: &[u8],
    ) {
        let now_ns = self.state.now_ns();
        let deliveries =
            schedule.delivery_times_ns(now_ns, datagram.len(), conditions, &mut self.rng);
        if deliveries[0].is_none() || self.in_flight.len() >= WINDOW_DATAGRAMS {
            self.state.counters.add_dropped_datagram();
            return;
        }
        for delivery_ns in deliveries.into_iter().flatten() {
            self.state.counters.add_forwarded_datagram();
            if delivery_ns <= self.state.now_ns() {
                self.output.send_to(datagram, self.target).await.ok();
            } else {
                self.deliver_later(delivery_ns, datagram.to_vec());
            }
        }
    }

    fn deliver_later(&mut self, delivery_ns: u64, datagram: Vec<u8>) {
        let (output, target) = (self.output.clone(), self.target);
        let due = self.state.instant(delivery_ns);
        self.in_flight.spawn(async move {
            sleep_until(due.into()).await;
            output.send_to(&datagram, target).await.ok();
        });
    }
}
