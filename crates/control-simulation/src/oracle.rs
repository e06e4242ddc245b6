//! What must hold after each event.

use crate::front::Front;
use nanoserde::DeBin;
use std::collections::{BTreeMap, BTreeSet};
use woadstall_consensus::{DurableState, Entry, EntryPayload, ReplicaId};
use woadstall_control::command::Command;
use woadstall_control::machine::ControlMachine;
use woadstall_control::registry::UpstreamStatus;
use woadstall_control::state::ControlState;

/// Packets and calls that a machine may hold at most, whatever happens.
const MOST_ENTRIES: usize = 4_000;

/// Watches all machines and balancers.
#[derive(Debug, Default)]
pub struct Oracle {
    leaders: BTreeMap<u64, ReplicaId>,
    /// The version in force, and the evacuated zones, after each position of the log.
    states: BTreeMap<u64, (u64, Vec<String>)>,
    /// Upstreams that each process has known to leave.
    leaving: BTreeMap<(usize, u64), BTreeSet<String>>,
    /// Upstreams whose leaving was acknowledged.
    acknowledged: BTreeSet<String>,
    /// The first thing that went wrong.
    pub violation: Option<String>,
}

impl Oracle {
    /// Notes that something is wrong.
    pub fn fail(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    /// Notes that the leaving of an upstream was acknowledged.
    pub fn note_leaving(&mut self, id: &str) {
        self.acknowledged.insert(id.to_owned());
    }

    /// Looks at a machine's process.
    pub fn look_at(&mut self, place: usize, incarnation: u64, machine: &ControlMachine) {
        self.check_leader(machine);
        self.check_state(place, machine.state().index, machine);
        self.check_leaving(place, incarnation, machine);
        let entries = machine.replica().log().entries().len();
        if entries > MOST_ENTRIES {
            self.fail(format!("machine {place} holds {entries} entries"));
        }
    }

    fn check_leader(&mut self, machine: &ControlMachine) {
        let replica = machine.replica();
        if !replica.is_leader() {
            return;
        }
        let first = *self.leaders.entry(replica.term()).or_insert(replica.id());
        if first != replica.id() {
            self.fail(format!(
                "term {} has two leaders, {first} and {}",
                replica.term(),
                replica.id()
            ));
        }
    }

    /// All machines have the same state after the same position.
    fn check_state(&mut self, place: usize, index: u64, machine: &ControlMachine) {
        let state = machine.state();
        let found = (
            state.generation(),
            state.evacuated.iter().cloned().collect::<Vec<_>>(),
        );
        let first = self.states.entry(index).or_insert_with(|| found.clone());
        if *first != found {
            let first = first.clone();
            self.fail(format!(
                "machine {place} has {found:?} after position {index}, another one {first:?}"
            ));
        }
    }

    /// What a process knows to leave stays so.
    fn check_leaving(&mut self, place: usize, incarnation: u64, machine: &ControlMachine) {
        let known = self.leaving.entry((place, incarnation)).or_default();
        let mut undone = None;
        for registration in machine.registrations() {
            if registration.status.is_terminating() {
                known.insert(registration.id);
            } else if known.contains(&registration.id) {
                undone = Some(registration.id);
            }
        }
        if let Some(id) = undone {
            self.fail(format!(
                "machine {place} knew that {id} leaves, and takes it back"
            ));
        }
    }

    /// Looks at a balancer: its version never goes back, nor does what it knows of leaving upstreams.
    pub fn look_at_front(&mut self, name: &str, front: &Front) {
        let generations = &front.generations;
        if let [.., before, now] = generations[..]
            && now < before
        {
            self.fail(format!(
                "balancer {name} went from version {before} back to {now}"
            ));
        }
    }

    /// In a calm time, all machines and balancers that are there know of each acknowledged leaving.
    pub fn check_acknowledged(
        &mut self,
        place: usize,
        statuses: &BTreeMap<String, UpstreamStatus>,
    ) {
        for id in self.acknowledged.clone() {
            if statuses
                .get(&id)
                .is_some_and(|status| !status.is_terminating())
            {
                self.fail(format!(
                    "at machine {place}, {id} takes requests though its leaving was acknowledged"
                ));
            }
        }
    }
}

/// Whether a disk holds the configuration of a version or a later one.
pub fn holds_generation(durable: &DurableState, generation: u64) -> bool {
    let is_in_entry = |entry: &Entry| match &entry.payload {
        EntryPayload::Command(bytes) => is_of_generation(bytes, generation),
        EntryPayload::Blank | EntryPayload::Membership(_) => false,
    };
    let log = &durable.log;
    log.entries().iter().rev().any(is_in_entry)
        || ControlState::decode(&log.snapshot().state)
            .is_ok_and(|state| state.generation() >= generation)
}

fn is_of_generation(bytes: &[u8], generation: u64) -> bool {
    let body = match Command::deserialize_bin(bytes) {
        Ok(Command::Put { body, .. } | Command::Patch { body, .. }) => body,
        _ => return false,
    };
    let document: Option<serde_json::Value> = serde_json::from_slice(&body).ok();
    document
        .and_then(|document| document["generation"].as_u64())
        .is_some_and(|found| found >= generation)
}
