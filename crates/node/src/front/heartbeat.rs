//! Tells a few control machines that this balancer is there.

use super::{Front, datagrams};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use woadstall_control::balancers::BalancerHeartbeat;
use woadstall_control::shards::{MONITORS, monitors};
use woadstall_control::wire::Packet;

/// How often.
const EVERY: Duration = Duration::from_millis(300);

/// Starts.
pub(super) fn start(front: &Arc<Front>) {
    tokio::spawn(announce(front.clone()));
}

async fn announce(front: Arc<Front>) {
    let Some(socket) = datagrams::socket(&front, "heartbeats").await else {
        return;
    };
    let incarnation = datagrams::number_of_start();
    for sequence in 1.. {
        let heartbeat = BalancerHeartbeat {
            name: front.settings.node.clone(),
            incarnation,
            sequence,
            address: front
                .settings
                .listens("front")
                .map(|address| address.to_string())
                .unwrap_or_default(),
            zone: front.settings.zone.clone(),
            ready: front.is_ready(),
        };
        let frame = Packet::BalancerHeartbeat(heartbeat).frame();
        for monitor in monitors_of(&front) {
            socket.send_to(&frame, monitor).await.ok();
        }
        timeout(EVERY, front.announce.notified()).await.ok();
    }
}

/// The machines that follow this balancer on the ring, and one of its own zone: behind a cut that one is all there is. The
/// seeds, before any is known.
fn monitors_of(front: &Front) -> Vec<SocketAddr> {
    let machines = front.machines();
    if machines.is_empty() {
        return front.seeds();
    }
    let addresses = machines
        .iter()
        .map(|machine| machine.member.address.as_str());
    let mut chosen = monitors(&front.settings.node, addresses, MONITORS);
    let near = machines
        .iter()
        .find(|machine| machine.zone == front.settings.zone);
    if let Some(near) = near.map(|machine| machine.member.address.as_str())
        && !chosen.contains(&near)
    {
        chosen.push(near);
    }
    chosen
        .into_iter()
        .filter_map(|address| address.parse().ok())
        .collect()
}
