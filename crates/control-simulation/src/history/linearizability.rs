//! Whether an order of operations exists that agrees with their times and outputs: the search of
//! Wing and Gong with the memoization of Lowe ("Testing for linearizability", 2017), in one stretch
//! of concurrent operations after the other.

use super::model::Model;
use super::{Operation, Output};
use std::collections::{BTreeSet, HashSet};
use std::fmt;
use thiserror::Error;

/// Operations that one search supports: it keeps the executed ones in a `u128`.
const MAX_CONCURRENT: usize = 128;

/// No order of these concurrent operations explains their outputs.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct NotLinearizable {
    /// The operations, by the time at which they were invoked.
    pub operations: Vec<Operation>,
}

impl fmt::Display for NotLinearizable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "no order of these operations explains their outputs:"
        )?;
        for operation in &self.operations {
            write!(formatter, "\n{operation:?}")?;
        }
        Ok(())
    }
}

/// Checks operations that are sorted by the time at which they were invoked.
pub(super) fn check(operations: Vec<Operation>) -> Result<(), NotLinearizable> {
    let mut states = BTreeSet::from([Model::default()]);
    for stretch in split_at_quiescence(operations) {
        let after = states
            .iter()
            .flat_map(|state| final_states(&stretch, state))
            .collect();
        states = after;
        if states.is_empty() {
            return Err(NotLinearizable {
                operations: stretch,
            });
        }
    }
    Ok(())
}

/// Splits operations where all earlier ones have returned before the later ones are invoked.
fn split_at_quiescence(operations: Vec<Operation>) -> Vec<Vec<Operation>> {
    let mut stretches: Vec<Vec<Operation>> = Vec::new();
    let mut all_returned_ms = 0;
    for operation in operations {
        let is_concurrent = operation.invoked_ms <= all_returned_ms;
        all_returned_ms = all_returned_ms.max(operation.returned_ms);
        match stretches.last_mut() {
            Some(stretch) if is_concurrent => stretch.push(operation),
            _ => stretches.push(vec![operation]),
        }
    }
    stretches
}

/// A node of the search: the operations that were executed, as a bit set, and the state after them.
type SearchState = (u128, Model);

/// All states that an order of the operations can lead to from an initial one.
fn final_states(operations: &[Operation], initial: &Model) -> Vec<Model> {
    let count = operations.len();
    assert!(
        count <= MAX_CONCURRENT,
        "{count} concurrent operations, {MAX_CONCURRENT} are supported"
    );
    let all = if count == MAX_CONCURRENT {
        u128::MAX
    } else {
        (1 << count) - 1
    };
    let mut visited: HashSet<SearchState> = HashSet::new();
    let mut stack: Vec<SearchState> = vec![(0, initial.clone())];
    let mut final_states = Vec::new();
    while let Some((executed, model)) = stack.pop() {
        if !visited.insert((executed, model.clone())) {
            continue;
        }
        if executed == all {
            final_states.push(model);
        } else {
            push_successors(operations, executed, &model, &mut stack);
        }
    }
    final_states
}

/// Pushes the states after each operation that may be executed next: one that was invoked before
/// any other of those left has returned. An operation with an unknown output may also have no
/// effect.
fn push_successors(
    operations: &[Operation],
    executed: u128,
    model: &Model,
    stack: &mut Vec<SearchState>,
) {
    let left = || {
        operations
            .iter()
            .enumerate()
            .filter(|(number, _)| executed >> number & 1 == 0)
    };
    let first_return_ms = left().map(|(_, operation)| operation.returned_ms).min();
    let first_return_ms = first_return_ms.unwrap_or(u64::MAX);
    for (number, operation) in left().filter(|(_, next)| next.invoked_ms <= first_return_ms) {
        let executed = executed | 1 << number;
        stack.extend(model.after(operation).map(|next| (executed, next)));
        if operation.output == Output::Unknown {
            stack.push((executed, model.clone()));
        }
    }
}
