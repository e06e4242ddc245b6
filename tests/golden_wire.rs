//! Golden tests of the simulator's wire protocol, byte for byte: each record of a batch, each error and each
//! action of a reply.

use woadstall::wire::{BATCH_HEADER_SIZE, BatchHeader, Record, Reply, WireError, records};
use woadstall_decisions::api::{
    Action, AttemptEnd, Event, Lifecycle, LoadReport, Outcome, RequestId, RequestParameters,
    ServerEntry, ServerId, ZoneId,
};

/// Asserts that `text` equals the golden file `name`.
fn assert_golden(name: &str, text: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    let expected = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    assert_eq!(text, expected, "{name}");
}

/// Builds a record of 48 bytes: the parts, followed by zeros.
fn record(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = parts.concat();
    bytes.resize(48, 0);
    bytes
}

/// Decodes a batch of one record and a tail.
fn decoded(record: &[u8], tail: &[u8]) -> Result<Record<'static>, WireError> {
    let header = BatchHeader {
        now: 1,
        length: record.len() + tail.len(),
        records: 1,
        sequence: 2,
    };
    let body = [record, tail].concat().leak();
    records(header, body).next().unwrap()
}

fn u32s(values: &[u32]) -> Vec<u8> {
    values
        .iter()
        .flat_map(|value| value.to_le_bytes())
        .collect()
}

#[test]
fn the_header_of_a_batch() {
    let mut bytes = [0; BATCH_HEADER_SIZE];
    bytes[..8].copy_from_slice(&7_000_000_000_u64.to_le_bytes());
    bytes[8..].copy_from_slice(&u32s(&[100, 2, 9]));
    let expected = BatchHeader {
        now: 7_000_000_000,
        length: 100,
        records: 2,
        sequence: 9,
    };
    assert_eq!(BatchHeader::decode(&bytes).unwrap(), expected);
    bytes[12] = 3;
    let error = BatchHeader::decode(&bytes).unwrap_err().to_string();
    assert_eq!(error, "batch 9: 3 records do not fit 100 bytes");
}

#[test]
fn every_record_is_read() {
    let cases = [
        (
            record(&[&[0], &u32s(&[5]), &9_u64.to_le_bytes(), &u32s(&[1, 2])]),
            b"abcd".to_vec(),
        ),
        (record(&[&[1], &u32s(&[5, 0, 3]), &[0]]), Vec::new()),
        (record(&[&[1], &u32s(&[5, 0, 3]), &[1]]), Vec::new()),
        (record(&[&[1], &u32s(&[5, 0, 3]), &[2]]), Vec::new()),
        (record(&[&[1], &u32s(&[5, 0, 3]), &[3]]), Vec::new()),
        (record(&[&[5], &u32s(&[5, 6])]), Vec::new()),
        (
            record(&[&[6], &u32s(&[5]), &77_u64.to_le_bytes()]),
            Vec::new(),
        ),
        (record(&[&[8], &u32s(&[5])]), Vec::new()),
        (record(&[&[9], &u32s(&[5])]), Vec::new()),
        (record(&[&[3], &u32s(&[5, 6]), &[4]]), Vec::new()),
    ];
    let expected = [
        Record::StartInstance {
            instance: 5,
            seed: 9,
            settings: b"bc",
        },
        Record::Announce {
            instance: 5,
            table: 3,
            delta: true,
        },
        Record::Announce {
            instance: 5,
            table: 3,
            delta: false,
        },
        Record::Announce {
            instance: 5,
            table: 3,
            delta: false,
        },
        Record::Event(5, Event::SubscriptionFailed),
        Record::Event(5, Event::ClientDisconnected(RequestId(6))),
        Record::Event(5, Event::Timer(77)),
        Record::Ignored,
        Record::RemoveInstance(5),
        Record::Event(5, Event::ResponseStarted(RequestId(6), 4)),
    ];
    for ((record, tail), expected) in cases.iter().zip(expected) {
        assert_eq!(decoded(record, tail).unwrap(), expected);
    }
}

#[test]
fn a_request_and_its_work() {
    let request = |flags: u8| {
        let parameters = [
            &u32s(&[2])[..],
            &3_u16.to_le_bytes(),
            &11_u64.to_le_bytes(),
            &13_u64.to_le_bytes(),
        ];
        record(&[
            &[2],
            &u32s(&[5, 6]),
            &[0; 8],
            &parameters.concat(),
            &[flags],
        ])
    };
    let expected = |work| {
        let parameters = RequestParameters {
            class: 3,
            tenant: 2,
            time_left: 11,
            work,
            max_attempts: u32::MAX,
        };
        Record::Event(5, Event::Request(RequestId(6), parameters))
    };
    assert_eq!(decoded(&request(1), &[]).unwrap(), expected(Some(13)));
    assert_eq!(decoded(&request(0), &[]).unwrap(), expected(None));
}

