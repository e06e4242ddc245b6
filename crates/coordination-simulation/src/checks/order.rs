//! ORDER: sequence numbers and revisions increase, and watches report all puts in order.

use super::observed_puts::{keys_by_revision, observed_puts};
use crate::history::{History, Timestamp};
use std::collections::BTreeMap;
use thiserror::Error;
use woadstall_coordination::command::{Command, group_of};
use woadstall_coordination::machine::Response;
use woadstall_coordination::outcome::Outcome;
use woadstall_coordination::state::GroupEvents;

/// A violation of the rule ORDER.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderViolation {
    /// A sequence returned a number twice.
    #[error("sequence {sequence}: {value} was returned twice")]
    DuplicateNumber {
        /// Name of the sequence.
        sequence: String,
        /// The repeated number.
        value: u64,
    },
    /// A sequence returned a number smaller than one that a client had received before the call.
    #[error("sequence {sequence}: {value} was returned after {previous}")]
    NumberNotIncreasing {
        /// Name of the sequence.
        sequence: String,
        /// The later number.
        value: u64,
        /// The earlier number.
        previous: u64,
    },
    /// Two puts have the same revision.
    #[error("group {group}: revision {revision} was assigned to {first:.60} and to {second:.60}")]
    DuplicateRevision {
        /// Group of the keys.
        group: String,
        /// The revision of both puts.
        revision: u64,
        /// One put, as `key=value`.
        first: String,
        /// The other put, as `key=value`.
        second: String,
    },
    /// A put got a revision smaller than one that a client had observed before the put was first
    /// sent.
    #[error("group {group}: revision {revision} was assigned after {previous}")]
    RevisionNotIncreasing {
        /// Group of the keys.
        group: String,
        /// The later revision.
        revision: u64,
        /// The earlier revision.
        previous: u64,
    },
    /// A conditional put replaced a revision other than the required one.
    #[error(
        "key {key}: a put that requires revision {required} got revision {revision} and replaced \
         revision {replaced}"
    )]
    ConditionIgnored {
        /// Key of the put.
        key: String,
        /// Revision that the put requires.
        required: u64,
        /// Revision that the put got.
        revision: u64,
        /// Revision between the two, which the put replaced.
        replaced: u64,
    },
    /// The events of a watch are not in the order of their revisions, or have revisions outside the
    /// range of the watch.
    #[error(
        "group {group}: a watch after revision {after} returned events out of order or out of \
         range: {revisions:?}"
    )]
    EventsOutOfOrder {
        /// Group of keys that was watched.
        group: String,
        /// Revision after which the watch starts.
        after: u64,
        /// Revisions of the events, as returned.
        revisions: Vec<u64>,
    },
    /// A watch omitted a put within its range.
    #[error("group {group}: a watch of revisions {after} to {until} skipped revision {revision}")]
    EventSkipped {
        /// Group of keys that was watched.
        group: String,
        /// Revision after which the watch starts.
        after: u64,
        /// Last revision that the answer covers.
        until: u64,
        /// Revision of the omitted put.
        revision: u64,
    },
}

/// Checks sequence numbers, revisions and watches.
///
/// # Errors
///
/// Returns the first violation in the history.
pub fn check(history: &History) -> Result<(), OrderViolation> {
    check_numbers(history)?;
    check_revisions_are_unique(history)?;
    check_revisions_increase(history)?;
    check_conditions(history)?;
    check_watches(history)
}

/// A sequence number or a revision that the service assigned.
#[derive(Clone, Copy, Debug)]
struct AssignedNumber {
    value: u64,
    invoked_at: Timestamp,
    observed_at: Timestamp,
}

/// Finds a value smaller than one that was observed before the call of the smaller value. Returns
/// the smaller and the greater value. Sorts the values as a side effect.
fn first_not_increasing(numbers: &mut [AssignedNumber]) -> Option<(u64, u64)> {
    numbers.sort_by_key(|number| number.value);
    // The values are visited from the greatest to the smallest. `earliest_greater` is the one that
    // was observed first among the values visited so far.
    let mut earliest_greater: Option<AssignedNumber> = None;
    for number in numbers.iter().rev() {
        if let Some(greater) = earliest_greater
            && greater.observed_at < number.invoked_at
        {
            return Some((number.value, greater.value));
        }
        if earliest_greater.is_none_or(|greater| number.observed_at < greater.observed_at) {
            earliest_greater = Some(*number);
        }
    }
    None
}

