//! Tests of the wire protocol against the documented byte examples in both directions, and of the adapter on invalid
//! input.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use woadstall::wire::{self, BATCH_HEADER_SIZE, BatchHeader, Record, Reply};
use woadstall_decisions::api::*;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

fn padded(text: &str, size: usize) -> Vec<u8> {
    let mut bytes = hex(text);
    assert!(bytes.len() <= size);
    bytes.resize(size, 0);
    bytes
}

fn batch(records: &[&str], tail: &[u8]) -> Vec<u8> {
    let mut frame = hex("90bf68f501000000");
    let length = records.len() * 48 + tail.len();
    for value in [length as u32, records.len() as u32, 12] {
        frame.extend(value.to_le_bytes());
    }
    records
        .iter()
        .for_each(|record| frame.extend(padded(record, 48)));
    frame.extend(tail);
    frame
}

fn decode(frame: &[u8]) -> Vec<Record<'_>> {
    let header = BatchHeader::decode(frame[..BATCH_HEADER_SIZE].try_into().unwrap()).unwrap();
    wire::records(header, &frame[BATCH_HEADER_SIZE..])
        .collect::<Result<_, _>>()
        .unwrap()
}

#[test]
fn documented_events_decode() {
    let records = [
        "02 03000000 c4913a5d 640ad2557c3bf091 00000000 0000 001c4e0e00000000 001bb70000000000 01",
        "06 03000000 4d00000000000000",
        "05 05000000 192b6f0e",
        "03 03000000 c4913a5d 00 074a1203 d0248d0000000000",
        "04 03000000 c4913a5d a0491a0100000000 01 00 074a1203 00 00",
        "09 03000000",
        "07 03000000 f211902c 00 c05c150000000000 00",
        "08 03000000 02000000 00000000 04000000",
    ];
    let parameters = RequestParameters {
        class: 0,
        tenant: 0,
        time_left: 240_000_000,
        work: Some(12_000_000),
        max_attempts: u32::MAX,
    };
    let end = AttemptEnd {
        attempt: 0,
        outcome: Outcome::Ok,
        elapsed: 18_500_000,
        closed: true,
        load: None,
    };
    let id = RequestId(0x5d3a_91c4);
    assert_eq!(
        decode(&batch(&records, &[])),
        [
            Record::Event(3, Event::Request(id, parameters)),
            Record::Event(3, Event::Timer(0x4d)),
            Record::Event(5, Event::ClientDisconnected(RequestId(0x0e6f_2b19))),
            Record::Event(3, Event::ResponseStarted(id, 0)),
            Record::Event(3, Event::AttemptEnded(id, end)),
            Record::RemoveInstance(3),
            Record::Event(
                3,
                Event::ProbeEnded(ServerId(0x2c90_11f2), Outcome::Ok, None)
            ),
            Record::Ignored,
        ]
    );
}

#[test]
fn documented_lists_decode() {
    let tail = hex(
        "074a1203 00 0000 0000 01 0000803f 0000000000000000 f211902c 01 0000 0000 01 0000c03f 009d966b01000000",
    );
    let frame = batch(
        &[
            "0a 00000000 00000000 02000000",
            "01 03000000 29000000 00000000 02",
        ],
        &tail,
    );
    let records = decode(&frame);
    let entry = |server, zone, size, started| ServerEntry {
        server: ServerId(server),
        zone: ZoneId(zone),
        cell: 0,
        lifecycle: Lifecycle::Ready,
        size,
        started,
    };
    let entries = vec![
        entry(0x0312_4a07, 0, 1.0, None),
        entry(0x2c90_11f2, 1, 1.5, Some(6_100_000_000)),
    ];
    assert_eq!(records[0], Record::Table(0, entries));
    assert_eq!(
        records[1],
        Record::Announce {
            instance: 3,
            table: 0,
            delta: false
        }
    );
}

#[test]
fn load_reports_decode() {
    let frame = batch(
        &["04 03000000 c4913a5d a0491a0100000000 00 01 074a1203 02 02 0000803f 00002041"],
        &[],
    );
    let Record::Event(3, Event::AttemptEnded(_, end)) = &decode(&frame)[0] else {
        panic!()
    };
    assert_eq!(
        end.load,
        Some(LoadReport {
            figures: [1.0, 10.0, 0.0, 0.0],
            len: 2
        })
    );
    assert_eq!(
        (end.attempt, end.outcome, end.closed),
        (1, Outcome::Full, false)
    );
}

