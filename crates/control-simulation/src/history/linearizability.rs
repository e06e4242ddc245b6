//! Linearizability check: searches for an order of the operations that agrees with their times and
//! outputs. The search is the algorithm of Wing and Gong with the memoization of Lowe ("Testing for
//! linearizability", 2017). It handles one group of concurrent operations after the other.

use super::model::Model;
use super::{Operation, Output};
use std::collections::{BTreeSet, HashSet};
use std::fmt;
use thiserror::Error;

/// Maximum number of operations in a group. The search keeps the set of executed operations as the
/// bits of a `u128`.
const MAX_CONCURRENT: usize = 128;

/// A group of concurrent operations whose outputs no sequential order explains.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct NotLinearizable {
    /// The operations, in the order of their invocation.
    pub operations: Vec<Operation>,
}

impl fmt::Display for NotLinearizable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "no sequential order of these operations explains their outputs:"
        )?;
        for operation in &self.operations {
            write!(formatter, "\n{operation:?}")?;
        }
        Ok(())
    }
}

/// Checks operations that are sorted by the time of their invocation.
pub(super) fn check(operations: Vec<Operation>) -> Result<(), NotLinearizable> {
    let mut states = BTreeSet::from([Model::default()]);
    for group in split_at_quiescence(operations) {
        let states_after_group = states
            .iter()
            .flat_map(|state| final_states(&group, state))
            .collect();
        states = states_after_group;
        if states.is_empty() {
            return Err(NotLinearizable { operations: group });
        }
    }
    Ok(())
}

/// Splits operations into groups. All operations of a group return before any operation of the next
/// group is invoked.
fn split_at_quiescence(operations: Vec<Operation>) -> Vec<Vec<Operation>> {
    let mut groups: Vec<Vec<Operation>> = Vec::new();
    let mut all_returned_ms = 0;
    for operation in operations {
        let is_concurrent = operation.invoked_ms <= all_returned_ms;
        all_returned_ms = all_returned_ms.max(operation.returned_ms);
        match groups.last_mut() {
            Some(group) if is_concurrent => group.push(operation),
            _ => groups.push(vec![operation]),
        }
    }
    groups
}

/// A node of the search: the set of executed operations as bits, and the state after them.
type SearchState = (u128, Model);

/// All states that valid orders of the operations can lead to from an initial state.
fn final_states(operations: &[Operation], initial: &Model) -> Vec<Model> {
    let count = operations.len();
    assert!(
        count <= MAX_CONCURRENT,
        "{count} concurrent operations exceed the limit of {MAX_CONCURRENT}"
    );
    let all_executed = if count == MAX_CONCURRENT {
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
        if executed == all_executed {
            final_states.push(model);
        } else {
            push_successors(operations, executed, &model, &mut stack);
        }
    }
    final_states
}

/// Pushes the states after each operation that may be executed next. An operation may be executed
/// next if it was invoked before any remaining operation returned. An operation with an unknown
/// output may also have no effect.
fn push_successors(
    operations: &[Operation],
    executed: u128,
    model: &Model,
    stack: &mut Vec<SearchState>,
) {
    let remaining = || {
        operations
            .iter()
            .enumerate()
            .filter(|(number, _)| executed >> number & 1 == 0)
    };
    let first_return_ms = remaining()
        .map(|(_, operation)| operation.returned_ms)
        .min();
    let first_return_ms = first_return_ms.unwrap_or(u64::MAX);
    for (number, operation) in remaining().filter(|(_, next)| next.invoked_ms <= first_return_ms) {
        let executed = executed | 1 << number;
        stack.extend(model.after(operation).map(|next| (executed, next)));
        if operation.output == Output::Unknown {
            stack.push((executed, model.clone()));
        }
    }
}
