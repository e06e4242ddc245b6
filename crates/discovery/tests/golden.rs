//! Pins the JSON format of discovery's endpoint lists: every key, default, state and error.

use std::time::Duration;
use woadstall_discovery::{EndpointList, EndpointState};
use woadstall_engine::{Lifecycle, UpstreamEntry};
use woadstall_settings::Names;

const EVERY_KEY: &str = r#"{"rev":7,"all":true,"more":1,"targets":[
    {"uid":"s-1","endpoint":"10.0.0.1:80","az":"b","pod_group":3,"state":"in_service","capacity_hint":2.5,"boot_ms":1700000000123},
    {"uid":"s-2","endpoint":"[::1]:81","az":"a","pod_group":65535,"state":"terminating","capacity_hint":0.25,"boot_ms":1,"more":1},
    {"uid":"s-3","endpoint":"nowhere","az":"z","pod_group":0,"state":"terminated","capacity_hint":1,"boot_ms":0},
    {"uid":"s-4","endpoint":"","state":"never heard of"}]}"#;

fn names() -> Names {
    Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: vec!["a".to_owned(), "b".to_owned()],
        report_fields: Vec::new(),
        connect_timeout: Duration::from_secs(1),
    }
}

#[test]
fn every_key_is_read() {
    let list: EndpointList = serde_json::from_str(EVERY_KEY).unwrap();
    assert_eq!(
        (list.revision, list.is_complete, list.endpoints.len()),
        (7, true, 4)
    );
    let first = &list.endpoints[0];
    assert_eq!(
        (
            first.name.as_str(),
            first.address.as_str(),
            first.zone.as_str()
        ),
        ("s-1", "10.0.0.1:80", "b")
    );
    assert_eq!(
        (first.cell, first.state, first.capacity),
        (3, EndpointState::InService, 2.5)
    );
    assert_eq!(first.started_ms, 1_700_000_000_123);
    let states: Vec<EndpointState> = list
        .endpoints
        .iter()
        .map(|endpoint| endpoint.state)
        .collect();
    assert_eq!(
        states,
        [
            EndpointState::InService,
            EndpointState::Terminating,
            EndpointState::Terminated,
            EndpointState::Terminating
        ]
    );
    let last = &list.endpoints[3];
    assert_eq!(
        (
            last.zone.as_str(),
            last.cell,
            last.capacity,
            last.started_ms
        ),
        ("", 0, 1.0, 0)
    );
}

#[test]
fn optional_keys_of_a_list_have_defaults() {
    let list: EndpointList = serde_json::from_str(r#"{"rev":9}"#).unwrap();
    assert!(list.revision == 9 && !list.is_complete && list.endpoints.is_empty());
    let default_list = EndpointList::default();
    assert!(
        default_list.revision == 0
            && !default_list.is_complete
            && default_list.endpoints.is_empty()
    );
}

#[test]
fn entries_are_converted_to_the_form_of_the_engine() {
    let list: EndpointList = serde_json::from_str(EVERY_KEY).unwrap();
    let entries: Vec<UpstreamEntry> = list.entries(&names());
    let zones: Vec<Option<u8>> = entries
        .iter()
        .map(|entry| entry.zone.map(|zone| zone.0))
        .collect();
    assert_eq!(zones, [Some(1), Some(0), None, None]);
    let addresses: Vec<Option<String>> = entries
        .iter()
        .map(|entry| entry.address.map(|address| address.to_string()))
        .collect();
    assert_eq!(
        addresses,
        [
            Some("10.0.0.1:80".to_owned()),
            Some("[::1]:81".to_owned()),
            None,
            None
        ]
    );
    let names: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
    assert_eq!(names, ["s-1", "s-2", "s-3", "s-4"]);
    let cells: Vec<u16> = entries.iter().map(|entry| entry.cell).collect();
    assert_eq!(cells, [3, 65535, 0, 0]);
    let sizes: Vec<f32> = entries.iter().map(|entry| entry.size).collect();
    assert_eq!(sizes, [2.5, 0.25, 1.0, 1.0]);
    let boots: Vec<u64> = entries.iter().map(|entry| entry.boot_ms).collect();
    assert_eq!(boots, [1_700_000_000_123, 1, 0, 0]);
    assert!(matches!(entries[0].lifecycle, Lifecycle::Ready));
    assert!(matches!(entries[1].lifecycle, Lifecycle::Draining));
    assert!(matches!(entries[2].lifecycle, Lifecycle::Removed));
    assert!(matches!(entries[3].lifecycle, Lifecycle::Draining));
}

#[test]
fn invalid_lists_are_rejected_with_the_recorded_errors() {
    let texts = [
        "",
        "{}",
        r#"{"rev":-1}"#,
        r#"{"rev":1,"all":1}"#,
        r#"{"rev":1,"targets":[{"endpoint":"a","state":"in_service"}]}"#,
        r#"{"rev":1,"targets":[{"uid":"a","state":"in_service"}]}"#,
        r#"{"rev":1,"targets":[{"uid":"a","endpoint":"a"}]}"#,
        r#"{"rev":1,"targets":[{"uid":"a","endpoint":"a","state":"in_service","pod_group":65536}]}"#,
    ];
    let errors = texts.map(|text| {
        serde_json::from_str::<EndpointList>(text)
            .unwrap_err()
            .to_string()
    });
    assert_eq!(errors.join("\n") + "\n", include_str!("golden/errors.txt"));
}
