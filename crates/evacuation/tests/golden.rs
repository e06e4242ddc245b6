//! Golden tests of the bytes of domain decisions and orders and of the JSON of a status. Members and
//! tools of other versions depend on these formats.

use serde_json::json;
use std::collections::BTreeMap;
use woadstall_evacuation::{
    DomainDecision, DomainState, DomainStatus, Order, OrderAction, OrderTable, Phase, Status,
};
use woadstall_health_reports::Subject;

/// Compares bytes with the golden bytes, which are given in hexadecimal digits.
fn assert_golden(bytes: &[u8], golden: &str) {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, golden);
}

fn domain_decisions() -> Vec<DomainDecision> {
    let decision = |subject: Subject, phase: Phase, epoch: u32, share: f64| {
        let mut state = DomainState::default();
        (state.phase, state.epoch, state.share) = (phase, epoch, share);
        DomainDecision::new(subject, &state)
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

const DOMAIN_DECISIONS: &str = concat!(
    "01014bbf9a20c964040064021ec48fb5586fac0201640011264415c36202021403",
    "85292a682dcb01033c0179c5d737642ef0a2040400"
);

#[test]
fn domain_decisions_have_the_golden_bytes() {
    assert_golden(
        &DomainDecision::encode(&domain_decisions(), 256),
        DOMAIN_DECISIONS,
    );
    assert_golden(&DomainDecision::encode(&[], 256), "01");
}

#[test]
fn golden_bytes_are_decoded_to_the_original_domain_decisions() {
    let bytes = DomainDecision::encode(&domain_decisions(), 256);
    assert_golden(&bytes, DOMAIN_DECISIONS);
    let decoded = DomainDecision::decode(&bytes).unwrap();
    assert_eq!(decoded, domain_decisions());
    let shares: Vec<f64> = decoded.iter().map(DomainDecision::share).collect();
    assert_eq!(shares, [1.0, 1.0, 0.2, 0.6, 0.0]);
}

const NOW_MS: u64 = 1_767_225_600_000;

fn orders() -> Vec<Order> {
    let order = |subject: Subject, action: OrderAction, id: u32| Order {
        subject,
        action,
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

fn encoded_orders() -> Vec<u8> {
    let mut table = OrderTable::default();
    for order in orders() {
        assert!(table.submit(NOW_MS, order).is_ok());
    }
    table.encode(256)
}

#[test]
fn orders_have_the_golden_bytes() {
    assert_golden(&encoded_orders(), ORDERS);
    assert_golden(&OrderTable::default().encode(256), "01");
}

#[test]
fn golden_bytes_are_decoded_to_the_original_orders() {
    let bytes = encoded_orders();
    assert_golden(&bytes, ORDERS);
    assert_eq!(OrderTable::decode(&bytes).unwrap(), orders());
}

#[test]
fn decisions_that_do_not_fit_are_left_out_at_the_end() {
    let bytes = DomainDecision::encode(&domain_decisions(), 25);
    assert_eq!(
        DomainDecision::decode(&bytes).unwrap(),
        domain_decisions()[..2]
    );
}

#[test]
fn phases_and_orders_have_the_names_that_operators_know() {
    let phases = [
        Phase::InUse,
        Phase::Suspected,
        Phase::Restoring,
        Phase::Draining,
        Phase::Evacuated,
    ];
    assert_eq!(
        phases.map(Phase::as_str),
        ["in use", "doubted", "returning", "leaving", "left"]
    );
    assert_eq!(
        [
            OrderAction::Evacuate,
            OrderAction::Keep,
            OrderAction::Restore
        ]
        .map(OrderAction::as_str),
        ["leave", "hold", "return"]
    );
}

fn status() -> Status {
    Status {
        domains: vec![
            DomainStatus {
                name: "zone norte".to_owned(),
                phase: "left".to_owned(),
                epoch: 3,
                phase_duration_s: 1.5,
                share: 0.0,
                reason: "an operator's word, leave; 90% of 40 calls fail".to_owned(),
                reporters_against: 5,
                reporters_in_favor: 1,
                relapses: 2,
                servers: 8,
                order: Some("leave".to_owned()),
                order_remaining_s: Some(59.5),
                members_behind: vec!["b-1".to_owned(), "b-2".to_owned()],
            },
            DomainStatus::default(),
        ],
        contradicting_members: BTreeMap::from([("b-9".to_owned(), 3)]),
        malformed_reports: 11,
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

/// The order of the fields in the JSON text is part of the format.
#[test]
fn a_status_has_its_fields_in_the_golden_order() {
    let golden = concat!(
        r#"{"places":[{"name":"","state":"","epoch":0,"for_s":0.0,"share":0.0,"why":"","against":0,"for_it":0,"#,
        r#""relapses":0,"nodos":0,"order":null,"order_ends_s":null,"not_followed":[]}],"odd":{},"unread":0}"#
    );
    let status = Status {
        domains: vec![DomainStatus::default()],
        ..Status::default()
    };
    assert_eq!(serde_json::to_string(&status).unwrap(), golden);
}
