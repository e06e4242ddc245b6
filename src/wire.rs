//! The simulator's binary protocol: decodes events, and encodes the decision module's actions.

use woadstall_decisions::api::{
    Action, AttemptEnd, Event, Lifecycle, LoadReport, Outcome, RequestId, RequestParameters,
    ServerEntry, ServerId, Time, ZoneId,
};

/// Size of a batch header, in bytes.
pub const BATCH_HEADER: usize = 20;
/// Size of a reply header, in bytes.
pub const REPLY_HEADER: usize = 12;
const EVENT_SIZE: usize = 48;
const ACTION_SIZE: usize = 24;
const ENTRY_SIZE: usize = 22;
/// Number of server tables that can be stored at a time.
pub const TABLES: usize = 16;

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
    pub fn decode(bytes: &[u8; BATCH_HEADER]) -> Result<Self, WireError> {
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
    PowerOn {
        /// Number of the instance.
        instance: u32,
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings of the instance, as JSON text.
        settings: &'a [u8],
    },
    /// Removes the instance with this number.
    Retire(u32),
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

fn array_at<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[at..at + N]);
    out
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(array_at(bytes, at))
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(array_at(bytes, at))
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(array_at(bytes, at))
}

fn f32_at(bytes: &[u8], at: usize) -> f32 {
    f32::from_le_bytes(array_at(bytes, at))
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

fn tail_part<'a>(
    record: &[u8],
    at: usize,
    unit: usize,
    tail: &'a [u8],
) -> Result<&'a [u8], WireError> {
    let offset = u32_at(record, at) as usize;
    let length = u32_at(record, at + 4) as usize * unit;
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
            return Ok(Record::PowerOn {
                instance,
                seed,
                settings,
            });
        }
        1 => return announcement(record, instance),
        2 => Event::Request(id, request_parameters(record)),
        3 => Event::ResponseStarted(id, record[9] as u32),
        4 => Event::AttemptEnded(id, attempt_end(record)?),
        5 => Event::ClientDisconnected(id),
        6 => Event::Timer(u64_at(record, 5)),
        7 => {
            let server = ServerId(u32_at(record, 5));
            Event::ProbeEnded(server, outcome(record[9])?, load_report(record, 18)?)
        }
        8 => return Ok(Record::Ignored),
        9 => return Ok(Record::Retire(instance)),
        10 => return table(record, tail),
        code => return Err(WireError::UnknownEvent(code)),
    };
    Ok(Record::Event(instance, event))
}

fn announcement(record: &[u8], instance: u32) -> Result<Record<'static>, WireError> {
    match record[13] {
        form @ 0..=2 => {
            let table = table_number(u32_at(record, 9))?;
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

fn request_parameters(record: &[u8]) -> RequestParameters {
    RequestParameters {
        class: u16_at(record, 21) as usize,
        tenant: u32_at(record, 17) as usize,
        time_left: u64_at(record, 23),
        work: (record[39] & 1 != 0).then(|| u64_at(record, 31)),
        max_attempts: u32::MAX,
    }
}

fn attempt_end(record: &[u8]) -> Result<AttemptEnd, WireError> {
    Ok(AttemptEnd {
        attempt: record[18] as u32,
        outcome: outcome(record[23])?,
        elapsed: u64_at(record, 9),
        closed: record[17] != 0,
        load: load_report(record, 24)?,
    })
}

fn table(record: &[u8], tail: &[u8]) -> Result<Record<'static>, WireError> {
    let entries = tail_part(record, 5, ENTRY_SIZE, tail)?;
    let entries = entries
        .chunks_exact(ENTRY_SIZE)
        .map(entry)
        .collect::<Result<_, _>>()?;
    Ok(Record::Table(table_number(u32_at(record, 1))?, entries))
}

fn table_number(number: u32) -> Result<usize, WireError> {
    let table = number as usize;
    if table < TABLES {
        Ok(table)
    } else {
        Err(WireError::TableNumber(number))
    }
}

fn outcome(code: u8) -> Result<Outcome, WireError> {
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

fn load_report(record: &[u8], at: usize) -> Result<Option<LoadReport>, WireError> {
    let len = record[at] as usize;
    if len > 4 {
        return Err(WireError::LoadReportLength(len));
    }
    let mut report = LoadReport {
        len,
        ..LoadReport::default()
    };
    for (i, figure) in report.figures.iter_mut().enumerate().take(len) {
        *figure = f32_at(record, at + 1 + 4 * i);
    }
    Ok((len > 0).then_some(report))
}

fn entry(bytes: &[u8]) -> Result<ServerEntry, WireError> {
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
    pub fn push(&mut self, instance: u32, action: &Action) {
        match action {
            Action::SetTimer { after, token } => self.record(0, instance, &[after, token]),
            Action::Reject { id, retry_after } => self.record(1, instance, &[&id.0, retry_after]),
            Action::Send {
                id, server, until, ..
            } => self.record(3, instance, &[&id.0, &server.0, until]),
            Action::Log(text) => self.text(4, instance, text),
            Action::Fail(id) => self.record(6, instance, &[&id.0]),
            Action::Probe(server) => self.record(10, instance, &[&server.0]),
            Action::CloseIdleConnections(server) => self.record(2, instance, &[&server.0]),
            Action::Subscribe => self.record(8, instance, &[&1u8]),
            Action::Cancel { id, attempt } => {
                self.record(
                    11,
                    instance,
                    &[&id.0, &u8::try_from(*attempt).unwrap_or(u8::MAX)],
                );
            }
        }
    }

    /// Appends a fault record: the instance cannot continue, for the reason in `text`.
    pub fn fault(&mut self, instance: u32, text: &str) {
        self.text(9, instance, text);
    }

    fn text(&mut self, code: u8, instance: u32, text: &str) {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.record(code, instance, &[&offset, &(text.len() as u32)]);
    }

    fn record(&mut self, code: u8, instance: u32, fields: &[&dyn Field]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            field.write(&mut self.records);
        }
        self.records.resize(start + ACTION_SIZE, 0);
    }

    /// Appends the complete frame to `out` and clears the reply.
    pub fn finish(&mut self, sequence: u32, out: &mut Vec<u8>) {
        let length = self.records.len() + self.tail.len();
        let count = self.records.len() / ACTION_SIZE;
        out.reserve(REPLY_HEADER + length);
        for value in [length as u32, count as u32, sequence] {
            out.extend_from_slice(&value.to_le_bytes());
        }
        out.append(&mut self.records);
        out.append(&mut self.tail);
    }
}

trait Field {
    fn write(&self, out: &mut Vec<u8>);
}

macro_rules! fields {
    ($($t:ty),*) => {$(
        impl Field for $t {
            fn write(&self, out: &mut Vec<u8>) {
                out.extend_from_slice(&self.to_le_bytes());
            }
        }
    )*};
}
fields!(u8, u32, u64);
