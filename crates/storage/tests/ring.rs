//! The ring of files under losses of power, damaged bytes and many records.

use rstest::rstest;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;
use woadstall_consensus::{DurableState, Entry, EntryPayload, Record, Snapshot};
use woadstall_storage::{Storage, StorageError};

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

fn fresh(folder: &Path) -> Storage {
    let mut storage = Storage::open(folder).unwrap();
    assert!(storage.state().is_none());
    storage
        .initialize(DurableState::new(7, Snapshot::default()))
        .unwrap();
    storage
}

fn last_index(folder: &Path) -> u64 {
    Storage::open(folder)
        .unwrap()
        .state()
        .unwrap()
        .log
        .last_index()
}

/// Changes bytes of the newest segment, from its end backwards to the last byte that was written.
fn damage(folder: &Path, back: u64, bytes: &[u8]) {
    let path = newest_segment(folder);
    let mut file = File::options().read(true).write(true).open(path).unwrap();
    let mut content = Vec::new();
    file.read_to_end(&mut content).unwrap();
    let end = content.iter().rposition(|byte| *byte != 0).unwrap() as u64 + 1;
    file.seek(SeekFrom::Start(end - back)).unwrap();
    file.write_all(bytes).unwrap();
}

fn newest_segment(folder: &Path) -> std::path::PathBuf {
    const SEQUENCE: std::ops::Range<usize> = 12..20;
    let sequence = |path: &std::path::PathBuf| {
        let content = std::fs::read(path).unwrap();
        u64::from_le_bytes(content[SEQUENCE].try_into().unwrap())
    };
    let files = (0..3).map(|number| folder.join(format!("segment-{number}")));
    files.max_by_key(sequence).unwrap()
}

#[test]
fn what_was_written_is_there_again() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = fresh(folder.path());
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
    let storage = Storage::open(folder.path()).unwrap();
    let state = storage.state().unwrap();
    assert_eq!(
        (state.id, state.term, state.voted_for, state.commit_index),
        (7, 3, 9, 2)
    );
    assert_eq!(state.log.last_index(), 3);
}

#[test]
fn an_entry_replaces_those_from_its_position_on() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = fresh(folder.path());
    storage.write(&[append(1), append(2), append(3)]).unwrap();
    storage
        .write(&[Record::Append(vec![Entry {
            term: 2,
            ..entry(2, 1)
        }])])
        .unwrap();
    drop(storage);
    let storage = Storage::open(folder.path()).unwrap();
    let log = &storage.state().unwrap().log;
    assert_eq!((log.last_index(), log.last_term()), (2, 2));
}

#[rstest]
#[case::torn(1, &[0])]
#[case::changed(4, &[0xff])]
#[case::head_gone(40, &[0; 20])]
fn a_record_that_does_not_check_ends_the_log_before_it(#[case] back: u64, #[case] bytes: &[u8]) {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = fresh(folder.path());
    storage.write(&[append(1)]).unwrap();
    storage.write(&[append(2)]).unwrap();
    drop(storage);
    damage(folder.path(), back, bytes);
    assert_eq!(last_index(folder.path()), 1);
}

#[test]
fn a_checkpoint_that_was_not_finished_leaves_the_former_segment_in_force() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = fresh(folder.path());
    storage.write(&[append(1)]).unwrap();
    drop(storage);
    // The first write after a start begins a segment.
    let mut storage = Storage::open(folder.path()).unwrap();
    storage.write(&[append(2)]).unwrap();
    drop(storage);
    let path = newest_segment(folder.path());
    let mut file = File::options().write(true).open(path).unwrap();
    const WITHIN_THE_CHECKPOINT: u64 = 40;
    file.seek(SeekFrom::Start(WITHIN_THE_CHECKPOINT)).unwrap();
    file.write_all(&[0xaa; 16]).unwrap();
    drop(file);
    assert_eq!(last_index(folder.path()), 1);
    // And it can be written again.
    let mut storage = Storage::open(folder.path()).unwrap();
    storage.write(&[append(2)]).unwrap();
    drop(storage);
    assert_eq!(last_index(folder.path()), 2);
}

