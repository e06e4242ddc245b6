//! Reports the load of upstreams, as observed by this balancer, to the core machines of its region.
//! The core machines pass the reports on to the region's other balancers.

use super::datagrams::{bind_socket, startup_timestamp_ms};
use super::state::Front;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};
use woadstall_control::loads::LoadReport;
use woadstall_control::shards::short_hash;
use woadstall_control::wire::Packet;
use woadstall_inbound::lock;

/// Interval at which the load is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which an unchanged report is repeated, because receivers let reports expire.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Spawns the task that sends load reports.
pub(super) fn start(front: &Arc<Front>) {
    tokio::spawn(send_reports(front.clone()));
}

async fn send_reports(front: Arc<Front>) {
    let Some(socket) = bind_socket(&front, "loads").await else {
        return;
    };
    let first_sequence = startup_timestamp_ms();
    let mut last_report = LoadReport {
        balancer: short_hash(&front.settings.node),
        zone: front.settings.zone.clone(),
        ..LoadReport::default()
    };
    let mut last_sent = Instant::now();
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for sequence in first_sequence.. {
        checks.tick().await;
        let report = LoadReport {
            sequence,
            ..current_load(&front, &last_report)
        };
        let is_empty = report.upstreams.is_empty() && report.placements.is_empty();
        let is_due = !is_empty && last_sent.elapsed() >= REPEAT_INTERVAL;
        let has_changed = report.upstreams != last_report.upstreams
            || report.placements != last_report.placements;
        if !has_changed && !is_due {
            continue;
        }
        let frame = Packet::LoadReport(report.clone()).encode();
        last_report = report;
        last_sent = Instant::now();
        for machine in region_machines(&front) {
            socket.send_to(&frame, machine).await.ok();
        }
    }
}

/// Builds a report of the current load with the sender and sequence number of the last report.
fn current_load(front: &Front, last_report: &LoadReport) -> LoadReport {
    let mut router = lock(&front.router);
    LoadReport {
        balancer: last_report.balancer,
        sequence: last_report.sequence,
        zone: last_report.zone.clone(),
        upstreams: router.upstream_loads(front.now()),
        placements: router.recent_placements(front.now()),
    }
}

/// Returns the addresses of this region's core machines. The balancers that share the region's
/// upstreams read their feeds from these machines.
fn region_machines(front: &Front) -> Vec<SocketAddr> {
    front
        .core_machines()
        .iter()
        .filter(|machine| machine.region == front.settings.region)
        .filter_map(|machine| machine.member.address.parse().ok())
        .collect()
}
