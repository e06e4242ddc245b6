//! Sends heartbeats to core machines, so that the directory lists this balancer for clients.

use super::datagrams::{bind_socket, startup_timestamp_ms};
use super::state::Front;
use crate::settings::Endpoint;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use woadstall_control::balancers::BalancerHeartbeat;
use woadstall_control::shards::{MONITOR_COUNT, monitors};
use woadstall_control::wire::Packet;

/// Interval between heartbeats. A change of readiness is sent at once.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Spawns the task that sends heartbeats.
pub(super) fn start(front: &Arc<Front>) {
    tokio::spawn(send_heartbeats(front.clone()));
}

async fn send_heartbeats(front: Arc<Front>) {
    let Some(socket) = bind_socket(&front, "heartbeats").await else {
        return;
    };
    let incarnation = startup_timestamp_ms();
    for sequence in 1.. {
        let frame =
            Packet::BalancerHeartbeat(build_heartbeat(&front, incarnation, sequence)).encode();
        for monitor in monitor_addresses(&front) {
            socket.send_to(&frame, monitor).await.ok();
        }
        timeout(HEARTBEAT_INTERVAL, front.heartbeat_due.notified())
            .await
            .ok();
    }
}

fn build_heartbeat(front: &Front, incarnation: u64, sequence: u64) -> BalancerHeartbeat {
    let address = front.settings.listen_address(Endpoint::Front);
    BalancerHeartbeat {
        name: front.settings.node.clone(),
        incarnation,
        sequence,
        address: address
            .map(|address| address.to_string())
            .unwrap_or_default(),
        zone: front.settings.zone.clone(),
        ready: front.is_ready(),
    }
}

/// Returns the addresses of the machines that follow this balancer on the hash ring, and of one
/// machine of its own zone, which may be the only reachable machine during a network partition.
/// Returns the seeds until the first machine is known.
fn monitor_addresses(front: &Front) -> Vec<SocketAddr> {
    let machines = front.core_machines();
    if machines.is_empty() {
        return front.seeds();
    }
    let addresses = machines
        .iter()
        .map(|machine| machine.member.address.as_str());
    let mut selected = monitors(&front.settings.node, addresses, MONITOR_COUNT);
    let same_zone = machines
        .iter()
        .find(|machine| machine.zone == front.settings.zone)
        .map(|machine| machine.member.address.as_str());
    if let Some(address) = same_zone
        && !selected.contains(&address)
    {
        selected.push(address);
    }
    selected
        .into_iter()
        .filter_map(|address| address.parse().ok())
        .collect()
}
