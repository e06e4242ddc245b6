//! Property tests of the state. Random batches are checked against a reference model and against
//! replicas restored from snapshots.

mod support;

use proptest::prelude::*;
use proptest::sample::select;
use std::collections::BTreeMap;
use support::{HISTORY_MS, INCARNATION, Service, acquire, batch, get, group_revision, next_number};
use support::{put, release, renew};
use woadstall_coordination::command::{Call, Command, Query};
use woadstall_coordination::outcome::Outcome;
use woadstall_coordination::state::{CoordinationState, WatchError};

const GROUPS: [&str; 3] = ["g", "h", "i"];
const MAX_BATCHES: usize = 40;

/// A randomly generated batch.
#[derive(Clone, Debug)]
struct GeneratedBatch {
    /// The change of the clock in milliseconds. It may be negative, because the clocks of
    /// successive leaders may disagree.
    elapsed_ms: i64,
    calls: Vec<Call>,
}

fn name(names: &'static [&'static str]) -> impl Strategy<Value = &'static str> {
    select(names)
}

fn command() -> impl Strategy<Value = Command> {
    let lock = || name(&["l", "m"]);
    let owner = || name(&["a", "b", "c"]);
    let key = || name(&["g.a", "g.b", "h.a", "i"]);
    let value = || name(&["t", "u", "v", "w", "x", "y"]);
    let lease_ms = || prop_oneof![Just(0), 1..6_000_u64, Just(u64::MAX)];
    let if_revision = prop_oneof![Just(None), (0..8_u64).prop_map(Some)];
    prop_oneof![
        3 => (lock(), owner(), lease_ms()).prop_map(|(lock, owner, lease)| acquire(lock, owner, lease)),
        2 => (lock(), owner(), 0..12_u64, lease_ms())
            .prop_map(|(lock, owner, token, lease)| renew(lock, owner, token, lease)),
        2 => (lock(), owner(), 0..12_u64).prop_map(|(lock, owner, token)| release(lock, owner, token)),
        1 => name(&["n", "o"]).prop_map(next_number),
        4 => (key(), value(), if_revision).prop_map(|(key, value, required)| put(key, value, required)),
    ]
}

fn call() -> impl Strategy<Value = Call> {
    prop_oneof![
        8 => command().prop_map(Call::Command),
        1 => name(&["g.a", "h.a", "j"]).prop_map(|key| Call::Query(get(key))),
        1 => select(&GROUPS).prop_map(|group| Call::Query(group_revision(group))),
    ]
}

fn batches() -> impl Strategy<Value = Vec<GeneratedBatch>> {
    let elapsed_ms =
        prop_oneof![4 => 0..1_500_i64, 1 => 0..HISTORY_MS as i64 + 2, 1 => -2_000..0_i64];
    let drawn = (elapsed_ms, prop::collection::vec(call(), 0..6));
    let drawn = drawn.prop_map(|(elapsed_ms, calls)| GeneratedBatch { elapsed_ms, calls });
    prop::collection::vec(drawn, 1..MAX_BATCHES)
}

/// An executed put. The model never removes puts.
struct ModelPut {
    key: String,
    value: String,
    revision: u64,
    at_ms: u64,
}

/// A lease that has not expired.
struct ModelLease {
    owner: String,
    fencing_token: u64,
    expires_ms: u64,
}

/// A simple reference implementation of the state.
#[derive(Default)]
struct Model {
    now_ms: u64,
    last_token: u64,
    /// The leases by lock.
    leases: BTreeMap<String, ModelLease>,
    numbers: BTreeMap<String, u64>,
    puts: Vec<ModelPut>,
}

impl Model {
    fn is_current_lease(&self, lock: &str, owner: &str, token: u64) -> bool {
        let lease = self.leases.get(lock);
        lease.is_some_and(|lease| lease.owner == owner && lease.fencing_token == token)
    }

    /// Advances the clock, removes the expired leases and returns their locks in order of expiry.
    fn advance_to(&mut self, now_ms: u64) -> Vec<String> {
        self.now_ms = self.now_ms.max(now_ms);
        let mut expired: Vec<(u64, String)> = Vec::new();
        for (lock, lease) in &self.leases {
            if lease.expires_ms <= self.now_ms {
                expired.push((lease.expires_ms, lock.clone()));
            }
        }
        expired.sort();
        let expired: Vec<String> = expired.into_iter().map(|(_, lock)| lock).collect();
        self.leases
            .retain(|_, lease| lease.expires_ms > self.now_ms);
        expired
    }

