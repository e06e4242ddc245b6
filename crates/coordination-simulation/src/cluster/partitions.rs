//! Network partitions, which may overlap in time.

use super::Cluster;
use super::event::Event;
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::network::Link;

/// Direction of the traffic that a partition blocks, seen from the partitioned nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Traffic to the nodes is blocked.
    Inbound,
    /// Traffic from the nodes is blocked.
    Outbound,
    /// Traffic in both directions is blocked.
    Both,
}

/// An active partition with the links that it blocks.
#[derive(Clone, Debug)]
pub(super) struct Partition {
    number: u64,
    links: Vec<Link>,
}

impl Cluster {
    /// Partitions `nodes` from all other nodes for `duration_ms`.
    pub fn partition(&mut self, nodes: &[NodeIndex], direction: Direction, duration_ms: u64) {
        self.log_event(
            None,
            format!("fault partition {nodes:?} {direction:?} for {duration_ms}"),
        );
        let mut links = Vec::new();
        for other in (0..self.nodes.len()).filter(|other| !nodes.contains(other)) {
            for node in nodes.iter().copied() {
                if direction != Direction::Outbound {
                    links.push(Link {
                        from: other,
                        to: node,
                    });
                }
                if direction != Direction::Inbound {
                    links.push(Link {
                        from: node,
                        to: other,
                    });
                }
            }
        }
        self.last_partition += 1;
        let number = self.last_partition;
        self.partitions.push(Partition { number, links });
        self.apply_partitions();
        self.schedule(duration_ms, Event::EndPartition { number });
    }

    pub(super) fn end_partition(&mut self, number: u64) {
        self.partitions
            .retain(|partition| partition.number != number);
        self.apply_partitions();
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.apply_partitions();
    }

    fn apply_partitions(&mut self) {
        self.network.heal();
        for link in self
            .partitions
            .iter()
            .flat_map(|partition| &partition.links)
        {
            self.network.partition_direction(link.from, link.to);
        }
    }

    /// Whether at least one partition is active.
    pub fn is_partitioned(&self) -> bool {
        !self.partitions.is_empty()
    }
}
