//! What members report, and what comes of it over a run.

use super::{MemberViews, Membership, ReportedState};
use crate::balancer::Balancer;
use std::sync::Arc;
use woadstall_emulator::{EvacuationReport, MemberView, MembershipReport};
use woadstall_evacuation::Status;
use woadstall_load_test::lock;
use woadstall_membership_net::{MemberReport, PathReport, Report};

/// The name of the program's thread that runs the membership.
const MEMBERSHIP_THREAD: &str = "instances";
/// Bounds the uptime from below, so that a share of it is finite.
const MIN_UPTIME_S: f64 = 1e-3;

impl Membership {
    /// Records what a member reports of itself and of the others.
    pub fn record_report(&self, number: usize, report: Report) {
        let now = self.now();
        let mut views = lock(&self.views);
        let MemberViews { observer, reported } = &mut *views;
        if !observer.is_active(number) {
            return; // requested before it was suspended or ended
        }
        reported[number].started_ms = Some(report.started_ms);
        reported[number].present_bytes = report.bytes_sent;
        for row in &report.members {
            let Some(of) = member_number(&row.name).filter(|of| *of < reported.len()) else {
                continue;
            };
            let state = match reported[of].started_ms {
                // One that has just started has not reported its incarnation: the row is of the former.
                None if observer.is_active(of) => MemberView::Unknown,
                // Of one whose process has ended, its last incarnation counts.
                started_ms => state_in(row, started_ms),
            };
            observer.record_view(now, number, of, state);
        }
        reported[number].last_report = Some(report);
    }

    /// Records which zones a member has evacuated, and how far.
    pub fn record_evacuation(&self, number: usize, status: &Status) {
        let (now, balancer) = (self.now(), number as u32);
        for place in status.domains.iter() {
            let Some(zone) = place.name.strip_prefix("zone ") else {
                continue;
            };
            lock(&self.evacuations).record_zone_share(now, balancer, zone, place.share);
        }
    }

    /// Records which partitioned links both ends have reported as such last.
    pub fn record_partitions(&self, is_partitioned: impl Fn(usize, usize) -> bool) {
        let now = self.now();
        let mut views = lock(&self.views);
        let MemberViews { observer, reported } = &mut *views;
        let row = |by: usize, of: usize| {
            let rows = reported[by]
                .last_report
                .iter()
                .flat_map(|report| &report.members);
            rows.into_iter()
                .find(|row| member_number(&row.name) == Some(of))
        };
        let partitioned = |path: &PathReport| *path == PathReport::Partitioned;
        let pairs = observer
            .pairs(|member| reported[member].last_report.is_some())
            .into_iter();
        let observations = pairs.map(|(from, to)| {
            let sender_reports = row(from, to).is_some_and(|row| partitioned(&row.outbound));
            let receiver_reports = row(to, from).is_some_and(|row| partitioned(&row.inbound));
            (is_partitioned(from, to), sender_reports, receiver_reports)
        });
        observer.record_path_reports(now, observations);
    }

    /// All that was observed of the members until now.
    pub fn members_end(&self) -> MembershipReport {
        let views = lock(&self.views);
        let sent = |member: &ReportedState| member.former_bytes + member.present_bytes;
        let bytes: Vec<u64> = views.reported.iter().map(sent).collect();
        let now = self.now();
        views.observer.clone().end(now, &bytes, now)
    }

    /// All that was observed of evacuated zones until now.
    pub fn evacuations_end(&self) -> EvacuationReport {
        lock(&self.evacuations).clone().end(self.now())
    }

    /// The share of a core that the membership thread of each running process has used since its start.
    pub fn cores(&self, balancers: &[Arc<Balancer>]) -> Vec<f64> {
        let views = lock(&self.views);
        let share = |(balancer, member): (&Arc<Balancer>, &ReportedState)| {
            let run_ns = balancer.process.thread_run_ns(MEMBERSHIP_THREAD)?;
            let uptime_s = member.last_report.as_ref()?.uptime_s.max(MIN_UPTIME_S);
            Some(run_ns as f64 / 1e9 / uptime_s)
        };
        balancers
            .iter()
            .zip(&views.reported)
            .filter_map(share)
            .collect()
    }
}

/// The state that a row has a member in, if it is of this incarnation.
fn state_in(row: &MemberReport, started_ms: Option<u64>) -> MemberView {
    if started_ms.is_some_and(|started_ms| started_ms != row.started_ms) {
        return MemberView::Unknown;
    }
    match row.state.as_str() {
        "alive" | "cut" => MemberView::Alive,
        "suspect" | "unknown" => MemberView::Suspect,
        "dead" => MemberView::Dead,
        "left" => MemberView::Left,
        _ => MemberView::Unknown,
    }
}

/// The number of the balancer of this name.
fn member_number(name: &str) -> Option<usize> {
    name.strip_prefix("balancer-")?.parse().ok()
}
