//! Metrics of the membership among load balancers.

use super::register;
use prometheus::{IntGauge, IntGaugeVec, Opts, Registry};
use woadstall_membership_net::Membership;

/// All states of a member. Each state is exported from the start, even without members.
const STATES: [&str; 6] = ["alive", "suspect", "cut", "dead", "left", "unknown"];

pub(super) struct MembershipMetrics {
    membership: Membership,
    members: IntGaugeVec,
    partitioned_paths: IntGauge,
    is_isolated: IntGauge,
    process_pauses: IntGauge,
    bytes_sent: IntGauge,
    rejected_messages: IntGauge,
}

impl MembershipMetrics {
    pub fn register(registry: &Registry, membership: Membership) -> prometheus::Result<Self> {
        let options = |name: &str, help: &str| Opts::new(format!("balancer_members{name}"), help);
        let gauge = |name, help| register(registry, IntGauge::with_opts(options(name, help)));
        let by_state = options("", "Other balancers, by their state as seen here.");
        Ok(Self {
            membership,
            members: register(registry, IntGaugeVec::new(by_state, &["state"]))?,
            partitioned_paths: gauge(
                "_cut_ways",
                "Ways between balancers that are cut, as all tell of them.",
            )?,
            is_isolated: gauge(
                "_cut_off",
                "1 while this balancer judges nobody, as it is cut off or has just woken.",
            )?,
            process_pauses: gauge(
                "_stalls",
                "How often this balancer stood still since its start.",
            )?,
            bytes_sent: gauge(
                "_bytes",
                "Bytes sent to other balancers since the start, without seals.",
            )?,
            rejected_messages: gauge(
                "_not_believed",
                "Messages since the start that were not believed or understood.",
            )?,
        })
    }

    /// Updates all gauges from the current membership report.
    pub fn update(&self) {
        let report = self.membership.report();
        for state in STATES {
            let members = report.members.iter();
            let count = members
                .filter(|member| member.state.as_str() == state)
                .count();
            self.members.with_label_values(&[state]).set(count as i64);
        }
        let partitioned: u64 = report
            .zone_paths
            .iter()
            .map(|paths| paths.partitioned)
            .sum();
        self.partitioned_paths.set(partitioned as i64);
        self.is_isolated.set(report.is_isolated.into());
        self.process_pauses.set(report.process_pauses as i64);
        self.bytes_sent.set(report.bytes_sent as i64);
        let rejections = report.rejections;
        let rejected = rejections.other_key
            + rejections.other_version
            + rejections.malformed
            + rejections.replayed;
        self.rejected_messages.set(rejected as i64);
    }
}
