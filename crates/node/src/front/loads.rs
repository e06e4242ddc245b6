//! Tells the control machines near this balancer how upstreams stand with it, for the balancers beside it.

use super::{Front, datagrams};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};
use woadstall_control::loads::LoadReport;
use woadstall_control::shards::short_hash;
use woadstall_control::wire::Packet;
use woadstall_inbound::lock;

/// How often this balancer looks whether there is something new to tell.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How often it tells again what it told, as that ages.
const REPEAT_EVERY: Duration = Duration::from_millis(300);

/// Starts.
pub(super) fn start(front: &Arc<Front>) {
    tokio::spawn(tell(front.clone()));
}

async fn tell(front: Arc<Front>) {
    let Some(socket) = datagrams::socket(&front, "loads").await else {
        return;
    };
    let first = datagrams::number_of_start();
    let mut told = LoadReport {
        balancer: short_hash(&front.settings.node),
        zone: front.settings.zone.clone(),
        ..LoadReport::default()
    };
    let mut told_at = Instant::now();
    let mut looks = interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for sequence in first.. {
        looks.tick().await;
        let (upstreams, placements) = {
            let mut router = lock(&front.router);
            (
                router.upstream_loads(front.now()),
                router.recent_placements(front.now()),
            )
        };
        let has_something = !upstreams.is_empty() || !placements.is_empty();
        let is_due = has_something && told_at.elapsed() >= REPEAT_EVERY;
        if upstreams == told.upstreams && placements == told.placements && !is_due {
            continue;
        }
        told = LoadReport {
            sequence,
            upstreams,
            placements,
            ..told
        };
        told_at = Instant::now();
        let frame = Packet::LoadReport(told.clone()).frame();
        for machine in machines_near(&front) {
            socket.send_to(&frame, machine).await.ok();
        }
    }
}

/// The control machines of this region: the balancers that share its upstreams read their feeds there.
fn machines_near(front: &Front) -> Vec<SocketAddr> {
    let machines = front.machines();
    let near = machines
        .iter()
        .filter(|machine| machine.region == front.settings.region);
    near.filter_map(|machine| machine.member.address.parse().ok())
        .collect()
}
