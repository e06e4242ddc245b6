//! Golden tests of the membership report: the response of `/control/instances` as JSON and as text.

use std::collections::BTreeMap;
use std::path::PathBuf;
use woadstall::net::membership_report;
use woadstall_membership::message::{Body, MemberUpdate};
use woadstall_membership::{
    Generation, MemberMetadata, MemberState, MemberStatus, Message, Name, Node, Settings,
};
use woadstall_membership_net::{
    MemberReport, PathReport, RejectionCounters, Report, StateReport, ZonePathReport,
};

const SECOND: u64 = 1_000_000_000;

/// Reads the golden file `name`.
fn read_golden(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Asserts that a report equals its golden files as JSON and as text, and that parsing the JSON restores it. `name` is
/// the name of the golden files without the suffix.
fn assert_golden_report(name: &str, report: &Report) {
    let json = serde_json::to_string(report).unwrap();
    let mut text = Vec::new();
    membership_report::write(report, &mut text).unwrap();
    assert_eq!(json, read_golden(&format!("{name}.json")).trim(), "{name}");
    assert_eq!(
        String::from_utf8(text).unwrap(),
        read_golden(&format!("{name}.txt")),
        "{name}"
    );
    assert_eq!(
        membership_report::read(read_golden(&format!("{name}.json")).as_bytes()).unwrap(),
        *report,
        "{name}"
    );
}

fn member(
    name: &str,
    state: StateReport,
    outbound: PathReport,
    inbound: PathReport,
) -> MemberReport {
    MemberReport {
        name: name.to_owned(),
        zone: "norte".to_owned(),
        region: Some("europa".to_owned()),
        address: "127.0.0.1:7946".parse().unwrap(),
        started_ms: 1_764_000_000_000,
        state,
        outbound,
        inbound,
        state_age_s: 12.345,
        last_reached_s: Some(300.5),
        suspected_by: Vec::new(),
    }
}

/// Each field has a distinct value, so that exchanged fields are detected.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn report_of_each_state() {
    let path = |from: &str, to: &str, total, partitioned| ZonePathReport {
        from: from.to_owned(),
        to: to.to_owned(),
        total,
        partitioned,
    };
    let report = Report {
        name: "b-0".to_owned(),
        zone: "norte".to_owned(),
        address: "[2001:db8::1]:7946".parse().unwrap(),
        started_ms: 1_764_000_000_001,
        uptime_s: 8_000.25,
        min_size: 3,
        max_size: 6,
        own_zone: 0.5,
        other_zones: 0.25,
        is_isolated: true,
        health_multiplier: 4,
        process_pauses: 5,
        records: 7,
        messages_received: 8,
        messages_sent: 9,
        bytes_sent: 10_999,
        rejections: RejectionCounters {
            other_version: 11,
            other_key: 12,
            replayed: 13,
            malformed: 14,
            streams_rejected: 15,
            not_sent: 16,
            hung_steps: 17,
        },
        members: vec![
            member(
                "b-1",
                StateReport::Alive,
                PathReport::Open,
                PathReport::Open,
            ),
            MemberReport {
                suspected_by: vec!["b-0".to_owned(), "b-1".to_owned()],
                ..member(
                    "b-2",
                    StateReport::Suspect,
                    PathReport::Unknown,
                    PathReport::Open,
                )
            },
            member(
                "b-3",
                StateReport::Partitioned,
                PathReport::Partitioned,
                PathReport::Open,
            ),
            MemberReport {
                region: None,
                last_reached_s: None,
                ..member(
                    "b-4",
                    StateReport::Dead,
                    PathReport::Unknown,
                    PathReport::Unknown,
                )
            },
            member(
                "b-5",
                StateReport::Left,
                PathReport::Unknown,
                PathReport::Unknown,
            ),
            member(
                "b-6",
                StateReport::Unknown,
                PathReport::Unknown,
                PathReport::Unknown,
            ),
        ],
        zone_paths: vec![
            path("norte", "norte", 30, 0),
            path("norte", "sur", 18, 4),
            path("sur", "norte", 18, 0),
        ],
    };
    assert_golden_report("membership-report", &report);
}

fn metadata(number: u16, zone: &str) -> MemberMetadata {
    MemberMetadata {
        name: Name::new(&format!("b-{number}")).unwrap(),
        generation: Generation {
            started_ms: 1_764_000_000_000 + u64::from(number),
            id: u64::from(number),
        },
        address: ([127, 0, 0, 1], 10_000 + number).into(),
        zone: Name::new(zone).unwrap(),
        region: None,
    }
}

/// The report of a member about other members in each state, after a fixed sequence of messages.
#[test]
fn report_of_a_member() {
    let settings = Settings::default();
    let mut node = Node::new(metadata(0, "norte"), Vec::new(), settings, 1, 0).unwrap();
    let states = BTreeMap::from([
        (2, MemberState::Alive),
        (3, MemberState::Suspect),
        (4, MemberState::Dead),
        (5, MemberState::Left),
    ]);
    let updates = states.into_iter().map(|(number, state)| {
        let metadata = metadata(number, if number == 2 { "sur" } else { "norte" });
        let by = (state == MemberState::Suspect).then(|| Name::new("b-1").unwrap());
        MemberUpdate {
            status: MemberStatus {
                generation: metadata.generation,
                incarnation: 1,
                state,
            },
            metadata,
            by,
        }
    });
    let message = Message {
        from: metadata(1, "sur"),
        incarnation: 2,
        to: None,
        body: Body::Gossip,
        updates: updates.collect(),
        records: Vec::new(),
    };
    node.receive(SECOND / 4, &message.encode()).unwrap();
    node.publish(SECOND / 4, Name::new("load").unwrap(), 9, b"17".to_vec())
        .unwrap();
    node.tick(SECOND / 2);
    while node.next_outgoing().is_some() {}
    let rejections = RejectionCounters {
        other_key: 3,
        ..RejectionCounters::default()
    };
    assert_golden_report(
        "membership-report-of-a-member",
        &Report::new(&node, rejections, SECOND / 2 + 7_654_321),
    );
    // After this time, the suspicion has expired, and no member was reached.
    for turn in 1..60 {
        node.tick(SECOND / 2 + turn * SECOND / 4);
        while node.next_outgoing().is_some() {}
    }
    assert_golden_report(
        "membership-report-of-a-lonely-member",
        &Report::new(&node, rejections, 20 * SECOND),
    );
}