#[test]
fn ends_with_every_outcome_and_load_report() {
    let outcomes = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Full,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::Moot,
    ];
    for (code, outcome) in outcomes.into_iter().enumerate() {
        let code = code as u8;
        let ended = record(&[
            &[4],
            &u32s(&[5, 6]),
            &21_u64.to_le_bytes(),
            &[1, 3],
            &[0; 4],
            &[code, 0],
        ]);
        let end = AttemptEnd {
            attempt: 3,
            outcome,
            elapsed: 21,
            closed: true,
            load: None,
        };
        assert_eq!(
            decoded(&ended, &[]).unwrap(),
            Record::Event(5, Event::AttemptEnded(RequestId(6), end))
        );
        let figures: Vec<u8> = [1.5_f32, 2.5]
            .iter()
            .flat_map(|figure| figure.to_le_bytes())
            .collect();
        let probed = record(&[&[7], &u32s(&[5, 6]), &[code], &[0; 8], &[2], &figures]);
        let mut load = LoadReport {
            len: 2,
            ..LoadReport::default()
        };
        load.figures[..2].copy_from_slice(&[1.5, 2.5]);
        let event = Event::ProbeEnded(ServerId(6), outcome, Some(load));
        assert_eq!(decoded(&probed, &[]).unwrap(), Record::Event(5, event));
    }
}

#[test]
fn a_list_with_every_lifecycle() {
    let entry = |server: u32, lifecycle: u8, started: u64| {
        let size = 2.5_f32.to_le_bytes();
        let parts = [
            &u32s(&[server])[..],
            &[1, 0, 0],
            &4_u16.to_le_bytes(),
            &[lifecycle],
            &size,
        ];
        [&parts.concat()[..], &started.to_le_bytes()].concat()
    };
    let tail = [entry(1, 0, 0), entry(2, 1, 8), entry(3, 2, 9)].concat();
    let expected = |server, lifecycle, started| ServerEntry {
        server: ServerId(server),
        zone: ZoneId(1),
        cell: 4,
        lifecycle,
        size: 2.5,
        started,
    };
    let entries = vec![
        expected(1, Lifecycle::Removed, None),
        expected(2, Lifecycle::Ready, Some(8)),
        expected(3, Lifecycle::Draining, Some(9)),
    ];
    let table = record(&[&[10], &u32s(&[15, 0, 3])]);
    assert_eq!(decoded(&table, &tail).unwrap(), Record::Table(15, entries));
}

#[test]
fn every_error() {
    let cases = [
        record(&[&[0], &u32s(&[5]), &9_u64.to_le_bytes(), &u32s(&[1, 2])]),
        record(&[&[1], &u32s(&[5, 0, 16]), &[0]]),
        record(&[&[1], &u32s(&[5, 0, 3]), &[4]]),
        record(&[&[4], &u32s(&[5, 6]), &[0; 8], &[1, 3], &[0; 4], &[8, 0]]),
        record(&[&[4], &u32s(&[5, 6]), &[0; 8], &[1, 3], &[0; 4], &[0, 5]]),
        record(&[&[10], &u32s(&[16, 0, 0])]),
        record(&[&[11]]),
    ];
    let mut errors: Vec<String> = cases
        .iter()
        .map(|case| decoded(case, &[]).unwrap_err().to_string())
        .collect();
    let mut entry = [0; 22];
    entry[9] = 3;
    errors.push(
        decoded(&record(&[&[10], &u32s(&[0, 0, 1])]), &entry)
            .unwrap_err()
            .to_string(),
    );
    assert_golden("wire-errors.txt", &(errors.join("\n") + "\n"));
}

#[test]
fn every_action_is_written() {
    let (id, server) = (RequestId(0x0102_0304), ServerId(0x0506_0708));
    let actions = [
        Action::SetTimer { after: 1, token: 2 },
        Action::Reject { id, retry_after: 3 },
        Action::Send {
            id,
            server,
            until: 4,
            begin_by: 5,
        },
        Action::Log("a line".to_owned()),
        Action::Fail(id),
        Action::Probe(server),
        Action::CloseIdleConnections(server),
        Action::Subscribe,
        Action::Cancel { id, attempt: 6 },
        Action::Cancel { id, attempt: 256 },
        Action::Log("an é".to_owned()),
    ];
    let mut reply = Reply::default();
    actions
        .iter()
        .for_each(|action| reply.push_action(9, action));
    reply.push_fault(10, "a fault");
    let mut frame = Vec::new();
    reply.finish(0x0a0b_0c0d, &mut frame);
    let (header, rest) = frame.split_at(12);
    let (records, tail) = rest.split_at(24 * (actions.len() + 1));
    let hex = |bytes: &[u8]| {
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
            + "\n"
    };
    let lines: String = records.chunks(24).map(hex).collect();
    assert_golden("wire-reply.txt", &(hex(header) + &lines + &hex(tail)));
}
