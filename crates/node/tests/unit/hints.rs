//! Registrations on disk: by turns in two files, and no longer believed when they are old.

use super::{Hints, path};
use std::time::Duration;
use woadstall_control::registry::{Registration, UpstreamStatus};

const WRITTEN: Duration = Duration::from_secs(1_000_000);

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
        remaining_ms: 0,
        age_ms: 0,
    }
}

fn statuses(folder: &std::path::Path, after: Duration) -> Vec<UpstreamStatus> {
    let (_, registrations) = Hints::open(folder, WRITTEN + after);
    registrations
        .iter()
        .map(|registration| registration.status)
        .collect()
}

#[test]
fn what_was_written_last_is_read() {
    let folder = tempfile::tempdir().unwrap();
    let (mut hints, none) = Hints::open(folder.path(), WRITTEN);
    assert!(none.is_empty());
    for status in [
        UpstreamStatus::Ready,
        UpstreamStatus::Draining,
        UpstreamStatus::Deregistered,
    ] {
        hints
            .write(&[registration("i-1", status)], WRITTEN)
            .unwrap();
        assert_eq!(statuses(folder.path(), Duration::ZERO), [status]);
    }
}

#[test]
fn a_torn_file_leaves_the_one_before_it_and_is_written_next() {
    let folder = tempfile::tempdir().unwrap();
    let (mut hints, _) = Hints::open(folder.path(), WRITTEN);
    hints
        .write(&[registration("i-1", UpstreamStatus::Draining)], WRITTEN)
        .unwrap();
    hints
        .write(
            &[registration("i-1", UpstreamStatus::Deregistered)],
            WRITTEN,
        )
        .unwrap();
    let newest = path(folder.path(), hints.number % super::FILES);
    let whole = std::fs::read(&newest).unwrap();
    for length in 0..whole.len() {
        std::fs::write(&newest, &whole[..length]).unwrap();
        assert_eq!(
            statuses(folder.path(), Duration::ZERO),
            [UpstreamStatus::Draining],
            "cut to {length} bytes"
        );
    }
    let (mut hints, _) = Hints::open(folder.path(), WRITTEN);
    hints
        .write(
            &[registration("i-1", UpstreamStatus::Deregistered)],
            WRITTEN,
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
    let (mut hints, _) = Hints::open(folder.path(), WRITTEN);
    let heard = Registration {
        age_ms: 500,
        ..registration("i-1", UpstreamStatus::Ready)
    };
    hints.write(&[heard], WRITTEN).unwrap();
    let ages = |time_of_day: Duration| -> Vec<u64> {
        let (_, registrations) = Hints::open(folder.path(), time_of_day);
        registrations
            .iter()
            .map(|registration| registration.age_ms)
            .collect()
    };
    assert_eq!(ages(WRITTEN + Duration::from_secs(90)), [90_500]);
    assert_eq!(
        ages(WRITTEN - Duration::from_secs(90)),
        [500],
        "the time of day has stepped back"
    );
}
