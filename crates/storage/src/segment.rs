//! One file of the ring.

use crate::medium::Medium;
use nanoserde::{DeBin, SerBin};
use std::io;
use woadstall_consensus::{DurableState, Entry, Record, ReplicaId, Snapshot};

/// Begins each segment that was ever used.
const MAGIC: u64 = 0x0102_7741_4453_544c;
/// The version of the format; another one is not read.
pub const VERSION: u32 = 2;
/// Bytes of a header: magic, version, sequence, checksum.
const HEADER_BYTES: usize = 24;
/// Bytes before each record: its length and checksum.
const PREFIX_BYTES: usize = 8;
/// Bytes read at a time.
const READ_BYTES: usize = 64 << 10;

/// What a segment holds.
#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Item {
    /// The beginning of a checkpoint.
    Begin {
        id: ReplicaId,
        term: u64,
        vote: ReplicaId,
        commit: u64,
        snapshot: Snapshot,
    },
    /// Entries of a checkpoint.
    Entries(Vec<Entry>),
    /// The end of a checkpoint.
    End,
    /// A record that was added behind it.
    Record(Record),
}

/// A segment that is being written.
#[derive(Debug)]
pub struct Segment {
    /// The file's position in the ring.
    pub file: usize,
    sequence: u64,
    offset: u64,
}

impl Segment {
    pub fn new(file: usize, sequence: u64) -> Self {
        Self {
            file,
            sequence,
            offset: 0,
        }
    }

    pub fn has_room(&self, bytes: usize, most: u64) -> bool {
        self.offset + bytes as u64 <= most
    }

    /// Encodes an item as the next one behind `bytes`, which are to be written next.
    pub fn encode(&self, item: &Item, bytes: &mut Vec<u8>) {
        let payload = item.serialize_bin();
        let offset = self.offset + bytes.len() as u64;
        let checksum = checksum(self.sequence, offset, &payload);
        bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes.extend_from_slice(&payload);
    }

    /// The header and the whole state.
    pub fn encode_checkpoint(&self, state: &DurableState) -> Vec<u8> {
        let mut bytes = header(self.sequence);
        let (id, term, vote, commit) = (state.id, state.term, state.voted_for, state.commit_index);
        let snapshot = state.log.snapshot().clone();
        self.encode(
            &Item::Begin {
                id,
                term,
                vote,
                commit,
                snapshot,
            },
            &mut bytes,
        );
        self.encode(&Item::Entries(state.log.entries().to_vec()), &mut bytes);
        self.encode(&Item::End, &mut bytes);
        bytes
    }

    /// Writes bytes behind what is there, and waits until they are durable.
    pub fn write(&mut self, medium: &mut impl Medium, bytes: &[u8]) -> io::Result<()> {
        medium.write(self.file, self.offset, bytes)?;
        medium.sync(self.file)?;
        self.offset += bytes.len() as u64;
        Ok(())
    }
}

/// What the beginning of a file says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Header {
    /// Nothing that was written whole.
    Unsound,
    /// A segment of another version of the format.
    Version(u32),
    /// A segment with this sequence number.
    Segment(u64),
}

impl Header {
    fn read(bytes: &[u8; HEADER_BYTES]) -> Self {
        let short =
            |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap_or_default());
        let long = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap_or_default());
        let is_sound = long(0) == MAGIC && short(20) == crc32fast::hash(&bytes[..20]);
        match short(8) {
            _ if !is_sound => Self::Unsound,
            VERSION => Self::Segment(long(12)),
            version => Self::Version(version),
        }
    }
}

/// Reads a segment.
pub struct Reader<'a, M> {
    medium: &'a M,
    file: usize,
    sequence: u64,
    /// The position of the next item.
    offset: u64,
    buffer: Vec<u8>,
}

impl<'a, M: Medium> Reader<'a, M> {
    /// The header of a file.
    pub fn header(medium: &M, file: usize) -> io::Result<Header> {
        let mut bytes = [0; HEADER_BYTES];
        let got = medium.read(file, 0, &mut bytes)?;
        Ok(if got < HEADER_BYTES {
            Header::Unsound
        } else {
            Header::read(&bytes)
        })
    }

    /// A reader behind the header of a segment.
    pub fn new(medium: &'a M, file: usize, sequence: u64) -> Self {
        Self {
            medium,
            file,
            sequence,
            offset: HEADER_BYTES as u64,
            buffer: Vec::new(),
        }
    }

    /// The state; `None` where the checkpoint is not complete.
    pub fn replay(mut self) -> io::Result<Option<DurableState>> {
        let Some(Item::Begin {
            id,
            term,
            vote,
            commit,
            snapshot,
        }) = self.next()?
        else {
            return Ok(None);
        };
        let Some(Item::Entries(entries)) = self.next()? else {
            return Ok(None);
        };
        let Some(Item::End) = self.next()? else {
            return Ok(None);
        };
        let mut state = DurableState::new(id, snapshot);
        state.apply_record(&Record::Term {
            term,
            voted_for: vote,
        });
        state.apply_record(&Record::Append(entries));
        state.apply_record(&Record::Commit(commit));
        while let Some(item) = self.next()? {
            let Item::Record(record) = item else { break };
            state.apply_record(&record);
        }
        Ok(Some(state))
    }

    /// The next item; `None` at the first that does not check.
    fn next(&mut self) -> io::Result<Option<Item>> {
        if !self.fill(PREFIX_BYTES)? {
            return Ok(None);
        }
        let number =
            |at: usize| u32::from_le_bytes(self.buffer[at..at + 4].try_into().unwrap_or_default());
        let (length, expected) = (number(0) as usize, number(4));
        if length == 0 || !self.fill(PREFIX_BYTES + length)? {
            return Ok(None);
        }
        let payload = &self.buffer[PREFIX_BYTES..PREFIX_BYTES + length];
        if checksum(self.sequence, self.offset, payload) != expected {
            return Ok(None);
        }
        let item = Item::deserialize_bin(payload).ok();
        self.buffer.drain(..PREFIX_BYTES + length);
        self.offset += (PREFIX_BYTES + length) as u64;
        Ok(item)
    }

    /// Reads until so many bytes are in the buffer; `false` where the file ends before.
    fn fill(&mut self, bytes: usize) -> io::Result<bool> {
        while self.buffer.len() < bytes {
            let have = self.buffer.len();
            self.buffer.resize(have + READ_BYTES, 0);
            let got = self.medium.read(
                self.file,
                self.offset + have as u64,
                &mut self.buffer[have..],
            );
            self.buffer.truncate(have + *got.as_ref().unwrap_or(&0));
            if got? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }
}

fn header(sequence: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend_from_slice(&MAGIC.to_le_bytes());
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&sequence.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

fn checksum(sequence: u64, offset: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