#[test]
fn documented_actions_encode() {
    let mut reply = Reply::default();
    let id = RequestId(0x5d3a_91c4);
    reply.push_action(
        3,
        &Action::Send {
            id,
            server: ServerId(0x0312_4a07),
            until: 8492250000,
            begin_by: u64::MAX,
        },
    );
    reply.push_action(
        3,
        &Action::SetTimer {
            after: 500_000_000,
            token: 0x4d,
        },
    );
    reply.push_action(5, &Action::Log("two servers known".into()));
    reply.push_action(
        3,
        &Action::Reject {
            id: RequestId(0x0e6f_2b19),
            retry_after: 250_000_000,
        },
    );
    reply.push_action(3, &Action::Fail(RequestId(0x0e6f_2b19)));
    reply.push_action(3, &Action::Subscribe);
    reply.push_action(3, &Action::Cancel { id, attempt: 0 });
    reply.push_action(3, &Action::Probe(ServerId(0x2c90_11f2)));
    reply.push_action(3, &Action::CloseIdleConnections(ServerId(0x2c90_11f2)));
    reply.push_fault(3, "index out of range");
    let mut frame = Vec::new();
    reply.finish(12, &mut frame);
    let records = [
        "03 03000000 c4913a5d 074a1203 90732dfa01000000",
        "00 03000000 0065cd1d00000000 4d00000000000000",
        "04 05000000 00000000 11000000",
        "01 03000000 192b6f0e 80b2e60e00000000",
        "06 03000000 192b6f0e",
        "08 03000000 01",
        "0b 03000000 c4913a5d 00",
        "0a 03000000 f211902c",
        "02 03000000 f211902c",
        "09 03000000 11000000 12000000",
    ];
    let mut expected = hex("13010000 0a000000 0c000000");
    records
        .iter()
        .for_each(|record| expected.extend(padded(record, 24)));
    expected.extend(b"two servers knownindex out of range");
    assert_eq!(frame, expected);
}

#[test]
fn settings_read_what_decisions_need_and_ignore_the_rest() {
    let settings = woadstall_settings::parse_settings(SETTINGS.as_bytes()).unwrap();
    assert_eq!(settings.classes[0].effect, Effect::Safe);
    assert_eq!(
        settings.classes[1].effect,
        Effect::Keyed(DedupScope::Zone, 5_000_000_000)
    );
    assert_eq!(
        (settings.balancers, settings.zones, settings.max_attempts),
        (4, 2, 4)
    );
    assert_eq!(settings.in_flight_report_field, Some(1));
    assert!(settings.subscribes_to_discovery && settings.propagates_deadline);
    assert_eq!(
        settings.idle_timeout,
        u64::MAX,
        "without `ConnIdleNs`, idle connections have no time limit"
    );
    let text = SETTINGS.replace("\"TryLimit\"", "\"ConnIdleNs\": 5000000000, \"TryLimit\"");
    assert_eq!(
        woadstall_settings::parse_settings(text.as_bytes())
            .unwrap()
            .idle_timeout,
        5_000_000_000
    );
}

#[test]
fn settings_that_lack_a_key_name_it() {
    for key in [
        "Siblings",
        "TryLimit",
        "StartCapacity",
        "AimNs",
        "AskWithinNs",
        "WindowNs",
    ] {
        let text = SETTINGS.replace(&format!("\"{key}\""), "\"Other\"");
        let error = woadstall_settings::parse_settings(text.as_bytes())
            .unwrap_err()
            .to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
}

const SETTINGS: &str = r#"{"Classes": [
  {"AimNs": 750000000, "DeadlineNs": 2000000000, "Effect": "read_like", "Name": "a", "Value": 5.0},
  {"AimNs": 750000000, "DeadlineNs": 2000000000, "Effect": "idempotency_key", "Group": "zone",
   "WindowNs": 5000000000, "LateWorth": 0.2, "Name": "b", "Value": 1.0}],
  "Discovery": "ask", "FamilyInfo": {"PassesDeadline": true}, "Layer": 0, "Unheard": [1, 2],
  "Limits": {"Cancelling": true, "RetryAfter": false, "TryLimit": 4},
  "Safety": {"AskWithinNs": 10000000000, "RampTimeNs": 8300000000, "StartCapacity": 0.39, "TipMultiple": 3.0},
  "Siblings": 4, "Telemetry": {"Fields": ["qps", "inflight"]}, "ValueBy": "request", "Zone": 1,
  "Zones": ["x", "y"]}"#;

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_woadstall-simulation-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn adapter_answers_batches_and_ends_with_its_input() {
    let empty = hex("90bf68f501000000 00000000 00000000 01000000");
    let output = run_adapter(&[empty.clone(), empty].concat());
    assert!(output.status.success());
    assert_eq!(
        output.stdout,
        hex("000000000000000001000000 000000000000000001000000")
    );
}

