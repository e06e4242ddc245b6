//! Evaluation of the members' reports over a run.

use super::{MemberViews, Membership, ReportedState};
use crate::balancer::Balancer;
use std::sync::Arc;
use woadstall_emulator::{EvacuationReport, MemberView, MembershipReport};
use woadstall_evacuation::Status;
use woadstall_load_test::lock;
use woadstall_membership_net::{MemberReport, PathReport, Report};

/// Name of the program's thread that runs the membership protocol.
const MEMBERSHIP_THREAD: &str = "instances";
/// Lower bound of the uptime that run times are divided by, so that the quotient is finite.
const MIN_UPTIME_S: f64 = 1e-3;

impl Membership {
    /// Records a member's report about itself and the other members.
    pub fn record_report(&self, number: usize, report: Report) {
        let now_ns = self.now_ns();
        let mut views = lock(&self.views);
        let MemberViews { observer, reported } = &mut *views;
        if !observer.is_active(number) {
            return; // the report was requested before the member was suspended or stopped
        }
        reported[number].started_ms = Some(report.started_ms);
        reported[number].current_bytes_sent = report.bytes_sent;
        for row in &report.members {
            let is_member = |number: &usize| *number < reported.len();
            let Some(subject) = member_number(&row.name).filter(is_member) else {
                continue;
            };
            let state = match reported[subject].started_ms {
                // A member that has just started has not reported its incarnation yet: the row may describe the
                // previous incarnation.
                None if observer.is_active(subject) => MemberView::Unknown,
                // For a member whose process has ended, the row must describe its last incarnation.
                started_ms => state_in(row, started_ms),
            };
            observer.record_view(now_ns, number, subject, state);
        }
        reported[number].last_report = Some(report);
    }

    /// Records the share of each zone that a member has evacuated.
    pub fn record_evacuation(&self, number: usize, status: &Status) {
        let (now_ns, balancer) = (self.now_ns(), number as u32);
        for domain in status.domains.iter() {
            let Some(zone) = domain.name.strip_prefix("zone ") else {
                continue;
            };
            lock(&self.evacuations).record_zone_share(now_ns, balancer, zone, domain.share);
        }
    }

    /// Compares the partitioned links with the last reports of the members at both ends of each link.
    pub fn record_partitions(&self, is_partitioned: impl Fn(usize, usize) -> bool) {
        let now_ns = self.now_ns();
        let mut views = lock(&self.views);
        let MemberViews { observer, reported } = &mut *views;
        let row = |reporter: usize, subject: usize| {
            let rows = reported[reporter]
                .last_report
                .iter()
                .flat_map(|report| &report.members);
            rows.into_iter()
                .find(|row| member_number(&row.name) == Some(subject))
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
        observer.record_path_reports(now_ns, observations);
    }

    /// Returns the membership results up to now.
    pub fn membership_report(&self) -> MembershipReport {
        let views = lock(&self.views);
        let total_bytes =
            |member: &ReportedState| member.previous_bytes_sent + member.current_bytes_sent;
        let bytes_sent: Vec<u64> = views.reported.iter().map(total_bytes).collect();
        let now_ns = self.now_ns();
        views.observer.clone().end(now_ns, &bytes_sent, now_ns)
    }

    /// Returns the evacuation results up to now.
    pub fn evacuation_report(&self) -> EvacuationReport {
        lock(&self.evacuations).clone().end(self.now_ns())
    }

    /// Returns, for each running process, the share of a core that its membership thread has used since the process
    /// started.
    pub fn core_shares(&self, balancers: &[Arc<Balancer>]) -> Vec<f64> {
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

/// Converts the member state in a row of a report. Returns [`MemberView::Unknown`] if the row describes an incarnation
/// other than the one started at `started_ms`.
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

/// Parses the index of a balancer from its name.
fn member_number(name: &str) -> Option<usize> {
    name.strip_prefix("balancer-")?.parse().ok()
}
