//! Conditions of all links under the active faults.

use super::{FaultTargets, Fleet};
use crate::balancer::Balancer;
use crate::links::{self, ActiveFault, Direction, UpstreamLink};
use woadstall_emulator::MemberLink;
use woadstall_load_test::lock;

impl Fleet {
    /// Sets the conditions of all links between balancers and upstreams, and of all links among members.
    pub fn update_links(&self) {
        let active = lock(&self.active_faults);
        for balancer in &self.balancers {
            self.update_upstream_links(balancer, &active);
        }
        if let Some(membership) = &self.membership {
            membership.update_links(&self.network, &self.scenario, |from, to| {
                self.member_link(&active, from, to)
            });
        }
    }

    fn update_upstream_links(&self, balancer: &Balancer, active: &[Option<FaultTargets>]) {
        let balancer_node = links::balancer_node(balancer.placement.number);
        for upstream in self.upstreams_of_tier(balancer.placement.tier) {
            let upstream_node = links::upstream_node(upstream);
            let conditions = |direction| {
                let link = UpstreamLink {
                    balancer_zone: balancer.placement.zone,
                    upstream_zone: self.upstreams[upstream as usize].listing().zone,
                    upstream,
                    direction,
                };
                let faults = self.active_faults_with_targets(active, |targets| &targets.upstreams);
                links::upstream_link_conditions(&self.scenario, link, faults)
            };
            let to_upstream = conditions(Direction::ToUpstream);
            let from_upstream = conditions(Direction::FromUpstream);
            self.network
                .set_conditions(balancer_node, upstream_node, to_upstream);
            self.network
                .set_conditions(upstream_node, balancer_node, from_upstream);
        }
    }

    /// Returns the active faults, each with the targets that `targets_of` selects.
    fn active_faults_with_targets<'a>(
        &'a self,
        active: &'a [Option<FaultTargets>],
        targets_of: impl Fn(&FaultTargets) -> &[u32] + 'a,
    ) -> impl Iterator<Item = ActiveFault<'a>> {
        let faults = self.scenario.fault.iter().zip(active);
        faults.filter_map(move |(fault, targets)| Some((fault, targets_of(targets.as_ref()?))))
    }

    /// Returns the state of the link from one member to another under the faults in `active`. Members are identified by
    /// the indices of their balancers.
    pub fn member_link(
        &self,
        active: &[Option<FaultTargets>],
        from: usize,
        to: usize,
    ) -> MemberLink {
        let link_end = |member: usize| (member as u32, self.balancers[member].placement.zone);
        let faults = self.active_faults_with_targets(active, |targets| &targets.balancers);
        self.scenario
            .member_link(link_end(from), link_end(to), self.balancers.len(), faults)
    }
}
