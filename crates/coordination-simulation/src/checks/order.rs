//! Numbers and revisions rise, and watches show all puts in their order.

use super::puts::{keys_by_revision, sightings};
use crate::history::{History, Moment};
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
    NumberTwice {
        /// The sequence.
        sequence: String,
        /// The number.
        value: u64,
    },
    /// A number is not greater than one that was known before the call.
    #[error("sequence {sequence}: {value} came after {former}")]
    NumberNotRising {
        /// The sequence.
        sequence: String,
        /// The later number.
        value: u64,
        /// The earlier number.
        former: u64,
    },
    /// A revision was given to two puts.
    #[error("group {group}: revision {revision} was given to {first:.60} and to {second:.60}")]
    RevisionTwice {
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
    #[error("group {group}: revision {revision} came after {former}")]
    RevisionNotRising {
        /// The group.
        group: String,
        /// The later revision.
        revision: u64,
        /// The earlier revision.
        former: u64,
    },
    /// A conditional put has replaced another revision than the one required.
    #[error("key {key}: a put on top of revision {required} became {revision}, over {between}")]
    ConditionIgnored {
        /// The key.
        key: String,
        /// The revision that the put requires.
        required: u64,
        /// The revision that it got.
        revision: u64,
        /// The revision that it has replaced.
        between: u64,
    },
    /// The events of a watch do not rise, or lie outside its span.
    #[error("group {group}: the events of a watch after {after} do not rise: {revisions:?}")]
    EventsNotRising {
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
struct Given {
    value: u64,
    called: Moment,
    known: Moment,
}

/// The first one that is not greater than one known before its call, with the latter.
fn first_not_rising(given: &mut [Given]) -> Option<(u64, u64)> {
    given.sort_by_key(|given| given.value);
    // From the greatest to the smallest: the earliest moment at which a greater one was known.
    let mut earliest: Option<Given> = None;
    for given in given.iter().rev() {
        if let Some(greater) = earliest
            && greater.known < given.called
        {
            return Some((given.value, greater.value));
        }
        if earliest.is_none_or(|earliest| given.known < earliest.known) {
            earliest = Some(*given);
        }
    }
    None
}

fn check_numbers(history: &History) -> Result<(), OrderViolation> {
    let mut sequences: BTreeMap<&str, Vec<Given>> = BTreeMap::new();
    for (operation, known, outcome) in history.executed() {
        if let (Some(Command::NextNumber { sequence }), Outcome::Number { value }) =
            (operation.command(), outcome)
        {
            let (value, called) = (*value, operation.called);
            sequences.entry(sequence).or_default().push(Given {
                value,
                called,
                known,
            });
        }
    }
    for (sequence, mut given) in sequences {
        if let Some((value, former)) = first_not_rising(&mut given) {
            return Err(OrderViolation::NumberNotRising {
                sequence: sequence.to_owned(),
                value,
                former,
            });
        }
        if let Some(pair) = given.windows(2).find(|pair| pair[0].value == pair[1].value) {
            return Err(OrderViolation::NumberTwice {
                sequence: sequence.to_owned(),
                value: pair[0].value,
            });
        }
    }
    Ok(())
}

fn check_revisions_once(history: &History) -> Result<(), OrderViolation> {
    let mut puts: BTreeMap<(&str, u64), (&str, &str)> = BTreeMap::new();
    for sighting in sightings(history) {
        let group = group_of(sighting.key);
        let put = (sighting.key, sighting.value);
        let known = *puts.entry((group, sighting.revision)).or_insert(put);
        if known != put {
            return Err(OrderViolation::RevisionTwice {
                group: group.to_owned(),
                revision: sighting.revision,
                first: format!("{}={}", known.0, known.1),
                second: format!("{}={}", put.0, put.1),
            });
        }
    }
    Ok(())
}

fn check_revisions_rise(history: &History) -> Result<(), OrderViolation> {
    let mut first_calls: BTreeMap<(&str, &str), Moment> = BTreeMap::new();
    for operation in &history.operations {
        if let Some(Command::Put { key, value, .. }) = operation.command() {
            first_calls.entry((key, value)).or_insert(operation.called);
        }
    }
    let mut groups: BTreeMap<&str, Vec<Given>> = BTreeMap::new();
    for sighting in sightings(history) {
        let Some(called) = first_calls.get(&(sighting.key, sighting.value)) else {
            continue;
        };
        groups
            .entry(group_of(sighting.key))
            .or_default()
            .push(Given {
                value: sighting.revision,
                called: *called,
                known: sighting.at,
            });
    }
    for (group, mut given) in groups {
        if let Some((revision, former)) = first_not_rising(&mut given) {
            return Err(OrderViolation::RevisionNotRising {
                group: group.to_owned(),
                revision,
                former,
            });
        }
    }
    Ok(())
}

fn check_conditions(history: &History) -> Result<(), OrderViolation> {
    let mut revisions: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for sighting in sightings(history) {
        revisions
            .entry(sighting.key)
            .or_default()
            .push(sighting.revision);
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
        let mut between = known.filter(|known| *required < **known && **known < *revision);
        if let Some(between) = between.next() {
            return Err(OrderViolation::ConditionIgnored {
                key: key.clone(),
                required: *required,
                revision: *revision,
                between: *between,
            });
        }
    }
    Ok(())
}

fn check_watches(history: &History) -> Result<(), OrderViolation> {
    let groups = keys_by_revision(&sightings(history));
    for operation in &history.operations {
        let (Some((watch, _)), Some(Response::Events(found))) =
            (operation.watch(), operation.response())
        else {
            continue;
        };
        if watch.after > 0 {
            check_span(&watch.group, watch.after, found, groups.get(&*watch.group))?;
        }
    }
    Ok(())
}

fn check_span(
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
        return Err(OrderViolation::EventsNotRising {
            group: group.to_owned(),
            after,
            revisions,
        });
    }
    let known = puts.into_iter().flat_map(|puts| puts.keys());
    let mut in_span = known.filter(|revision| after < **revision && **revision <= found.revision);
    match in_span.find(|revision| !revisions.contains(revision)) {
        Some(revision) => Err(OrderViolation::EventSkipped {
            group: group.to_owned(),
            after,
            until: found.revision,
            revision: *revision,
        }),
        None => Ok(()),
    }
}
