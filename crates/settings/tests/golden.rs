//! Golden tests of the JSON form of the settings: every key, every default and the text of every error.

use serde_json::{Value, json};
use std::time::Duration;
use woadstall_decisions::api::{Class, DedupScope, Effect, Settings, Tenant, ZoneId};
use woadstall_settings::{ActiveSettings, MAX_CLASSES, Names, parse_names, parse_settings};

/// Asserts that a text equals the golden file of this name.
fn assert_golden(name: &str, text: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    let expected = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    assert_eq!(text, expected, "{name}");
}

/// Settings with every supported key, each with a distinct value.
const EVERY_KEY: &str = include_str!("golden/every-key.json");
/// Settings with the required keys only.
const REQUIRED_KEYS: &str = include_str!("golden/least.json");

#[test]
fn every_key_of_the_settings_is_read() {
    let class = |effect, latency_target| Class {
        latency_target,
        latency_target_stretch: 1.5,
        deadline: 12,
        effect,
        late_value: 0.25,
        value: 2.5,
    };
    let plain_class = |effect, latency_target| Class {
        latency_target,
        latency_target_stretch: 0.0,
        deadline: 2,
        effect,
        late_value: 0.0,
        value: 1.0,
    };
    let expected = Settings {
        classes: vec![
            class(Effect::Safe, 11),
            plain_class(Effect::Unsafe, 21),
            plain_class(Effect::Keyed(DedupScope::All, 31), 31),
            plain_class(Effect::Keyed(DedupScope::Zone, 32), 32),
            plain_class(Effect::Keyed(DedupScope::Cell, 33), 33),
        ],
        tenants: vec![Tenant { quota_rps: 13.5 }, Tenant { quota_rps: 14.5 }],
        over_quota_value: 0.75,
        value_by_work: true,
        zone: ZoneId(1),
        zones: 3,
        balancers: 15,
        tier: 16,
        propagates_deadline: false,
        subscribes_to_discovery: true,
        subscribe_within: 17,
        may_cancel: true,
        max_retry_after: 18,
        max_attempts: 19,
        idle_timeout: 20,
        slow_start_capacity: 0.3,
        slow_start_overload: 2.25,
        slow_start_window: 22,
        in_flight_report_field: Some(1),
        cross_zone_cost: 0.125,
        probe_cost: 0.0625,
        probes_for_load: true,
    };
    assert_eq!(parse_settings(EVERY_KEY.as_bytes()).unwrap(), expected);
}

#[test]
fn every_name_is_read() {
    let names = parse_names(EVERY_KEY.as_bytes()).unwrap();
    assert_eq!(
        names.classes,
        ["look", "post", "pay-all", "pay-zone", "pay-cell"]
    );
    assert_eq!(names.tenants, ["acme", "umbra"]);
    assert_eq!(names.zones, ["a", "b", "c"]);
    assert_eq!(names.report_fields, ["cpu", "inflight"]);
    assert_eq!(names.connect_timeout, Duration::from_nanos(23));
}

#[test]
fn every_default_of_the_settings() {
    let expected = Settings {
        classes: vec![Class {
            latency_target: 1,
            latency_target_stretch: 0.0,
            deadline: 2,
            effect: Effect::Safe,
            late_value: 0.0,
            value: 1.0,
        }],
        tenants: Vec::new(),
        over_quota_value: 1.0,
        value_by_work: false,
        zone: ZoneId(0),
        zones: 1,
        balancers: 1,
        tier: 0,
        propagates_deadline: true,
        subscribes_to_discovery: false,
        subscribe_within: 0,
        may_cancel: false,
        max_retry_after: 0,
        max_attempts: 3,
        idle_timeout: u64::MAX,
        slow_start_capacity: 0.5,
        slow_start_overload: 2.0,
        slow_start_window: 4,
        in_flight_report_field: None,
        cross_zone_cost: 0.0,
        probe_cost: 0.0,
        probes_for_load: false,
    };
    assert_eq!(parse_settings(REQUIRED_KEYS.as_bytes()).unwrap(), expected);
    let names = parse_names(REQUIRED_KEYS.as_bytes()).unwrap();
    assert!(names.tenants.is_empty() && names.report_fields.is_empty());
}

/// Returns the value at a path of keys and array positions.
fn value_at<'a>(value: &'a mut Value, path: &[&str]) -> &'a mut Value {
    path.iter()
        .fold(value, |value, key| match key.parse::<usize>() {
            Ok(position) => &mut value[position],
            Err(_) => &mut value[*key],
        })
}