#[test]
fn adapter_resolves_reused_list_numbers_in_order() {
    // Two instances use the same list number: each instance must keep the list that the number denoted when the
    // instance received it.
    let mut tail = SETTINGS.as_bytes().to_vec();
    let entries_offset = tail.len() as u32;
    for server in ["01000000", "02000000"] {
        tail.extend(hex(&format!(
            "{server} 01 0000 0000 01 0000803f 0000000000000000"
        )));
    }
    let le_hex = |value: u32| {
        value
            .to_le_bytes()
            .map(|byte| format!("{byte:02x}"))
            .concat()
    };
    let start = |instance| {
        format!(
            "00 {} 0100000000000000 00000000 {}",
            le_hex(instance),
            le_hex(entries_offset)
        )
    };
    let table = |offset| format!("0a 00000000 {} 01000000", le_hex(entries_offset + offset));
    let announce = |instance| format!("01 {} 01000000 00000000 02", le_hex(instance));
    let request = |instance| {
        format!(
            "02 {} 09000000 0000000000000000 00000000 0000 001c4e0e00000000",
            le_hex(instance)
        )
    };
    let records = [
        start(1),
        table(0),
        announce(1),
        start(2),
        table(22),
        announce(2),
        request(1),
        request(2),
    ];
    let output = run_adapter(&batch(&records.each_ref().map(String::as_str), &tail));
    let sends: Vec<_> = output.stdout[12..]
        .chunks(24)
        .filter(|record| record[0] == 3)
        .collect();
    // The low bytes of the instance number and of the server id.
    let targets: Vec<_> = sends.iter().map(|record| (record[1], record[9])).collect();
    assert_eq!(targets, [(1, 1), (2, 2)]);
}

#[test]
fn adapter_reports_bad_settings_as_a_fault_of_the_instance() {
    let output = run_adapter(&batch(
        &["00 03000000 0100000000000000 00000000 02000000"],
        b"{}",
    ));
    assert!(output.status.success());
    assert_eq!(output.stdout[12], 9);
    assert!(String::from_utf8_lossy(&output.stdout).contains("missing field `Classes`"));
}

fn settings_fault(text: &str) -> String {
    let length = format!("{:02x}{:02x}0000", text.len() % 256, text.len() / 256);
    let record = format!("00 03000000 0100000000000000 00000000 {length}");
    let output = run_adapter(&batch(&[&record], text.as_bytes()));
    assert!(
        output.status.success(),
        "invalid settings of one instance do not end the adapter"
    );
    assert_eq!(output.stdout[12], 9, "the action is a fault");
    String::from_utf8_lossy(&output.stdout[36..]).into_owned()
}

#[test]
fn invalid_settings_are_reported_as_faults_that_name_the_field() {
    let cases = [
        (("{", "["), "settings: "),
        (
            ("\"Siblings\": 4", "\"Siblings\": \"four\""),
            "expected u32",
        ),
        (("\"Zone\": 1", "\"Zone\": 2"), "`zone` is 2 of 2 zones"),
        (
            ("\"TryLimit\": 4", "\"TryLimit\": 0"),
            "`max_attempts` is 0",
        ),
        (
            ("\"StartCapacity\": 0.39", "\"StartCapacity\": 1.5"),
            "`start_capacity` is 1.5",
        ),
        (
            ("\"Value\": 5.0", "\"Value\": -5.0"),
            "`classes[0].worth` is -5",
        ),
        (
            ("\"Value\": 5.0", "\"Value\": 1e999"),
            "number out of range",
        ),
        (
            ("\"Effect\": \"read_like\"", "\"Effect\": \"maybe\""),
            "maybe",
        ),
        (
            ("\"AimNs\": 750000000", "\"AimNs\": 0"),
            "`classes[0].aim` is 0",
        ),
    ];
    for ((from, to), expected) in cases {
        let fault = settings_fault(&SETTINGS.replacen(from, to, 1));
        assert!(
            fault.contains(expected) && fault.lines().count() == 1,
            "{expected}: {fault}"
        );
    }
}