    fn puts_of<'a>(&'a self, group: &'a str) -> impl DoubleEndedIterator<Item = &'a ModelPut> {
        let group_of = |key: &str| key.split('.').next().unwrap().to_owned();
        self.puts
            .iter()
            .filter(move |put| group_of(&put.key) == group)
    }

    fn revision(&self, group: &str) -> u64 {
        self.puts_of(group)
            .next_back()
            .map_or(0, |put| put.revision)
    }

    fn newest(&self, key: &str) -> Option<&ModelPut> {
        self.puts.iter().rev().find(|put| put.key == key)
    }

    fn is_in_history(&self, put: &ModelPut) -> bool {
        put.at_ms + HISTORY_MS >= self.now_ms
    }

    fn execute(&mut self, call: &Call) -> Outcome {
        match call {
            Call::Command(command) => self.execute_command(command),
            Call::Query(Query::Get { key }) => match self.newest(key) {
                Some(put) => support::value(&put.value, put.revision),
                None => Outcome::KeyNotFound,
            },
            Call::Query(Query::GroupRevision { group }) => Outcome::GroupRevision {
                revision: self.revision(group),
            },
        }
    }

    fn execute_command(&mut self, command: &Command) -> Outcome {
        match command {
            Command::AcquireLock {
                lock,
                owner,
                lease_ms,
            } => self.acquire(lock, owner, *lease_ms),
            Command::RenewLock {
                lock,
                owner,
                fencing_token,
                lease_ms,
            } => {
                if !self.is_current_lease(lock, owner, *fencing_token) {
                    return Outcome::LockLost;
                }
                let end = self.now_ms.saturating_add(*lease_ms);
                let lease = self.leases.get_mut(lock).unwrap();
                lease.expires_ms = lease.expires_ms.max(end);
                Outcome::LockRenewed
            }
            Command::ReleaseLock {
                lock,
                owner,
                fencing_token,
            } => {
                if self.is_current_lease(lock, owner, *fencing_token) {
                    self.leases.remove(lock);
                }
                Outcome::LockReleased
            }
            Command::NextNumber { sequence } => {
                let number = self.numbers.entry(sequence.clone()).or_default();
                *number += 1;
                support::number(*number)
            }
            Command::Put {
                key,
                value,
                if_revision,
            } => self.put(key, value, *if_revision),
        }
    }

    fn acquire(&mut self, lock: &str, owner: &str, lease_ms: u64) -> Outcome {
        let mut end = self.now_ms.saturating_add(lease_ms);
        if let Some(lease) = self.leases.get(lock) {
            if lease.owner != owner {
                return Outcome::LockHeld;
            }
            end = end.max(lease.expires_ms);
        }
        self.last_token += 1;
        let lease = ModelLease {
            owner: owner.to_owned(),
            fencing_token: self.last_token,
            expires_ms: end,
        };
        self.leases.insert(lock.to_owned(), lease);
        support::acquired(self.last_token)
    }

    fn put(&mut self, key: &str, value: &str, if_revision: Option<u64>) -> Outcome {
        let newest = self.newest(key);
        let current = newest.map_or(0, |put| put.revision);
        if newest.is_some_and(|put| put.value == value) {
            return support::put_at(current);
        }
        let is_same =
            |put: &&ModelPut| put.key == key && put.value == value && self.is_in_history(put);
        if let Some(same) = self.puts.iter().find(is_same) {
            return support::put_at(same.revision);
        }
        if if_revision.is_some_and(|required| required != current) {
            return Outcome::RevisionConflict { current };
        }
        let group = key.split('.').next().unwrap();
        let revision = self.revision(group) + 1;
        self.puts.push(ModelPut {
            key: key.to_owned(),
            value: value.to_owned(),
            revision,
            at_ms: self.now_ms,
        });
        support::put_at(revision)
    }

    /// The events after a revision. If the history no longer contains all of them, the error is the
    /// newest revision that has been removed.
    fn events_after<'a>(
        &'a self,
        group: &'a str,
        after: u64,
    ) -> Result<Vec<(&'a str, &'a str, u64)>, u64> {
        let mut removed = self.puts_of(group).filter(|put| !self.is_in_history(put));
        let compacted = removed.next_back().map_or(0, |put| put.revision);
        if after < compacted {
            return Err(compacted);
        }
        let found = self.puts_of(group).filter(|put| put.revision > after);
        Ok(found
            .map(|put| (&*put.key, &*put.value, put.revision))
            .collect())
    }
}

