//! The sequential specification: a single server that executes one operation after the other.

use super::{Input, Operation, Output};
use std::collections::BTreeSet;

/// The state of the single server.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Model {
    generation: u64,
    evacuated: BTreeSet<String>,
    /// Digests of the committed commands.
    committed: BTreeSet<u128>,
}

impl Model {
    /// The state after an operation, or `None` if the server would return another output.
    pub(super) fn after(&self, operation: &Operation) -> Option<Self> {
        let mut next = self.clone();
        let output = next.execute(&operation.input);
        (operation.output == Output::Unknown || operation.output == output).then_some(next)
    }

    fn execute(&mut self, input: &Input) -> Output {
        match input {
            Input::Put {
                base,
                generation,
                digest,
            } => self.put(*base, *generation, *digest),
            Input::Evacuate(zone) => {
                self.evacuated.insert(zone.clone());
                Output::Committed
            }
            Input::EndEvacuation(zone) => {
                self.evacuated.remove(zone);
                Output::Committed
            }
            Input::Read => Output::Read {
                generation: self.generation,
                evacuated: self.evacuated.clone(),
            },
        }
    }

    fn put(&mut self, base: u64, generation: u64, digest: u128) -> Output {
        if self.committed.contains(&digest) {
            return Output::Committed;
        }
        if base != self.generation {
            return Output::Conflict(self.generation);
        }
        self.generation = generation;
        self.committed.insert(digest);
        Output::Committed
    }
}