#[test]
fn unusual_valid_records_do_no_harm() {
    let mut tail = SETTINGS.as_bytes().to_vec();
    let entry_offset = tail.len() as u32;
    tail.extend(hex("01000000 01 0000 0000 01 0000c07f 0000000000000000")); // a size that is NaN
    let le_hex = |value: u32| {
        value
            .to_le_bytes()
            .map(|byte| format!("{byte:02x}"))
            .concat()
    };
    let start = format!(
        "00 03000000 0100000000000000 00000000 {}",
        le_hex(entry_offset)
    );
    let table = format!("0a 00000000 {} 01000000", le_hex(entry_offset));
    let records = [
        &start,
        "0a 01000000 00000000 00000000", // an empty list
        "01 03000000 01000000 01000000 01",
        &table,
        "01 03000000 02000000 00000000 00",
        "06 03000000 4d00000000000000", // an unknown timer
        "05 03000000 192b6f0e",         // an unknown client
        "04 03000000 c4913a5d a0491a0100000000 00 00 074a1203 00 00", // an outcome without a pending attempt
        "07 03000000 f211902c 00 c05c150000000000 00", // a result without a pending probe
        "02 03000000 09000000 0000000000000000 00000000 6300 001c4e0e00000000", // a class out of range
        "02 03000000 0a000000 0000000000000000 63000000 0000 001c4e0e00000000", // a tenant out of range
        "06 09000000 4d00000000000000", // an unknown instance
    ];
    let output = run_adapter(&batch(&records, &tail));
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    // The action code and the low byte of the request id.
    let codes: Vec<(u8, u8)> = output.stdout[12..]
        .chunks(24)
        .map(|record| (record[0], record[5]))
        .collect();
    assert!(
        codes.contains(&(1, 9)),
        "the class out of range is refused: {codes:?}"
    );
    assert!(
        codes.contains(&(3, 10)),
        "the tenant out of range is served: {codes:?}"
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn adapter_ends_on_malformed_input_with_one_plain_line() {
    let good = batch(&["09 03000000"], &[]);
    let mut too_many_records = good.clone();
    too_many_records[12] = 9;
    let cases = [
        (good[..7].to_vec(), "truncated header"),
        (good[..40].to_vec(), "truncated frame"),
        (too_many_records, "do not fit"),
        (batch(&["63 03000000"], &[]), "unknown event code 99"),
        (
            batch(&["0a 00000000 05000000 02000000"], &[]),
            "outside a tail",
        ),
        (batch(&["0a 10000000"], &[]), "over 15"),
        (batch(&["01 03000000 00000000 10000000 02"], &[]), "over 15"),
        (
            batch(&["0a 00000000 00000000 ffffffff"], &[]),
            "outside a tail",
        ),
        (
            batch(
                &["0a 00000000 00000000 01000000"],
                &[&[0; 9][..], &[7], &[0; 12]].concat(),
            ),
            "unknown lifecycle 7",
        ),
        (
            batch(
                &["04 03000000 c4913a5d a0491a0100000000 00 00 074a1203 00 05"],
                &[],
            ),
            "load report of 5",
        ),
        (
            batch(&["07 03000000 f211902c 09"], &[]),
            "unknown outcome 9",
        ),
        (
            batch(&["01 03000000 00000000 00000000 07"], &[]),
            "unknown form 7",
        ),
        (
            batch(
                &["04 03000000 c4913a5d a0491a0100000000 00 00 074a1203 09"],
                &[],
            ),
            "unknown outcome 9",
        ),
    ];
    for (input, text) in cases {
        let output = run_adapter(&input);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && error.contains(text),
            "{text}: {error}"
        );
        assert_eq!(error.lines().count(), 1, "{error}");
        // A batch that is truncated inside its header has no sequence number, so the error cannot name it.
        assert!(
            input.len() < BATCH_HEADER_SIZE || error.contains("batch "),
            "{text}: {error}"
        );
    }
}
