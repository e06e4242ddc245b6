//! The simulator's binary protocol: decodes events, and encodes the decision module's actions.

use woadstall_decisions::api::{
    Action, AttemptEnd, Event, Lifecycle, LoadReport, Outcome, RequestId, RequestParameters,
    ServerEntry, ServerId, Time, ZoneId,
};

/// Size of a batch header, in bytes.
pub const BATCH_HEADER_SIZE: usize = 20;
/// Size of a reply header, in bytes.
pub const REPLY_HEADER_SIZE: usize = 12;
const EVENT_SIZE: usize = 48;
const ACTION_SIZE: usize = 24;
const ENTRY_SIZE: usize = 22;
/// Number of server tables that can be stored at a time.
pub const TABLE_COUNT: usize = 16;

/// The error of an invalid frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The records of a batch exceed its length.
    #[error("batch {sequence}: {records} records do not fit {length} bytes")]
    RecordsBeyondLength {
        /// Sequence number of the batch.
        sequence: u32,
        /// Number of records in the batch.
        records: usize,
        /// Length of the batch after the header, in bytes.
        length: usize,
    },
    /// A record refers to bytes outside the tail of the batch.
    #[error("offset {offset} and length {length} lie outside a tail of {tail}")]
    OutsideTail {
        /// Offset of the first byte in the tail.
        offset: usize,
        /// Number of bytes.
        length: usize,
        /// Length of the tail, in bytes.
        tail: usize,
    },
    /// An ANNOUNCE record has an unknown form.
    #[error("unknown form {0} of ANNOUNCE")]
    UnknownAnnounceForm(u8),
    /// A record has an unknown event code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// A table number is out of range.
    #[error("list number {0} is over 15")]
    TableNumber(u32),
    /// An attempt has an unknown outcome code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// A load report has more than 4 values.
    #[error("load report of {0} values")]
    LoadReportLength(usize),
    /// A server has an unknown lifecycle code.
    #[error("unknown lifecycle {0}")]
    UnknownLifecycle(u8),
}

/// The header of a batch of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// Time of the batch on the simulator's clock.
    pub now: Time,
    /// Length of the batch after the header, in bytes.
    pub length: usize,
    /// Number of records in the batch.
    pub records: usize,
    /// Sequence number of the batch.
    pub sequence: u32,
}

impl BatchHeader {
    /// Decodes a header and checks that the records fit the length of the batch.
    ///
    /// # Errors
    ///
    /// Fails if the records exceed the length.
    pub fn decode(bytes: &[u8; BATCH_HEADER_SIZE]) -> Result<Self, WireError> {
        let header = Self {
            now: u64_at(bytes, 0),
            length: u32_at(bytes, 8) as usize,
            records: u32_at(bytes, 12) as usize,
            sequence: u32_at(bytes, 16),
        };
        if header.records * EVENT_SIZE > header.length {
            return Err(WireError::RecordsBeyondLength {
                sequence: header.sequence,
                records: header.records,
                length: header.length,
            });
        }
        Ok(header)
    }
}

/// A decoded event record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// Starts an instance of the decision module.
    StartInstance {
        /// Number of the instance.
        instance: u32,
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings of the instance, as JSON text.
        settings: &'a [u8],
    },
    /// Removes the instance with this number.
    RemoveInstance(u32),
    /// Stores a list of servers under a table number.
    Table(usize, Vec<ServerEntry>),
    /// Announces a stored list of servers to an instance, on behalf of discovery.
    Announce {
        /// Number of the instance.
        instance: u32,
        /// Number of the table.
        table: usize,
        /// Whether the list contains only changed entries.
        delta: bool,
    },
    /// Passes an event to the instance with this number.
    Event(u32, Event<'static>),
    /// A record that the decision module does not act on.
    Ignored,
}

fn array_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[offset..offset + N]);
    array
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes(array_at(bytes, offset))
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(array_at(bytes, offset))
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(array_at(bytes, offset))
}

fn f32_at(bytes: &[u8], offset: usize) -> f32 {
    f32::from_le_bytes(array_at(bytes, offset))
}

