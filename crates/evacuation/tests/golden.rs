//! The bytes of place decisions and orders and the JSON of a status, as members and tools of other versions write and
//! read them.

use serde_json::json;
use std::collections::BTreeMap;
use woadstall_evacuation::{
    Order, OrderAction, OrderTable, Phase, PlaceDecision, PlaceState, PlaceStatus, Status,
};
use woadstall_health_reports::Subject;

/// Compares bytes with the golden ones, written in hexadecimal digits.
fn assert_golden(bytes: &[u8], golden: &str) {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, golden);
}

fn place_decisions() -> Vec<PlaceDecision> {
    let decision = |subject: Subject, state: Phase, epoch: u32, share: f64| {
        let mut standing = PlaceState::default();
        (standing.state, standing.epoch, standing.share) = (state, epoch, share);
        PlaceDecision::new(subject, &standing)
    };
    vec![
        decision(Subject::zone("0", "norte"), Phase::InUse, 4, 1.0),
        decision(
            Subject::class("0", "norte", "chat"),
            Phase::Suspected,
            300,
            1.0,
        ),
        decision(
            Subject::server("nodo-7", 1_767_225_600_000),
            Phase::Restoring,
            2,
            0.2,
        ),
        decision(Subject::region("0", "litoral"), Phase::Draining, 1, 0.6),
        decision(Subject::zone("0", "sur"), Phase::Evacuated, 70_000, 0.0),
    ]
}

const PLACE_DECISIONS: &str = concat!(
    "01014bbf9a20c964040064021ec48fb5586fac0201640011264415c36202021403",
    "85292a682dcb01033c0179c5d737642ef0a2040400"
);

#[test]
fn place_decisions_have_the_golden_bytes() {
    assert_golden(
        &PlaceDecision::write(&place_decisions(), 256),
        PLACE_DECISIONS,
    );
    assert_golden(&PlaceDecision::write(&[], 256), "01");
}

#[test]
fn golden_bytes_are_read_back_to_the_same_place_decisions() {
    let bytes = PlaceDecision::write(&place_decisions(), 256);
    assert_golden(&bytes, PLACE_DECISIONS);
    let read = PlaceDecision::read(&bytes).unwrap();
    assert_eq!(read, place_decisions());
    let shares: Vec<f64> = read.iter().map(PlaceDecision::share).collect();
    assert_eq!(shares, [1.0, 1.0, 0.2, 0.6, 0.0]);
}

const NOW_MS: u64 = 1_767_225_600_000;

fn orders() -> Vec<Order> {
    let order = |subject: Subject, what: OrderAction, id: u32| Order {
        subject,
        what,
        issued_ms: NOW_MS - u64::from(id % 100),
        until_ms: NOW_MS + 600_000,
        id,
    };
    let mut orders = vec![
        order(Subject::zone("", "norte"), OrderAction::Evacuate, 7),
        order(
            Subject::server("nodo-7", 1_767_225_600_000),
            OrderAction::Keep,
            3_000_000_000,
        ),
        order(Subject::region("", "litoral"), OrderAction::Restore, 0),
    ];
    orders.sort_by_key(|order| order.subject);
    orders
}

const ORDERS: &str = concat!(
    "010011264415c3620180d0eab6b733c09f8fb7b73380bcc1960b01f6d821c74675",
    "00f9cfeab6b733c09f8fb7b7330703d5d45bc4aaef0280d0eab6b733c09f8fb7b73300"
);

fn written_orders() -> Vec<u8> {
    let mut all = OrderTable::default();
    for order in orders() {
        assert!(all.take(NOW_MS, order));
    }
    all.write(256)
}

#[test]
fn orders_have_the_golden_bytes() {
    assert_golden(&written_orders(), ORDERS);
    assert_golden(&OrderTable::default().write(256), "01");
}

#[test]
fn golden_bytes_are_read_back_to_the_same_orders() {
    let bytes = written_orders();
    assert_golden(&bytes, ORDERS);
    assert_eq!(OrderTable::read(&bytes).unwrap(), orders());
}

#[test]
fn what_does_not_fit_is_left_out_at_the_end() {
    let bytes = PlaceDecision::write(&place_decisions(), 25);
    assert_eq!(PlaceDecision::read(&bytes).unwrap(), place_decisions()[..2]);
}

#[test]
fn states_and_orders_have_the_words_that_operators_know() {
    let states = [
        Phase::InUse,
        Phase::Suspected,
        Phase::Restoring,
        Phase::Draining,
        Phase::Evacuated,
    ];
    assert_eq!(
        states.map(Phase::word),
        ["in use", "doubted", "returning", "leaving", "left"]
    );
    assert_eq!(
        [
            OrderAction::Evacuate,
            OrderAction::Keep,
            OrderAction::Restore
        ]
        .map(OrderAction::word),
        ["leave", "hold", "return"]
    );
}

fn status() -> Status {
    Status {
        places: vec![
            PlaceStatus {
                name: "zone norte".to_owned(),
                state: "left".to_owned(),
                epoch: 3,
                for_s: 1.5,
                share: 0.0,
                why: "an operator's word, leave; 90% of 40 calls fail".to_owned(),
                against: 5,
                for_it: 1,
                relapses: 2,
                nodos: 8,
                order: Some("leave".to_owned()),
                order_ends_s: Some(59.5),
                not_followed: vec!["b-1".to_owned(), "b-2".to_owned()],
            },
            PlaceStatus::default(),
        ],
        odd: BTreeMap::from([("b-9".to_owned(), 3)]),
        unread: 11,
    }
}

#[test]
fn a_status_has_the_golden_json() {
    let golden = json!({
        "places": [
            {
                "name": "zone norte", "state": "left", "epoch": 3, "for_s": 1.5, "share": 0.0,
                "why": "an operator's word, leave; 90% of 40 calls fail", "against": 5, "for_it": 1,
                "relapses": 2, "nodos": 8, "order": "leave", "order_ends_s": 59.5,
                "not_followed": ["b-1", "b-2"],
            },
            {
                "name": "", "state": "", "epoch": 0, "for_s": 0.0, "share": 0.0, "why": "", "against": 0,
                "for_it": 0, "relapses": 0, "nodos": 0, "order": null, "order_ends_s": null,
                "not_followed": [],
            },
        ],
        "odd": { "b-9": 3 },
        "unread": 11,
    });
    assert_eq!(serde_json::to_value(status()).unwrap(), golden);
    assert_eq!(serde_json::from_value::<Status>(golden).unwrap(), status());
}

/// The order of the fields, as they are written out.
#[test]
fn a_status_has_its_fields_in_the_golden_order() {
    let golden = concat!(
        r#"{"places":[{"name":"","state":"","epoch":0,"for_s":0.0,"share":0.0,"why":"","against":0,"for_it":0,"#,
        r#""relapses":0,"nodos":0,"order":null,"order_ends_s":null,"not_followed":[]}],"odd":{},"unread":0}"#
    );
    let status = Status {
        places: vec![PlaceStatus::default()],
        ..Status::default()
    };
    assert_eq!(serde_json::to_string(&status).unwrap(), golden);
}
