//! The ring of segment files: restarts, torn and corrupt records, the limit on the size of the
//! state, and unsupported versions.

use rstest::rstest;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;
use woadstall_consensus::{DurableState, Entry, EntryPayload, Record, Snapshot};
use woadstall_storage::{OpenError, Storage, WriteError};

fn entry(index: u64, bytes: usize) -> Entry {
    Entry {
        index,
        term: 1,
        payload: EntryPayload::Command(vec![index as u8; bytes]),
    }
}

fn append(index: u64) -> Record {
    Record::Append(vec![entry(index, 10)])
}

fn initialized_storage(directory: &Path) -> Storage {
    let mut storage = Storage::open(directory).unwrap();
    assert!(storage.state().is_none());
    storage
        .initialize(DurableState::new(7, Snapshot::default()))
        .unwrap();
    storage
}

fn last_index(directory: &Path) -> u64 {
    Storage::open(directory)
        .unwrap()
        .state()
        .unwrap()
        .log
        .last_index()
}

/// Overwrites bytes of the newest segment, from `distance_from_end` bytes before the end of the
/// written bytes on.
fn corrupt_tail(directory: &Path, distance_from_end: u64, bytes: &[u8]) {
    let path = newest_segment(directory);
    let mut file = File::options().read(true).write(true).open(path).unwrap();
    let mut content = Vec::new();
    file.read_to_end(&mut content).unwrap();
    let end = content.iter().rposition(|byte| *byte != 0).unwrap() as u64 + 1;
    file.seek(SeekFrom::Start(end - distance_from_end)).unwrap();
    file.write_all(bytes).unwrap();
}

fn newest_segment(directory: &Path) -> std::path::PathBuf {
    const SEQUENCE: std::ops::Range<usize> = 12..20;
    let sequence = |path: &std::path::PathBuf| {
        let content = std::fs::read(path).unwrap();
        u64::from_le_bytes(content[SEQUENCE].try_into().unwrap())
    };
    let files = (0..3).map(|number| directory.join(format!("segment-{number}")));
    files.max_by_key(sequence).unwrap()
}

#[test]
fn the_written_state_is_read_after_a_restart() {
    let directory = tempfile::tempdir().unwrap();
    let mut storage = initialized_storage(directory.path());
    storage
        .write(&[
            Record::Term {
                term: 3,
                voted_for: 9,
            },
            append(1),
        ])
        .unwrap();
    storage
        .write(&[append(2), append(3), Record::Commit(2)])
        .unwrap();
    drop(storage);
    let storage = Storage::open(directory.path()).unwrap();
    let state = storage.state().unwrap();
    assert_eq!(
        (state.id, state.term, state.voted_for, state.commit_index),
        (7, 3, 9, 2)
    );
    assert_eq!(state.log.last_index(), 3);
}

#[test]
fn an_appended_entry_replaces_all_entries_from_its_index_on() {
    let directory = tempfile::tempdir().unwrap();
    let mut storage = initialized_storage(directory.path());
    storage.write(&[append(1), append(2), append(3)]).unwrap();
    storage
        .write(&[Record::Append(vec![Entry {
            term: 2,
            ..entry(2, 1)
        }])])
        .unwrap();
    drop(storage);
    let storage = Storage::open(directory.path()).unwrap();
    let log = &storage.state().unwrap().log;
    assert_eq!((log.last_index(), log.last_term()), (2, 2));
}

#[rstest]
#[case::torn_byte(1, &[0])]
#[case::changed_bytes(4, &[0xff])]
#[case::missing_prefix(40, &[0; 20])]
fn reading_stops_at_a_corrupt_record(#[case] distance_from_end: u64, #[case] bytes: &[u8]) {
    let directory = tempfile::tempdir().unwrap();
    let mut storage = initialized_storage(directory.path());
    storage.write(&[append(1)]).unwrap();
    storage.write(&[append(2)]).unwrap();
    drop(storage);
    corrupt_tail(directory.path(), distance_from_end, bytes);
    assert_eq!(last_index(directory.path()), 1);
}

#[test]
fn an_incomplete_checkpoint_is_ignored_in_favor_of_the_former_segment() {
    let directory = tempfile::tempdir().unwrap();
    let mut storage = initialized_storage(directory.path());
    storage.write(&[append(1)]).unwrap();
    drop(storage);
    // The first write after a start begins a new segment.
    let mut storage = Storage::open(directory.path()).unwrap();
    storage.write(&[append(2)]).unwrap();
    drop(storage);
    let path = newest_segment(directory.path());
    let mut file = File::options().write(true).open(path).unwrap();
    const OFFSET_WITHIN_CHECKPOINT: u64 = 40;
    file.seek(SeekFrom::Start(OFFSET_WITHIN_CHECKPOINT))
        .unwrap();
    file.write_all(&[0xaa; 16]).unwrap();
    drop(file);
    assert_eq!(last_index(directory.path()), 1);
    // The next write replaces the incomplete checkpoint.
    let mut storage = Storage::open(directory.path()).unwrap();
    storage.write(&[append(2)]).unwrap();
    drop(storage);
    assert_eq!(last_index(directory.path()), 2);
}

