//! Storage of registrations: alternating files, files truncated by a crash, and the age of
//! registrations after a restart.

use super::{RegistrationStore, path};
use std::time::Duration;
use woadstall_control::registry::{Registration, UpstreamStatus};

const WRITE_TIME: Duration = Duration::from_secs(1_000_000);

fn registration(id: &str, status: UpstreamStatus) -> Registration {
    Registration {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.1.0.1:80".to_owned(),
        zone: "z".to_owned(),
        capacity: 4,
        sequence: 1,
        status,
        slow_start_remaining_ms: 0,
        termination_remaining_ms: 0,
        age_ms: 0,
    }
}

fn statuses(folder: &std::path::Path, elapsed: Duration) -> Vec<UpstreamStatus> {
    let (_, registrations) = RegistrationStore::open(folder, WRITE_TIME + elapsed);
    registrations
        .iter()
        .map(|registration| registration.status)
        .collect()
}

#[test]
fn the_newest_write_is_read() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, registrations) = RegistrationStore::open(folder.path(), WRITE_TIME);
    assert!(registrations.is_empty());
    for status in [
        UpstreamStatus::Ready,
        UpstreamStatus::Draining,
        UpstreamStatus::Deregistered,
    ] {
        store
            .save(&[registration("i-1", status)], WRITE_TIME)
            .unwrap();
        assert_eq!(statuses(folder.path(), Duration::ZERO), [status]);
    }
}

#[test]
fn a_truncated_file_is_ignored_and_overwritten_next() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = RegistrationStore::open(folder.path(), WRITE_TIME);
    store
        .save(&[registration("i-1", UpstreamStatus::Draining)], WRITE_TIME)
        .unwrap();
    store
        .save(
            &[registration("i-1", UpstreamStatus::Deregistered)],
            WRITE_TIME,
        )
        .unwrap();
    let newest = path(folder.path(), store.number % super::FILE_COUNT);
    let complete = std::fs::read(&newest).unwrap();
    for length in 0..complete.len() {
        std::fs::write(&newest, &complete[..length]).unwrap();
        assert_eq!(
            statuses(folder.path(), Duration::ZERO),
            [UpstreamStatus::Draining],
            "truncated to {length} bytes"
        );
    }
    let (mut store, _) = RegistrationStore::open(folder.path(), WRITE_TIME);
    store
        .save(
            &[registration("i-1", UpstreamStatus::Deregistered)],
            WRITE_TIME,
        )
        .unwrap();
    assert_eq!(
        statuses(folder.path(), Duration::ZERO),
        [UpstreamStatus::Deregistered]
    );
}

#[test]
fn registrations_age_while_the_machine_is_down() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = RegistrationStore::open(folder.path(), WRITE_TIME);
    let saved = Registration {
        age_ms: 500,
        ..registration("i-1", UpstreamStatus::Ready)
    };
    store.save(&[saved], WRITE_TIME).unwrap();
    let ages = |wall_clock: Duration| -> Vec<u64> {
        let (_, registrations) = RegistrationStore::open(folder.path(), wall_clock);
        registrations
            .iter()
            .map(|registration| registration.age_ms)
            .collect()
    };
    assert_eq!(ages(WRITE_TIME + Duration::from_secs(90)), [90_500]);
    assert_eq!(
        ages(WRITE_TIME - Duration::from_secs(90)),
        [500],
        "the wall clock was set back"
    );
}
