//! Machines that have applied the same position of the log have the same state.

use super::Cluster;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hasher};
use thiserror::Error;
use woadstall_control_simulation::NodeIndex;

/// Two machines have different states at one position of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("nodes {first} and {second} have different states at position {index} of the log")]
pub struct StateDivergence {
    /// The position.
    pub index: u64,
    /// The node that had applied it first.
    pub first: NodeIndex,
    /// The other one.
    pub second: NodeIndex,
}

/// The states that were seen, by their position in the log.
#[derive(Clone, Debug, Default)]
pub(super) struct AppliedStates {
    by_index: BTreeMap<u64, (NodeIndex, u64)>,
    /// The first disagreement.
    pub divergence: Option<StateDivergence>,
}

impl AppliedStates {
    /// A node has a state at a position.
    pub fn observe(&mut self, second: NodeIndex, index: u64, state: &[u8]) {
        let mut hasher = DefaultHasher::new();
        hasher.write(state);
        let hash = hasher.finish();
        let (first, known) = *self.by_index.entry(index).or_insert((second, hash));
        if known != hash {
            self.divergence.get_or_insert(StateDivergence {
                index,
                first,
                second,
            });
        }
    }
}

impl Cluster {
    /// Compares the states of all machines with those seen so far.
    pub(super) fn compare_states(&mut self) {
        for node in 0..self.nodes.len() {
            if let Some(process) = &self.nodes[node].process {
                let state = process.state();
                self.applied_states
                    .observe(node, state.index(), &state.encode());
            }
        }
    }
}
