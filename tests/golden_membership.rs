//! What operators read of membership stays what it is: the answer of `/control/instances` as JSON, and as people read it.

use std::collections::BTreeMap;
use std::path::PathBuf;
use woadstall::net::members;
use woadstall_membership::message::{Body, MemberUpdate};
use woadstall_membership::{
    Generation, MemberMetadata, MemberState, MemberStatus, Message, Name, Node, Settings,
};
use woadstall_membership_net::{Counts, Report, Row, Ways};

const SECOND: u64 = 1_000_000_000;

fn fixture(form: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(form);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The report is written as it was, for programs and for people, and what was written is read as the same report.
fn assert_golden_report(form: &str, report: &Report) {
    let json = serde_json::to_string(report).unwrap();
    let mut text = Vec::new();
    members::write(report, &mut text).unwrap();
    assert_eq!(json, fixture(&format!("{form}.json")).trim(), "{form}");
    assert_eq!(
        String::from_utf8(text).unwrap(),
        fixture(&format!("{form}.txt")),
        "{form}"
    );
    assert_eq!(
        members::read(fixture(&format!("{form}.json")).as_bytes()).unwrap(),
        *report,
        "{form}"
    );
}

fn row(name: &str, state: &str, to: &str, from: &str) -> Row {
    Row {
        name: name.to_owned(),
        zone: "norte".to_owned(),
        region: Some("europa".to_owned()),
        at: "127.0.0.1:7946".parse().unwrap(),
        started_ms: 1_764_000_000_000,
        state: state.to_owned(),
        to: to.to_owned(),
        from: from.to_owned(),
        for_s: 12.345,
        found_s: Some(300.5),
        suspected_by: Vec::new(),
    }
}

/// Each field with a value of its own.
#[test]
fn a_report_of_each_state() {
    let way = |from: &str, to: &str, of, cut| Ways {
        from: from.to_owned(),
        to: to.to_owned(),
        of,
        cut,
    };
    let report = Report {
        name: "b-0".to_owned(),
        zone: "norte".to_owned(),
        at: "[2001:db8::1]:7946".parse().unwrap(),
        started_ms: 1_764_000_000_001,
        for_s: 8_000.25,
        least: 3,
        most: 6,
        own_zone: 0.5,
        other_zones: 0.25,
        cut_off: true,
        slowed: 4,
        stalls: 5,
        facts: 7,
        came: 8,
        sent: 9,
        bytes: 10_999,
        counts: Counts {
            other_version: 11,
            other_key: 12,
            had_before: 13,
            no_message: 14,
            turned_away: 15,
            not_sent: 16,
            held_back: 17,
        },
        members: vec![
            row("b-1", "alive", "works", "works"),
            Row {
                suspected_by: vec!["b-0".to_owned(), "b-1".to_owned()],
                ..row("b-2", "suspect", "unknown", "works")
            },
            row("b-3", "cut", "cut", "works"),
            Row {
                region: None,
                found_s: None,
                ..row("b-4", "dead", "unknown", "unknown")
            },
            row("b-5", "left", "unknown", "unknown"),
            row("b-6", "unknown", "unknown", "unknown"),
        ],
        ways: vec![
            way("norte", "norte", 30, 0),
            way("norte", "sur", 18, 4),
            way("sur", "norte", 18, 0),
        ],
    };
    assert_golden_report("membership-report", &report);
}

fn card(number: u16, zone: &str) -> MemberMetadata {
    MemberMetadata {
        name: Name::new(&format!("b-{number}")).unwrap(),
        life: Generation {
            started: 1_764_000_000_000 + u64::from(number),
            id: u64::from(number),
        },
        at: ([127, 0, 0, 1], 10_000 + number).into(),
        zone: Name::new(zone).unwrap(),
        region: None,
    }
}

/// What a member makes of others in each state, after messages that are always the same.
#[test]
fn a_report_of_a_member() {
    let settings = Settings::default();
    let mut node = Node::new(card(0, "norte"), Vec::new(), settings, 1, 0).unwrap();
    let said = BTreeMap::from([
        (2, MemberState::Alive),
        (3, MemberState::Suspect),
        (4, MemberState::Dead),
        (5, MemberState::Left),
    ]);
    let news = said.into_iter().map(|(number, said)| {
        let card = card(number, if number == 2 { "sur" } else { "norte" });
        let by = (said == MemberState::Suspect).then(|| Name::new("b-1").unwrap());
        MemberUpdate {
            claim: MemberStatus {
                life: card.life,
                incarnation: 1,
                said,
            },
            card,
            by,
        }
    });
    let message = Message {
        from: card(1, "sur"),
        incarnation: 2,
        to: None,
        body: Body::Gossip,
        news: news.collect(),
        facts: Vec::new(),
    };
    node.heard(SECOND / 4, &message.write()).unwrap();
    node.say(SECOND / 4, Name::new("load").unwrap(), 9, b"17".to_vec())
        .unwrap();
    node.tick(SECOND / 2);
    while node.next_out().is_some() {}
    let counts = Counts {
        other_key: 3,
        ..Counts::default()
    };
    assert_golden_report(
        "membership-report-of-a-member",
        &Report::new(&node, counts, SECOND / 2 + 7_654_321),
    );
    // Much later: the suspicion is over, and nobody was heard.
    for turn in 1..60 {
        node.tick(SECOND / 2 + turn * SECOND / 4);
        while node.next_out().is_some() {}
    }
    assert_golden_report(
        "membership-report-of-a-lonely-member",
        &Report::new(&node, counts, 20 * SECOND),
    );
}