#[test]
fn restarts_without_writes_lose_no_records() {
    let directory = tempfile::tempdir().unwrap();
    let mut storage = initialized_storage(directory.path());
    storage.write(&[append(1)]).unwrap();
    drop(storage);
    for round in 2..12 {
        assert_eq!(last_index(directory.path()), round - 1);
        let mut storage = Storage::open(directory.path()).unwrap();
        storage.write(&[append(round)]).unwrap();
    }
}

#[test]
fn the_ring_stays_within_its_preallocated_files() {
    const PAYLOAD_BYTES: usize = 1 << 20;
    let directory = tempfile::tempdir().unwrap();
    let mut storage = initialized_storage(directory.path());
    let initial_bytes = directory_bytes(directory.path());
    for index in 1..=100 {
        storage
            .write(&[Record::Append(vec![entry(index, PAYLOAD_BYTES)])])
            .unwrap();
        if index % 4 == 0 {
            let snapshot = Snapshot {
                index,
                term: 1,
                state: vec![1; PAYLOAD_BYTES],
                ..Snapshot::default()
            };
            storage.write(&[Record::InstallSnapshot(snapshot)]).unwrap();
        }
    }
    drop(storage);
    assert_eq!(directory_bytes(directory.path()), initial_bytes);
    assert!(initial_bytes < 128 << 20);
    let storage = Storage::open(directory.path()).unwrap();
    let log = &storage.state().unwrap().log;
    assert_eq!((log.snapshot().index, log.last_index()), (100, 100));
}

fn directory_bytes(directory: &Path) -> u64 {
    let files = std::fs::read_dir(directory).unwrap();
    files
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum()
}

#[test]
fn a_state_that_does_not_fit_is_rejected() {
    let directory = tempfile::tempdir().unwrap();
    let mut storage = initialized_storage(directory.path());
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        state: vec![0; 30 << 20],
        ..Snapshot::default()
    };
    let rejected = storage.write(&[Record::InstallSnapshot(snapshot)]);
    assert!(
        matches!(rejected, Err(WriteError::TooLarge { .. })),
        "{rejected:?}"
    );
}

#[test]
fn writes_before_initialization_are_rejected() {
    let directory = tempfile::tempdir().unwrap();
    let mut storage = Storage::open(directory.path()).unwrap();
    assert!(matches!(
        storage.write(&[append(1)]),
        Err(WriteError::Uninitialized)
    ));
}

#[test]
fn a_file_of_another_version_is_an_error_and_not_an_empty_file() {
    const VERSION: std::ops::Range<usize> = 8..12;
    const CHECKSUM: std::ops::Range<usize> = 20..24;
    let directory = tempfile::tempdir().unwrap();
    initialized_storage(directory.path());
    let path = newest_segment(directory.path());
    let mut content = std::fs::read(&path).unwrap();
    content[VERSION].copy_from_slice(&1u32.to_le_bytes());
    let checksum = crc32fast::hash(&content[..CHECKSUM.start]);
    content[CHECKSUM].copy_from_slice(&checksum.to_le_bytes());
    std::fs::write(&path, &content).unwrap();
    let error = Storage::open(directory.path()).unwrap_err();
    assert!(
        matches!(error, OpenError::UnsupportedVersion { version: 1, .. }),
        "{error}"
    );
    assert!(
        error
            .to_string()
            .contains(path.file_name().unwrap().to_str().unwrap())
    );
}

#[test]
fn the_largest_possible_state_is_written_and_read() {
    const COMMAND_BYTES: usize = 6 << 20;
    const UNCOMMITTED_BYTES: usize = 4 << 20;
    let directory = tempfile::tempdir().unwrap();
    let mut storage = initialized_storage(directory.path());
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        state: vec![7; COMMAND_BYTES + 20_000 * 16],
        ..Snapshot::default()
    };
    storage.write(&[Record::InstallSnapshot(snapshot)]).unwrap();
    storage
        .write(&[Record::Append(vec![
            entry(2, UNCOMMITTED_BYTES),
            entry(3, UNCOMMITTED_BYTES),
        ])])
        .unwrap();
    storage
        .write(&[Record::Append(vec![entry(4, COMMAND_BYTES)])])
        .unwrap();
    drop(storage);
    assert_eq!(last_index(directory.path()), 4);
}