#[test]
fn starts_that_write_nothing_lose_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = fresh(folder.path());
    storage.write(&[append(1)]).unwrap();
    drop(storage);
    for round in 2..12 {
        assert_eq!(last_index(folder.path()), round - 1);
        let mut storage = Storage::open(folder.path()).unwrap();
        storage.write(&[append(round)]).unwrap();
    }
}

#[test]
fn the_ring_goes_round_and_stays_within_its_files() {
    const BYTES: usize = 1 << 20;
    let folder = tempfile::tempdir().unwrap();
    let mut storage = fresh(folder.path());
    let before = folder_bytes(folder.path());
    for index in 1..=100 {
        storage
            .write(&[Record::Append(vec![entry(index, BYTES)])])
            .unwrap();
        if index % 4 == 0 {
            let snapshot = Snapshot {
                index,
                term: 1,
                state: vec![1; BYTES],
                ..Snapshot::default()
            };
            storage.write(&[Record::InstallSnapshot(snapshot)]).unwrap();
        }
    }
    drop(storage);
    assert_eq!(folder_bytes(folder.path()), before);
    assert!(before < 128 << 20);
    let storage = Storage::open(folder.path()).unwrap();
    let log = &storage.state().unwrap().log;
    assert_eq!((log.snapshot().index, log.last_index()), (100, 100));
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).unwrap();
    files
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum()
}

#[test]
fn a_state_that_does_not_fit_is_refused_by_name() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = fresh(folder.path());
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        state: vec![0; 30 << 20],
        ..Snapshot::default()
    };
    let refused = storage.write(&[Record::InstallSnapshot(snapshot)]);
    assert!(
        matches!(refused, Err(StorageError::TooLarge { .. })),
        "{refused:?}"
    );
}

#[test]
fn nothing_is_written_before_it_is_initialized() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = Storage::open(folder.path()).unwrap();
    assert!(matches!(
        storage.write(&[append(1)]),
        Err(StorageError::Uninitialized)
    ));
}

#[test]
fn a_file_of_another_version_is_told_and_not_taken_for_an_empty_one() {
    const VERSION: std::ops::Range<usize> = 8..12;
    const CHECKSUM: std::ops::Range<usize> = 20..24;
    let folder = tempfile::tempdir().unwrap();
    fresh(folder.path());
    let path = newest_segment(folder.path());
    let mut content = std::fs::read(&path).unwrap();
    content[VERSION].copy_from_slice(&1u32.to_le_bytes());
    let checksum = crc32fast::hash(&content[..CHECKSUM.start]);
    content[CHECKSUM].copy_from_slice(&checksum.to_le_bytes());
    std::fs::write(&path, &content).unwrap();
    let error = Storage::open(folder.path()).unwrap_err();
    assert!(
        matches!(error, StorageError::Version { version: 1, .. }),
        "{error}"
    );
    assert!(
        error
            .to_string()
            .contains(path.file_name().unwrap().to_str().unwrap())
    );
}

#[test]
fn the_largest_state_that_the_log_allows_is_written_and_read() {
    const ORDER: usize = 6 << 20;
    const FOLLOWING: usize = 4 << 20;
    let folder = tempfile::tempdir().unwrap();
    let mut storage = fresh(folder.path());
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        state: vec![7; ORDER + 20_000 * 16],
        ..Snapshot::default()
    };
    storage.write(&[Record::InstallSnapshot(snapshot)]).unwrap();
    storage
        .write(&[Record::Append(vec![
            entry(2, FOLLOWING),
            entry(3, FOLLOWING),
        ])])
        .unwrap();
    storage
        .write(&[Record::Append(vec![entry(4, ORDER)])])
        .unwrap();
    drop(storage);
    assert_eq!(last_index(folder.path()), 4);
}
