//! Numbers and revisions rise, and watches show all puts in their order.

use super::observed_puts::{keys_by_revision, observed_puts};
use crate::history::{History, Timestamp};
use std::collections::BTreeMap;
use thiserror::Error;
use woadstall_coordination::command::{Command, group_of};
use woadstall_coordination::machine::Response;
use woadstall_coordination::outcome::Outcome;
use woadstall_coordination::state::GroupEvents;

/// How an order is broken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderViolation {
    /// A number was given out twice.
    #[error("sequence {sequence}: {value} was given out twice")]
    DuplicateNumber {
        /// The sequence.
        sequence: String,
        /// The number.
        value: u64,
    },
    /// A number is not greater than one that was known before the call.
    #[error("sequence {sequence}: {value} came after {previous}")]
    NumberNotIncreasing {
        /// The sequence.
        sequence: String,
        /// The later number.
        value: u64,
        /// The earlier number.
        previous: u64,
    },
    /// A revision was given to two puts.
    #[error("group {group}: revision {revision} was given to {first:.60} and to {second:.60}")]
    DuplicateRevision {
        /// The group.
        group: String,
        /// The revision.
        revision: u64,
        /// A put.
        first: String,
        /// Another put.
        second: String,
    },
    /// A revision is not greater than one that was known before the put was first sent.
    #[error("group {group}: revision {revision} came after {previous}")]
    RevisionNotIncreasing {
        /// The group.
        group: String,
        /// The later revision.
        revision: u64,
        /// The earlier revision.
        previous: u64,
    },
    /// A conditional put has replaced another revision than the one required.
    #[error("key {key}: a put on top of revision {required} became {revision}, over {replaced}")]
    ConditionIgnored {
        /// The key.
        key: String,
        /// The revision that the put requires.
        required: u64,
        /// The revision that it got.
        revision: u64,
        /// The revision that it has replaced.
        replaced: u64,
    },
    /// The events of a watch do not rise, or lie outside its span.
    #[error("group {group}: the events of a watch after {after} do not rise: {revisions:?}")]
    EventsOutOfOrder {
        /// The group.
        group: String,
        /// The revision after which the watch begins.
        after: u64,
        /// The revisions of its events.
        revisions: Vec<u64>,
    },
    /// A watch has skipped a put.
    #[error("group {group}: a watch from {after} to {until} has skipped {revision}")]
    EventSkipped {
        /// The group.
        group: String,
        /// The revision after which the watch begins.
        after: u64,
        /// The revision up to which it goes.
        until: u64,
        /// The revision that is missing.
        revision: u64,
    },
}

/// Checks numbers, revisions and watches of a history.
///
/// # Errors
///
/// The first violation that is found.
pub fn check(history: &History) -> Result<(), OrderViolation> {
    check_numbers(history)?;
    check_revisions_once(history)?;
    check_revisions_rise(history)?;
    check_conditions(history)?;
    check_watches(history)
}

/// A number or a revision that was given out.
#[derive(Clone, Copy, Debug)]
struct Assigned {
    value: u64,
    invoked_at: Timestamp,
    known: Timestamp,
}

/// The first one that is not greater than one known before its call, with the latter.
fn first_not_rising(assigned: &mut [Assigned]) -> Option<(u64, u64)> {
    assigned.sort_by_key(|assigned| assigned.value);
    // From the greatest to the smallest: the earliest moment at which a greater one was known.
    let mut earliest: Option<Assigned> = None;
    for assigned in assigned.iter().rev() {
        if let Some(greater) = earliest
            && greater.known < assigned.invoked_at
        {
            return Some((assigned.value, greater.value));
        }
        if earliest.is_none_or(|earliest| assigned.known < earliest.known) {
            earliest = Some(*assigned);
        }
    }
    None
}