/// Decodes the records of a batch, in order. `body` contains the bytes after the header.
pub fn records(
    header: BatchHeader,
    body: &[u8],
) -> impl Iterator<Item = Result<Record<'_>, WireError>> {
    let (records, tail) = body.split_at(header.records * EVENT_SIZE);
    records
        .chunks_exact(EVENT_SIZE)
        .map(move |record| decode_record(record, tail))
}

/// Returns the part of the tail that a record refers to. The record has the offset of the part at `reference`, followed
/// by the number of elements, which have `element_size` bytes each.
fn tail_part<'a>(
    record: &[u8],
    reference: usize,
    element_size: usize,
    tail: &'a [u8],
) -> Result<&'a [u8], WireError> {
    let offset = u32_at(record, reference) as usize;
    let length = u32_at(record, reference + 4) as usize * element_size;
    tail.get(offset..offset + length)
        .ok_or(WireError::OutsideTail {
            offset,
            length,
            tail: tail.len(),
        })
}

fn decode_record<'a>(record: &[u8], tail: &'a [u8]) -> Result<Record<'a>, WireError> {
    let instance = u32_at(record, 1);
    let id = RequestId(u32_at(record, 5));
    let event = match record[0] {
        0 => {
            let settings = tail_part(record, 13, 1, tail)?;
            let seed = u64_at(record, 5);
            return Ok(Record::StartInstance {
                instance,
                seed,
                settings,
            });
        }
        1 => return decode_announcement(record, instance),
        2 => Event::Request(id, decode_request_parameters(record)),
        3 => Event::ResponseStarted(id, record[9] as u32),
        4 => Event::AttemptEnded(id, decode_attempt_end(record)?),
        5 => Event::ClientDisconnected(id),
        6 => Event::Timer(u64_at(record, 5)),
        7 => {
            let server = ServerId(u32_at(record, 5));
            Event::ProbeEnded(
                server,
                decode_outcome(record[9])?,
                decode_load_report(record, 18)?,
            )
        }
        8 => return Ok(Record::Ignored),
        9 => return Ok(Record::RemoveInstance(instance)),
        10 => return decode_table(record, tail),
        code => return Err(WireError::UnknownEvent(code)),
    };
    Ok(Record::Event(instance, event))
}

fn decode_announcement(record: &[u8], instance: u32) -> Result<Record<'static>, WireError> {
    match record[13] {
        form @ 0..=2 => {
            let table = check_table_number(u32_at(record, 9))?;
            Ok(Record::Announce {
                instance,
                table,
                delta: form == 0,
            })
        }
        3 => Ok(Record::Event(instance, Event::SubscriptionFailed)),
        form => Err(WireError::UnknownAnnounceForm(form)),
    }
}

fn decode_request_parameters(record: &[u8]) -> RequestParameters {
    RequestParameters {
        class: u16_at(record, 21) as usize,
        tenant: u32_at(record, 17) as usize,
        time_left: u64_at(record, 23),
        work: (record[39] & 1 != 0).then(|| u64_at(record, 31)),
        max_attempts: u32::MAX,
    }
}

fn decode_attempt_end(record: &[u8]) -> Result<AttemptEnd, WireError> {
    Ok(AttemptEnd {
        attempt: record[18] as u32,
        outcome: decode_outcome(record[23])?,
        elapsed: u64_at(record, 9),
        closed: record[17] != 0,
        load: decode_load_report(record, 24)?,
    })
}

fn decode_table(record: &[u8], tail: &[u8]) -> Result<Record<'static>, WireError> {
    let entries = tail_part(record, 5, ENTRY_SIZE, tail)?;
    let entries = entries
        .chunks_exact(ENTRY_SIZE)
        .map(decode_entry)
        .collect::<Result<_, _>>()?;
    Ok(Record::Table(
        check_table_number(u32_at(record, 1))?,
        entries,
    ))
}

/// Returns the number of a table as an index, if it is in range.
fn check_table_number(number: u32) -> Result<usize, WireError> {
    let table = number as usize;
    if table < TABLE_COUNT {
        Ok(table)
    } else {
        Err(WireError::TableNumber(number))
    }
}

