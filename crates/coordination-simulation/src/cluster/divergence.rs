//! Detects machines whose states differ at the same log position.

use super::Cluster;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hasher};
use thiserror::Error;
use woadstall_control_simulation::NodeIndex;

/// Two machines had different states at the same log position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("nodes {first} and {second} have different states at log position {index}")]
pub struct StateDivergence {
    /// The log position.
    pub index: u64,
    /// The node that was first observed at this position.
    pub first: NodeIndex,
    /// The node with the other state.
    pub second: NodeIndex,
}

/// Hashes of the states that were observed, by log position.
#[derive(Clone, Debug, Default)]
pub(super) struct AppliedStates {
    /// The node that was first observed at each position, and the hash of its state.
    by_index: BTreeMap<u64, (NodeIndex, u64)>,
    /// The first disagreement.
    pub divergence: Option<StateDivergence>,
}

impl AppliedStates {
    /// Compares the state of a node with the one first observed at the same position.
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
    /// Compares the states of all running machines with the states observed before.
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