fn check_numbers(history: &History) -> Result<(), OrderViolation> {
    let mut sequences: BTreeMap<&str, Vec<Assigned>> = BTreeMap::new();
    for (operation, known, outcome) in history.executed() {
        if let (Some(Command::NextNumber { sequence }), Outcome::Number { value }) =
            (operation.command(), outcome)
        {
            let (value, invoked_at) = (*value, operation.invoked_at);
            sequences.entry(sequence).or_default().push(Assigned {
                value,
                invoked_at,
                known,
            });
        }
    }
    for (sequence, mut assigned) in sequences {
        if let Some((value, previous)) = first_not_rising(&mut assigned) {
            return Err(OrderViolation::NumberNotIncreasing {
                sequence: sequence.to_owned(),
                value,
                previous,
            });
        }
        if let Some(pair) = assigned
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

fn check_revisions_once(history: &History) -> Result<(), OrderViolation> {
    let mut puts: BTreeMap<(&str, u64), (&str, &str)> = BTreeMap::new();
    for observed in observed_puts(history) {
        let group = group_of(observed.key);
        let put = (observed.key, observed.value);
        let known = *puts.entry((group, observed.revision)).or_insert(put);
        if known != put {
            return Err(OrderViolation::DuplicateRevision {
                group: group.to_owned(),
                revision: observed.revision,
                first: format!("{}={}", known.0, known.1),
                second: format!("{}={}", put.0, put.1),
            });
        }
    }
    Ok(())
}

fn check_revisions_rise(history: &History) -> Result<(), OrderViolation> {
    let mut first_calls: BTreeMap<(&str, &str), Timestamp> = BTreeMap::new();
    for operation in &history.operations {
        if let Some(Command::Put { key, value, .. }) = operation.command() {
            first_calls
                .entry((key, value))
                .or_insert(operation.invoked_at);
        }
    }
    let mut groups: BTreeMap<&str, Vec<Assigned>> = BTreeMap::new();
    for observed in observed_puts(history) {
        let Some(invoked_at) = first_calls.get(&(observed.key, observed.value)) else {
            continue;
        };
        groups
            .entry(group_of(observed.key))
            .or_default()
            .push(Assigned {
                value: observed.revision,
                invoked_at: *invoked_at,
                known: observed.at,
            });
    }
    for (group, mut assigned) in groups {
        if let Some((revision, previous)) = first_not_rising(&mut assigned) {
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
        let known = revisions.get(&**key).into_iter().flatten();
        let mut replaced = known.filter(|known| *required < **known && **known < *revision);
        if let Some(replaced) = replaced.next() {
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
        let (Some((watch, _)), Some(Response::Events(found))) =
            (operation.watch(), operation.response())
        else {
            continue;
        };
        if watch.after > 0 {
            check_watch_events(&watch.group, watch.after, found, groups.get(&*watch.group))?;
        }
    }
    Ok(())
}

fn check_watch_events(
    group: &str,
    after: u64,
    found: &GroupEvents,
    puts: Option<&BTreeMap<u64, &str>>,
) -> Result<(), OrderViolation> {
    let revisions: Vec<u64> = found.events.iter().map(|event| event.revision).collect();
    let is_rising = revisions.windows(2).all(|pair| pair[0] < pair[1]);
    let is_inside = revisions
        .iter()
        .all(|revision| after < *revision && *revision <= found.revision);
    if !is_rising || !is_inside || found.revision < after {
        return Err(OrderViolation::EventsOutOfOrder {
            group: group.to_owned(),
            after,
            revisions,
        });
    }
    let known = puts.into_iter().flat_map(|puts| puts.keys());
    let mut expected = known.filter(|revision| after < **revision && **revision <= found.revision);
    match expected.find(|revision| !revisions.contains(revision)) {
        Some(revision) => Err(OrderViolation::EventSkipped {
            group: group.to_owned(),
            after,
            until: found.revision,
            revision: *revision,
        }),
        None => Ok(()),
    }
}
