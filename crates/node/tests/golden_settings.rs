//! Compares parsed settings, their defaults and the text of all findings with golden files.

use serde_json::{Value, json};
use std::fmt::Write;
use std::path::Path;
use woadstall_node::settings::{Endpoint, NodeSettings, SettingsError};

fn assert_golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    let expected = std::fs::read_to_string(&path).unwrap();
    assert_eq!(text, expected, "{name}");
}

/// Settings with the required fields only.
fn minimal_document() -> Value {
    json!({
        "node": "m-1", "ip": "10.1.0.1", "zone": "a-1", "region": "a", "ephemeral_ports": [7001, 7009],
    })
}

/// Settings with all fields, each with a value other than its default.
fn full_document() -> Value {
    json!({
        "node": "m-1", "ip": "10.1.0.1", "zone": "a-1", "region": "a",
        "zones": { "a-1": "a", "b-1": "b" },
        "listen": { "control": "10.1.0.1:7000", "front": "10.1.0.1:80", "directory": "[::1]:7002" },
        "ephemeral_ports": [7001, 7009],
        "seeds": ["10.1.0.1:7000", "10.2.0.1:7000"],
        "bootstrap": true, "data_dir": "/data/m-1", "heartbeat_ms": 900,
        "fault_tolerance": { "machines": 2 },
        "limits": { "memory_mb": 300, "max_fds": 2000 },
        "bounds": {
            "history_s": 25, "grace_s": 7.5, "retry_budget_ratio": 0.3, "budget_window_s": 12.5, "budget_slack": 56, "cold_over": 1.5,
            "cold_slack": 5.5,
        },
        "an unknown key": 1,
    })
}

/// Formats settings with one field per line.
fn format_settings(settings: &NodeSettings) -> String {
    let NodeSettings {
        node,
        ip,
        zone,
        region,
        zones,
        listen,
        internal_ports,
        seeds,
        bootstrap,
        data_dir,
        tolerated_failures,
        heartbeat_ms,
        memory_bytes,
        max_fds,
        history_period,
        grace_period,
        bounds,
    } = settings;
    format!(
        "node={node}\nip={ip}\nzone={zone}\nregion={region}\nzones={zones:?}\nlisten={listen:?}\n\
         ephemeral_ports=({}, {})\nseeds={seeds:?}\nbootstrap={bootstrap}\ndata_dir={data_dir:?}\n\
         fault_tolerance.machines={tolerated_failures}\nheartbeat_ms={heartbeat_ms}\nlimits.memory={memory_bytes} bytes\n\
         limits.max_fds={max_fds}\nbounds.history={} ms\nbounds.grace={} ms\nbounds.retry_budget_ratio={}\n\
         bounds.budget_window={} ms\nbounds.budget_slack={}\nbounds.cold_over={}\nbounds.cold_slack={}\n\
         internal_address={}\ninternal_seeds={:?}\ncoordination_address={:?}\ncoordination_seeds={:?}\nlisten.control={:?}\nlisten.ready={:?}\n",
        internal_ports.first,
        internal_ports.last,
        history_period.as_millis(),
        grace_period.as_millis(),
        bounds.retry_budget_ratio,
        bounds.retry_budget_window_ms,
        bounds.retry_budget_slack,
        bounds.warmup_factor,
        bounds.warmup_slack,
        settings.internal_address(),
        settings.internal_seeds(),
        settings.coordination_address(),
        settings.coordination_seeds(),
        settings.listen_address(Endpoint::Control),
        settings.listen_address(Endpoint::Readiness),
    )
}

#[test]
fn defaults_are_unchanged() {
    assert_golden(
        "settings-least.txt",
        &format_settings(&NodeSettings::from_document(&minimal_document()).unwrap()),
    );
}

#[test]
fn parsing_of_each_field_is_unchanged() {
    assert_golden(
        "settings-most.txt",
        &format_settings(&NodeSettings::from_document(&full_document()).unwrap()),
    );
}

#[test]
fn the_path_variable_is_unchanged() {
    assert_eq!(woadstall_node::settings::PATH_VARIABLE, "WOADSTALL_BOOT");
}

/// Paths of all fields that are replaced by invalid values.
const FIELD_PATHS: [&str; 30] = [
    "/node",
    "/ip",
    "/zone",
    "/region",
    "/zones",
    "/zones/a-1",
    "/listen",
    "/listen/control",
    "/ephemeral_ports",
    "/ephemeral_ports/0",
    "/ephemeral_ports/1",
    "/seeds",
    "/seeds/1",
    "/bootstrap",
    "/data_dir",
    "/heartbeat_ms",
    "/fault_tolerance",
    "/fault_tolerance/machines",
    "/limits",
    "/limits/memory_mb",
    "/limits/max_fds",
    "/bounds",
    "/bounds/history_s",
    "/bounds/grace_s",
    "/bounds/retry_budget_ratio",
    "/bounds/budget_window_s",
    "/bounds/budget_slack",
    "/bounds/cold_over",
    "/bounds/cold_slack",
    "/an unknown key",
];

#[test]
fn findings_are_unchanged() {
    let invalid_values = [
        json!(null),
        json!(""),
        json!("what"),
        json!(-1),
        json!(70_000),
        json!(0.5),
        json!([]),
        json!({}),
    ];
    let mut text = String::new();
    for path in FIELD_PATHS {
        for value in &invalid_values {
            let mut document = full_document();
            *document.pointer_mut(path).unwrap() = value.clone();
            let outcome = match NodeSettings::from_document(&document) {
                Ok(_) => "sound\n".to_owned(),
                Err(findings) => findings.to_string(),
            };
            write!(text, "{path} = {value}\n{outcome}").unwrap();
        }
    }
    for document in [
        json!({}),
        json!([]),
        json!({ "ephemeral_ports": [1, 2, 3] }),
    ] {
        let findings = NodeSettings::from_document(&document).unwrap_err();
        write!(text, "{document}\n{findings}").unwrap();
    }
    let mut three_ports = minimal_document();
    three_ports["ephemeral_ports"] = json!([1, 2, 3]);
    write!(
        text,
        "three ports\n{}",
        NodeSettings::from_document(&three_ports).unwrap_err()
    )
    .unwrap();
    assert_golden("settings-findings.txt", &text);
}

#[test]
fn errors_are_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("boot.json");
    let error = |text: Option<&str>| -> SettingsError {
        if let Some(text) = text {
            std::fs::write(&path, text).unwrap();
        }
        NodeSettings::read(&path).unwrap_err()
    };
    let displayed_path = path.display();
    assert_eq!(
        error(None).to_string(),
        format!("{displayed_path}: No such file or directory (os error 2)")
    );
    assert_eq!(
        error(Some("{")).to_string(),
        format!("{displayed_path}: EOF while parsing an object at line 1 column 1")
    );
    let fields = error(Some(
        r#"{"node":"m-1","ip":"10.1.0.1","zone":"a-1","ephemeral_ports":[1,2]}"#,
    ));
    assert_eq!(
        fields.to_string(),
        format!("{displayed_path}:\nregion: is missing\n")
    );
    assert_eq!(
        SettingsError::NoPath.to_string(),
        "WOADSTALL_BOOT does not name the settings file"
    );
}