fn assert_same_events(service: &Service, model: &Model) -> Result<(), TestCaseError> {
    for group in GROUPS {
        prop_assert_eq!(service.state.group_revision(group), model.revision(group));
        for after in 0..=model.revision(group) + 1 {
            match (
                service.events_after(group, after),
                model.events_after(group, after),
            ) {
                (Ok(found), Ok(expected)) => {
                    prop_assert_eq!(support::listed(&found), expected);
                    prop_assert_eq!(found.revision, model.revision(group));
                }
                (Err(WatchError::Compacted { compacted }), Err(expected)) => {
                    prop_assert_eq!(compacted, expected);
                }
                (found, expected) => prop_assert!(false, "{found:?} instead of {expected:?}"),
            }
        }
    }
    Ok(())
}

/// Advances the clock to the time of the next batch.
fn advance(service: &mut Service, batch: &GeneratedBatch) {
    service.clock_ms = service.clock_ms.saturating_add_signed(batch.elapsed_ms);
}

/// The counter that a call has incremented, if any, and its new value.
fn incremented_counter(call: &Call, outcome: &Outcome) -> Option<(String, u64)> {
    match (call, outcome) {
        (_, Outcome::LockAcquired { fencing_token }) => {
            Some(("fencing token".to_owned(), *fencing_token))
        }
        (Call::Command(Command::NextNumber { sequence }), Outcome::Number { value }) => {
            Some((format!("number {sequence}"), *value))
        }
        _ => None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn a_state_matches_the_model(batches in batches()) {
        let mut service = Service::new();
        let mut model = Model::default();
        for batch in batches {
            advance(&mut service, &batch);
            let applied = service.apply(batch.calls.clone());
            let expired = model.advance_to(service.clock_ms);
            prop_assert_eq!(applied.expired_locks, expired);
            for (call, found) in batch.calls.iter().zip(applied.outcomes) {
                prop_assert_eq!(found.outcome, model.execute(call), "{:?}", call);
            }
            prop_assert_eq!(service.state.size().leases, model.leases.len());
            assert_same_events(&service, &model)?;
        }
    }

    #[test]
    fn a_restored_replica_stays_identical(batches in batches(), restore_index in 0..MAX_BATCHES) {
        let mut service = Service::new();
        let mut restored: Option<CoordinationState> = None;
        for (number, drawn) in batches.iter().enumerate() {
            if number == restore_index % batches.len() {
                restored = Some(CoordinationState::decode(&service.state.encode()).unwrap());
            }
            advance(&mut service, drawn);
            let next = batch(service.clock_ms, drawn.calls.clone());
            let index = number as u64 + 2;
            let applied = service.state.apply(index, next.clone(), INCARNATION);
            if let Some(restored) = &mut restored {
                prop_assert_eq!(&applied, &restored.apply(index, next, INCARNATION));
                prop_assert_eq!(service.state.size(), restored.size());
                prop_assert_eq!(service.state.encode(), restored.encode());
            }
        }
    }

    // `other` applies the same batches as a process that has not accepted their calls.
    #[test]
    fn queries_do_not_change_the_state(batches in batches()) {
        let mut accepting = Service::new();
        let mut other = CoordinationState::default();
        for (index, drawn) in (1..).zip(&batches) {
            advance(&mut accepting, drawn);
            let next = batch(accepting.clock_ms, drawn.calls.clone());
            accepting.state.apply(index, next.clone(), INCARNATION);
            other.apply(index, next, INCARNATION + 1);
            prop_assert_eq!(accepting.state.encode(), other.encode());
        }
    }

    #[test]
    fn tokens_numbers_revisions_and_the_clock_increase(batches in batches()) {
        let mut service = Service::new();
        let mut last_values: BTreeMap<String, u64> = BTreeMap::new();
        let mut clock_ms = 0;
        for batch in batches {
            advance(&mut service, &batch);
            let revisions = GROUPS.map(|group| service.state.group_revision(group));
            let applied = service.apply(batch.calls.clone());
            for (call, executed) in batch.calls.iter().zip(&applied.outcomes) {
                if let Some((name, value)) = incremented_counter(call, &executed.outcome) {
                    let former = last_values.insert(name, value);
                    prop_assert!(former.is_none_or(|former| former < value));
                }
            }
            for (group, former_revision) in GROUPS.iter().zip(revisions) {
                let is_changed = applied.changed_groups.iter().any(|changed| changed == group);
                let revision = service.state.group_revision(group);
                prop_assert_eq!(revision > former_revision, is_changed);
                prop_assert!(revision >= former_revision);
            }
            prop_assert!(service.state.clock_ms() >= clock_ms);
            clock_ms = service.state.clock_ms();
            service.restore_from_snapshot();
        }
    }
}
