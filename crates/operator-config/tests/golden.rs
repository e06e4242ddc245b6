//! Guards against unintended changes of the operators' file format: each key, default and error text is checked.

use std::path::Path;
use woadstall_operator_config::{
    EvacuationConfig, MAX_FILE_BYTES, MembershipConfig, OperatorConfig, PluginConfig, Protocol,
};

/// Asserts that the text equals the golden file of this name.
fn assert_golden(name: &str, text: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    let expected = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    assert_eq!(text, expected, "{name}");
}

const EVERY_KEY: &str = r#"
[plugin]
protocol = "http1"
replay_limit = 1000
connections = 7
[plugin.methods]
"/posting.Posting/Load" = "cargo-lectura"
"/a" = "b"

[instances]
listen = "10.0.0.5:7946"
advertise = "10.0.0.7:7947"
name = "balancer-one"
zone = "norte"
region = "occidente"
seeds = ["10.0.0.6:7946", "[::1]:7946"]
seeds_file = "seeds"
key_file = "members.key"
insecure = false
period_ms = 501
patience_ms = 201
suspicion_ms = 6001

[evacuation]
every_ms = 101
[evacuation.regions]
norte = "occidente"
sur = "oriente"
"#;

#[test]
fn every_key_is_read() {
    let operator = OperatorConfig::parse(EVERY_KEY).unwrap();
    let pair = |key: &str, value: &str| (key.to_owned(), value.to_owned());
    let plugin = PluginConfig {
        protocol: Protocol::Http1,
        replay_limit_bytes: 1000,
        max_connections: 7,
        method_classes: [
            pair("/posting.Posting/Load", "cargo-lectura"),
            pair("/a", "b"),
        ]
        .into(),
    };
    let instances = MembershipConfig {
        listen: "10.0.0.5:7946".parse().unwrap(),
        advertise: Some("10.0.0.7:7947".parse().unwrap()),
        name: Some("balancer-one".to_owned()),
        zone: Some("norte".to_owned()),
        region: Some("occidente".to_owned()),
        seeds: vec![
            "10.0.0.6:7946".parse().unwrap(),
            "[::1]:7946".parse().unwrap(),
        ],
        seeds_file: Some("seeds".into()),
        key_file: Some("members.key".into()),
        insecure: false,
        probe_period_ms: 501,
        probe_timeout_ms: 201,
        suspicion_timeout_ms: 6001,
    };
    let regions = [pair("norte", "occidente"), pair("sur", "oriente")].into();
    let evacuation = EvacuationConfig {
        evaluation_interval_ms: 101,
        regions,
    };
    assert_eq!(operator.plugin, plugin);
    assert_eq!(operator.membership, Some(instances));
    assert_eq!(operator.evacuation, Some(evacuation));
}

#[test]
fn every_default_is_unchanged() {
    let operator = OperatorConfig::parse("").unwrap();
    assert_eq!(operator.plugin.protocol, Protocol::Http2);
    assert_eq!(
        (
            operator.plugin.replay_limit_bytes,
            operator.plugin.max_connections
        ),
        (65_536, 4)
    );
    assert!(operator.plugin.method_classes.is_empty());
    assert!(operator.membership.is_none() && operator.evacuation.is_none());
    let text = "[instances]\nlisten = \"1.2.3.4:5\"\nkey_file = \"k\"\n[evacuation]\n";
    let operator = OperatorConfig::parse(text).unwrap();
    let instances = operator.membership.unwrap();
    assert_eq!(
        (
            instances.probe_period_ms,
            instances.probe_timeout_ms,
            instances.suspicion_timeout_ms
        ),
        (500, 200, 6_000)
    );
    assert_eq!(instances.key_file.as_deref(), Some(Path::new("k")));
    assert!(instances.advertise.is_none() && instances.name.is_none() && instances.zone.is_none());
    assert!(instances.region.is_none() && instances.seeds_file.is_none());
    assert!(instances.seeds.is_empty() && !instances.insecure);
    let evacuation = operator.evacuation.unwrap();
    assert!(evacuation.evaluation_interval_ms == 100 && evacuation.regions.is_empty());
}

/// A valid section `[instances]` with one more line.
fn instances(line: &str) -> String {
    format!("[instances]\nlisten = \"1.2.3.4:5\"\ninsecure = true\n{line}\n")
}

#[test]
fn every_error_text_is_unchanged() {
    let many_methods: String = (0..10_001)
        .map(|number| format!("\"/{number}\" = \"c\"\n"))
        .collect();
    let texts = [
        "#".repeat(MAX_FILE_BYTES + 1),
        "[plugins]".to_owned(),
        "[plugin\n".to_owned(),
        "[plugin]\nconnections = ".to_owned(),
        "é = \u{1}".to_owned(),
        "[plugin]\nconections = 3".to_owned(),
        "[plugin]\nconnections = \"3\"".to_owned(),
        "[plugin]\nconnections = 0".to_owned(),
        "[plugin]\nconnections = 1001".to_owned(),
        "[plugin]\nconnections = -1".to_owned(),
        "[plugin]\nreplay_limit = 67108865".to_owned(),
        "[plugin]\nprotocol = \"h3\"".to_owned(),
        "[plugin.methods]\n\"p.P/Load\" = \"x\"".to_owned(),
        "[plugin.methods]\n\"/p.P/Load\" = \"\"".to_owned(),
        "[plugin.methods]\n\"/a\" = \"x\"\n\"/a\" = \"y\"".to_owned(),
        format!("[plugin.methods]\n{many_methods}"),
        "[instances]".to_owned(),
        "[instances]\nlisten = \"here\"".to_owned(),
        "[instances]\nlisten = \"1.2.3.4:5\"".to_owned(),
        "[instances]\nlisten = \"1.2.3.4:5\"\nkey_file = \"k\"\ninsecure = true".to_owned(),
        "[instances]\nlisten = \"0.0.0.0:5\"\nkey_file = \"k\"".to_owned(),
        instances("other = 1"),
        instances("advertise = \"0.0.0.0:5\""),
        instances("advertise = \"1.2.3.4:0\""),
        instances("name = \"\""),
        instances(&format!("name = \"{}\"", "x".repeat(65))),
        instances("zone = \"a b\""),
        instances("region = \"a\\tb\""),
        instances("seeds = [\"there\"]"),
        instances("period_ms = 5"),
        instances("period_ms = 60001"),
        instances("patience_ms = 0"),
        instances("patience_ms = 30001"),
        instances("patience_ms = 300"),
        instances("suspicion_ms = 0"),
        instances("suspicion_ms = 3600001"),
        instances("suspicion_ms = 100"),
        "[evacuation]".to_owned(),
        "[evacuation]\nevery_ms = 19".to_owned(),
        "[evacuation]\nevery_ms = 5001".to_owned(),
        "[evacuation]\nevry_ms = 1".to_owned(),
        "[evacuation.regions]\nnorte = \"\"".to_owned(),
        "[evacuation.regions]\n\"\" = \"occidente\"".to_owned(),
    ];
    let errors = texts.map(|text| OperatorConfig::parse(&text).unwrap_err().to_string() + "\n");
    assert_golden("errors.txt", &errors.concat());
}