fn decode_outcome(code: u8) -> Result<Outcome, WireError> {
    Ok(match code {
        0 => Outcome::Ok,
        1 => Outcome::Error,
        2 => Outcome::Full,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::Moot,
        _ => return Err(WireError::UnknownOutcome(code)),
    })
}

/// Decodes the load report at `offset`: the number of values, followed by the values. `None` if there are no values.
fn decode_load_report(record: &[u8], offset: usize) -> Result<Option<LoadReport>, WireError> {
    let len = record[offset] as usize;
    if len > 4 {
        return Err(WireError::LoadReportLength(len));
    }
    let mut report = LoadReport {
        len,
        ..LoadReport::default()
    };
    for (i, figure) in report.figures.iter_mut().enumerate().take(len) {
        *figure = f32_at(record, offset + 1 + 4 * i);
    }
    Ok((len > 0).then_some(report))
}

fn decode_entry(bytes: &[u8]) -> Result<ServerEntry, WireError> {
    let lifecycle = match bytes[9] {
        0 => Lifecycle::Removed,
        1 => Lifecycle::Ready,
        2 => Lifecycle::Draining,
        code => return Err(WireError::UnknownLifecycle(code)),
    };
    let started = u64_at(bytes, 14);
    Ok(ServerEntry {
        server: ServerId(u32_at(bytes, 0)),
        zone: ZoneId(bytes[4]),
        cell: u16_at(bytes, 7),
        lifecycle,
        size: f32_at(bytes, 10),
        started: (started != 0).then_some(started),
    })
}

/// A reply under construction.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push_action(&mut self, instance: u32, action: &Action) {
        match action {
            Action::SetTimer { after, token } => self.push_record(0, instance, &[after, token]),
            Action::Reject { id, retry_after } => {
                self.push_record(1, instance, &[&id.0, retry_after])
            }
            Action::Send {
                id, server, until, ..
            } => self.push_record(3, instance, &[&id.0, &server.0, until]),
            Action::Log(text) => self.push_text(4, instance, text),
            Action::Fail(id) => self.push_record(6, instance, &[&id.0]),
            Action::Probe(server) => self.push_record(10, instance, &[&server.0]),
            Action::CloseIdleConnections(server) => self.push_record(2, instance, &[&server.0]),
            Action::Subscribe => self.push_record(8, instance, &[&1u8]),
            Action::Cancel { id, attempt } => {
                self.push_record(
                    11,
                    instance,
                    &[&id.0, &u8::try_from(*attempt).unwrap_or(u8::MAX)],
                );
            }
        }
    }

    /// Appends a fault record: the instance cannot continue, for the reason in `text`.
    pub fn push_fault(&mut self, instance: u32, text: &str) {
        self.push_text(9, instance, text);
    }

    fn push_text(&mut self, code: u8, instance: u32, text: &str) {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.push_record(code, instance, &[&offset, &(text.len() as u32)]);
    }

    fn push_record(&mut self, code: u8, instance: u32, fields: &[&dyn Field]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            field.write(&mut self.records);
        }
        self.records.resize(start + ACTION_SIZE, 0);
    }

    /// Appends the complete frame to `output` and clears the reply. `sequence` is the sequence number of the batch.
    pub fn finish(&mut self, sequence: u32, output: &mut Vec<u8>) {
        let length = self.records.len() + self.tail.len();
        let count = self.records.len() / ACTION_SIZE;
        output.reserve(REPLY_HEADER_SIZE + length);
        for value in [length as u32, count as u32, sequence] {
            output.extend_from_slice(&value.to_le_bytes());
        }
        output.append(&mut self.records);
        output.append(&mut self.tail);
    }
}

/// A field of an action record, written in little-endian order.
trait Field {
    fn write(&self, record: &mut Vec<u8>);
}

macro_rules! fields {
    ($($t:ty),*) => {$(
        impl Field for $t {
            fn write(&self, record: &mut Vec<u8>) {
                record.extend_from_slice(&self.to_le_bytes());
            }
        }
    )*};
}
fields!(u8, u32, u64);
