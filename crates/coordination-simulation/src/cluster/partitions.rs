//! Partitions that begin, overlap and end.

use super::Cluster;
use super::event::Event;
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::network::Link;

/// The directions that a partition closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Nothing reaches the nodes.
    Inbound,
    /// Nothing comes from the nodes.
    Outbound,
    /// Neither.
    Both,
}

/// A partition in force.
#[derive(Clone, Debug)]
pub(super) struct Partition {
    number: u64,
    links: Vec<Link>,
}

impl Cluster {
    /// Parts some nodes from all others for some milliseconds.
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

    /// Whether nothing passes over some link.
    pub fn is_partitioned(&self) -> bool {
        !self.partitions.is_empty()
    }
}
