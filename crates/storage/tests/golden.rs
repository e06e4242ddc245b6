//! The file format of the ring. The tests compare the written files with recorded files, and read
//! the recorded files back.

use std::path::{Path, PathBuf};
use woadstall_consensus::{
    DurableState, Entry, EntryPayload, Member, Membership, Record, Snapshot,
};
use woadstall_storage::{SEGMENT_BYTES, SEGMENT_COUNT, Storage};

/// Returns the recorded bytes of a file of the ring, in hexadecimal. The rest of the file consists
/// of zeros.
fn golden(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.hex"));
    std::fs::read_to_string(path).unwrap().trim().to_owned()
}

fn segment_path(directory: &Path, number: usize) -> PathBuf {
    directory.join(format!("segment-{number}"))
}

fn assert_golden(name: &str, directory: &Path, segment: usize) {
    let content = std::fs::read(segment_path(directory, segment)).unwrap();
    assert_eq!(content.len() as u64, SEGMENT_BYTES, "{name}");
    let expected = golden(name);
    let end = content
        .iter()
        .rposition(|byte| *byte != 0)
        .map_or(0, |last| last + 1);
    let end = end.max(expected.len() / 2);
    let written: String = content[..end]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    assert_eq!(written, expected, "{name}");
}

/// Writes a recorded file of the ring to a directory.
fn restore_golden(name: &str, directory: &Path, segment: usize) {
    let text = golden(name);
    assert!(!text.is_empty(), "{name}");
    let mut content: Vec<u8> = (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect();
    content.resize(SEGMENT_BYTES as usize, 0);
    std::fs::write(segment_path(directory, segment), content).unwrap();
}

fn member(id: u64) -> Member {
    Member {
        id,
        address: format!("10.0.0.{id}:7000"),
    }
}

fn founding() -> Snapshot {
    let members = Membership::new(vec![member(1), member(2), member(3)]);
    Snapshot {
        index: 1,
        term: 1,
        membership: members,
        state: b"founding".to_vec(),
    }
}

fn installed() -> Snapshot {
    let members = Membership {
        voters: vec![member(1), member(2)],
        next_voters: vec![member(2), member(4)],
    };
    Snapshot {
        index: 3,
        term: 2,
        membership: members,
        state: b"state".to_vec(),
    }
}

fn entry(index: u64, payload: EntryPayload) -> Entry {
    Entry {
        index,
        term: 2,
        payload,
    }
}

fn entries() -> Vec<Entry> {
    vec![
        entry(2, EntryPayload::Blank),
        entry(3, EntryPayload::Membership(installed().membership)),
        entry(4, EntryPayload::Command(b"command".to_vec())),
        entry(
            5,
            EntryPayload::Membership(Membership::new(vec![member(2), member(4)])),
        ),
    ]
}

/// Writes two segments. The first segment has an empty checkpoint and every kind of record. The
/// checkpoint of the second segment has a snapshot and entries.
fn write_ring(directory: &Path) {
    let mut storage = Storage::open(directory).unwrap();
    storage
        .initialize(DurableState::new(7, founding()))
        .unwrap();
    storage
        .write(&[Record::Term {
            term: 2,
            voted_for: 9,
        }])
        .unwrap();
    storage
        .write(&[Record::Append(entries()), Record::Commit(3)])
        .unwrap();
    storage
        .write(&[Record::InstallSnapshot(installed())])
        .unwrap();
    drop(storage);
    let mut storage = Storage::open(directory).unwrap();
    storage.write(&[Record::Commit(4)]).unwrap();
    storage
        .write(&[Record::Term {
            term: 5,
            voted_for: 0,
        }])
        .unwrap();
}

#[test]
fn files_have_the_recorded_bytes() {
    let directory = tempfile::tempdir().unwrap();
    write_ring(directory.path());
    assert_golden("segment-unused", directory.path(), 0);
    assert_golden("segment-records", directory.path(), 1);
    assert_golden("segment-checkpoint", directory.path(), 2);
    assert_eq!(
        std::fs::read_dir(directory.path()).unwrap().count(),
        SEGMENT_COUNT
    );
}

#[test]
fn recorded_segments_with_every_kind_of_record_are_read_back() {
    let directory = tempfile::tempdir().unwrap();
    restore_golden("segment-records", directory.path(), 1);
    let storage = Storage::open(directory.path()).unwrap();
    let state = storage.state().unwrap();
    assert_eq!(
        (state.id, state.term, state.voted_for, state.commit_index),
        (7, 2, 9, 3)
    );
    assert_eq!(*state.log.snapshot(), installed());
    assert_eq!(state.log.entries(), &entries()[2..]);
}

#[test]
fn recorded_checkpoints_are_read_back() {
    let directory = tempfile::tempdir().unwrap();
    restore_golden("segment-records", directory.path(), 1);
    restore_golden("segment-checkpoint", directory.path(), 2);
    let storage = Storage::open(directory.path()).unwrap();
    let state = storage.state().unwrap();
    assert_eq!(
        (state.id, state.term, state.voted_for, state.commit_index),
        (7, 5, 0, 4)
    );
    assert_eq!(*state.log.snapshot(), installed());
    assert_eq!(state.log.entries(), &entries()[2..]);
}