fn check_numbers(history: &History) -> Result<(), OrderViolation> {
    let mut sequences: BTreeMap<&str, Vec<AssignedNumber>> = BTreeMap::new();
    for (operation, observed_at, outcome) in history.executed() {
        if let (Some(Command::NextNumber { sequence }), Outcome::Number { value }) =
            (operation.command(), outcome)
        {
            let (value, invoked_at) = (*value, operation.invoked_at);
            sequences.entry(sequence).or_default().push(AssignedNumber {
                value,
                invoked_at,
                observed_at,
            });
        }
    }
    for (sequence, mut numbers) in sequences {
        if let Some((value, previous)) = first_not_increasing(&mut numbers) {
            return Err(OrderViolation::NumberNotIncreasing {
                sequence: sequence.to_owned(),
                value,
                previous,
            });
        }
        if let Some(pair) = numbers
            .windows(2)
            .find(|pair| pair[0].value == pair[1].value)
        {
            return Err(OrderViolation::DuplicateNumber {
                sequence: sequence.to_owned(),
                value: pair[0].value,
            });
        }
    }
    Ok(())
}

fn check_revisions_are_unique(history: &History) -> Result<(), OrderViolation> {
    let mut puts: BTreeMap<(&str, u64), (&str, &str)> = BTreeMap::new();
    for observed in observed_puts(history) {
        let group = group_of(observed.key);
        let put = (observed.key, observed.value);
        let first_put = *puts.entry((group, observed.revision)).or_insert(put);
        if first_put != put {
            let text = |(key, value): (&str, &str)| format!("{key}={value}");
            return Err(OrderViolation::DuplicateRevision {
                group: group.to_owned(),
                revision: observed.revision,
                first: text(first_put),
                second: text(put),
            });
        }
    }
    Ok(())
}

fn check_revisions_increase(history: &History) -> Result<(), OrderViolation> {
    let mut first_calls: BTreeMap<(&str, &str), Timestamp> = BTreeMap::new();
    for operation in &history.operations {
        if let Some(Command::Put { key, value, .. }) = operation.command() {
            first_calls
                .entry((key, value))
                .or_insert(operation.invoked_at);
        }
    }
    let mut groups: BTreeMap<&str, Vec<AssignedNumber>> = BTreeMap::new();
    for observed in observed_puts(history) {
        let Some(invoked_at) = first_calls.get(&(observed.key, observed.value)) else {
            continue;
        };
        groups
            .entry(group_of(observed.key))
            .or_default()
            .push(AssignedNumber {
                value: observed.revision,
                invoked_at: *invoked_at,
                observed_at: observed.observed_at,
            });
    }
    for (group, mut numbers) in groups {
        if let Some((revision, previous)) = first_not_increasing(&mut numbers) {
            return Err(OrderViolation::RevisionNotIncreasing {
                group: group.to_owned(),
                revision,
                previous,
            });
        }
    }
    Ok(())
}

fn check_conditions(history: &History) -> Result<(), OrderViolation> {
    let mut revisions: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for observed in observed_puts(history) {
        revisions
            .entry(observed.key)
            .or_default()
            .push(observed.revision);
    }
    for (operation, _, outcome) in history.executed() {
        let (
            Some(Command::Put {
                key,
                if_revision: Some(required),
                ..
            }),
            Outcome::Put { revision },
        ) = (operation.command(), outcome)
        else {
            continue;
        };
        let revisions_of_key = revisions.get(&**key).into_iter().flatten();
        let mut between =
            revisions_of_key.filter(|between| *required < **between && **between < *revision);
        if let Some(replaced) = between.next() {
            return Err(OrderViolation::ConditionIgnored {
                key: key.clone(),
                required: *required,
                revision: *revision,
                replaced: *replaced,
            });
        }
    }
    Ok(())
}

fn check_watches(history: &History) -> Result<(), OrderViolation> {
    let groups = keys_by_revision(&observed_puts(history));
    for operation in &history.operations {
        let (Some((watch, _)), Some(Response::Events(returned))) =
            (operation.watch(), operation.response())
        else {
            continue;
        };
        // A watch after revision 0 requests only the current revision of the group, no events.
        if watch.after > 0 {
            let puts = groups.get(&*watch.group);
            check_watch_events(&watch.group, watch.after, returned, puts)?;
        }
    }
    Ok(())
}

fn check_watch_events(
    group: &str,
    after: u64,
    returned: &GroupEvents,
    puts: Option<&BTreeMap<u64, &str>>,
) -> Result<(), OrderViolation> {
    let revisions: Vec<u64> = returned.events.iter().map(|event| event.revision).collect();
    let is_increasing = revisions.windows(2).all(|pair| pair[0] < pair[1]);
    let is_in_range = revisions
        .iter()
        .all(|revision| after < *revision && *revision <= returned.revision);
    if !is_increasing || !is_in_range || returned.revision < after {
        return Err(OrderViolation::EventsOutOfOrder {
            group: group.to_owned(),
            after,
            revisions,
        });
    }
    let put_revisions = puts.into_iter().flat_map(|puts| puts.keys());
    let mut expected =
        put_revisions.filter(|revision| after < **revision && **revision <= returned.revision);
    match expected.find(|revision| !revisions.contains(revision)) {
        Some(revision) => Err(OrderViolation::EventSkipped {
            group: group.to_owned(),
            after,
            until: returned.revision,
            revision: *revision,
        }),
        None => Ok(()),
    }
}