#[test]
#[expect(clippy::too_many_lines, reason = "a single table of cases")]
fn every_error() {
    let mut errors = String::new();
    let mut add_errors = |text: &str| {
        for (parser, error) in [
            (
                "settings",
                parse_settings(text.as_bytes())
                    .err()
                    .map(|error| error.to_string()),
            ),
            (
                "names",
                parse_names(text.as_bytes())
                    .err()
                    .map(|error| error.to_string()),
            ),
        ] {
            errors += &format!("{parser}: {}\n", error.as_deref().unwrap_or("sound"));
        }
    };
    ["", "[]", "{}", "{\"Classes\":[]} x"]
        .into_iter()
        .for_each(&mut add_errors);
    add_errors(&format!("{REQUIRED_KEYS} x"));
    let minimal: Value = serde_json::from_str(REQUIRED_KEYS).unwrap();
    let removed_keys = [
        (&[][..], "Classes"),
        (&[], "Discovery"),
        (&[], "Layer"),
        (&[], "Limits"),
        (&[], "Safety"),
        (&[], "Siblings"),
        (&[], "ValueBy"),
        (&[], "Zone"),
        (&[], "Zones"),
        (&["Classes", "0"], "Name"),
        (&["Classes", "0"], "AimNs"),
        (&["Classes", "0"], "DeadlineNs"),
        (&["Classes", "0"], "Effect"),
        (&["Classes", "0"], "Value"),
        (&["Limits"], "Cancelling"),
        (&["Limits"], "ConnectTimeoutNs"),
        (&["Limits"], "TryLimit"),
        (&["Safety"], "StartCapacity"),
        (&["Safety"], "TipMultiple"),
        (&["Safety"], "RampTimeNs"),
    ];
    for (path, key) in removed_keys {
        let mut value = minimal.clone();
        value_at(&mut value, path)
            .as_object_mut()
            .unwrap()
            .remove(key)
            .expect(key);
        add_errors(&value.to_string());
    }
    let replaced_values = [
        (&["Discovery"][..], json!("ask")),
        (&["Discovery"], json!("other")),
        (&["ValueBy"], json!("other")),
        (&["Zone"], json!(256)),
        (&["Zones"], json!("a")),
        (&["Tenants"], json!([{"Name": "acme"}])),
        (&["Tenants"], json!([{"QuotaRps": 1.0}])),
        (&["Classes", "0", "Effect"], json!("other")),
        (&["Classes", "0", "Effect"], json!("idempotency_key")),
        (&["Classes", "0", "Group"], json!("other")),
        (&["Classes", "0", "DeadlineNs"], json!(-1)),
        (&["Classes", "0", "Value"], json!("1")),
        (&["Limits", "MayProbe"], json!(1)),
        (&["Safety", "AskWithinNs"], json!(0.5)),
        (&["Telemetry"], json!({"Fields": [1]})),
        (&["Telemetry"], json!({"Via": 1})),
        (&["Prices"], json!({"CrossZone": "1"})),
        (&["FamilyInfo"], json!({"PassesDeadline": 1})),
    ];
    for (path, replacement) in replaced_values {
        let mut value = minimal.clone();
        *value_at(&mut value, path) = replacement;
        add_errors(&value.to_string());
    }
    let mut value = minimal.clone();
    value["Classes"][0]["Effect"] = "idempotency_key".into();
    value["Classes"][0]["Group"] = "zone".into();
    add_errors(&value.to_string());
    assert_golden("errors.txt", &errors);
}

#[test]
fn every_error_of_a_change() {
    let parse_required_keys = || {
        (
            parse_settings(REQUIRED_KEYS.as_bytes()).unwrap(),
            parse_names(REQUIRED_KEYS.as_bytes()).unwrap(),
        )
    };
    let (initial_settings, initial_names) = parse_required_keys();
    let active = ActiveSettings::new(initial_settings, initial_names);
    let mut errors = String::new();
    let mut add = |change: &dyn Fn(&mut Settings, &mut Names)| {
        let (mut settings, mut names) = parse_required_keys();
        change(&mut settings, &mut names);
        errors += &(active.apply(&settings, &names).unwrap_err().to_string() + "\n");
    };
    add(&|settings, _| settings.max_attempts = 0);
    add(&|_, names| names.zones = vec!["b".into()]);
    add(&|settings, names| {
        (settings.zone, settings.zones) = (ZoneId(1), 2);
        names.zones = vec!["a".into(), "b".into()];
    });
    add(&|settings, _| {
        (settings.zone, settings.zones) = (ZoneId(1), 2);
    });
    add(&|settings, _| settings.tier = 1);
    add(&|settings, _| (settings.subscribes_to_discovery, settings.subscribe_within) = (true, 1));
    add(&|_, names| names.report_fields = vec!["cpu".into()]);
    add(&|settings, names| {
        settings.classes.push(settings.classes[0].clone());
        names.classes.push(names.classes[0].clone());
    });
    add(&|settings, names| {
        for number in 0..MAX_CLASSES {
            settings.classes.push(settings.classes[0].clone());
            names.classes.push(format!("c{number}"));
        }
    });
    assert_golden("change-errors.txt", &errors);
}
