//! Tests of parsing and validating the file.

use super::*;

#[test]
fn omitted_keys_have_their_defaults() {
    assert_eq!(
        OperatorConfig::parse("").unwrap(),
        OperatorConfig::default()
    );
    let file = "[plugin]\nprotocol = \"http1\"\nreplay_limit = 1000\n\
                [plugin.methods]\n\"/p.P/Load\" = \"cargo-lectura\"\n";
    let plugin = OperatorConfig::parse(file).unwrap().plugin;
    assert_eq!(
        (
            plugin.protocol,
            plugin.replay_limit_bytes,
            plugin.max_connections
        ),
        (Protocol::Http1, 1000, 4)
    );
    assert_eq!(plugin.method_classes["/p.P/Load"], "cargo-lectura");
}

#[test]
fn the_file_in_the_repository_is_valid() {
    OperatorConfig::parse(include_str!("../../../deploy/operator.toml")).unwrap();
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn each_error_names_its_field_in_one_line() {
    let cases = [
        ("[plugins]", "`plugins`: unknown field `plugins`"),
        (
            "[plugin]\nconections = 3",
            "`plugin.conections`: unknown field `conections`",
        ),
        (
            "[plugin]\nconnections = \"3\"",
            "`plugin.connections`: invalid type: string",
        ),
        (
            "[plugin]\nconnections = 0",
            "`plugin.connections` is 0, not between 1 and 1000",
        ),
        (
            "[plugin]\nconnections = -1",
            "`plugin.connections`: invalid value: integer `-1`",
        ),
        (
            "[plugin]\nreplay_limit = 99999999999",
            "`plugin.replay_limit` is 99999999999",
        ),
        (
            "[plugin]\nprotocol = \"h3\"",
            "`plugin.protocol`: unknown variant `h3`",
        ),
        (
            "[plugin.methods]\n\"p.P/Load\" = \"x\"",
            "`plugin.methods.\"p.P/Load\"` is not a path",
        ),
        (
            "[plugin.methods]\n\"/p.P/Load\" = \"\"",
            "`plugin.methods.\"/p.P/Load\"` names no class",
        ),
        (
            "[plugin.methods]\n\"/a\" = \"x\"\n\"/a\" = \"y\"",
            "line 3: duplicate key",
        ),
        ("[plugin]\nconnections = ", "line 2: "),
        ("[plugin\n", "line 1: "),
        ("é = \u{1}", "line 1: "),
        ("[instances]", "`instances`: missing field `listen`"),
        (
            "[instances]\nlisten = \"here\"",
            "`instances.listen`: invalid socket address",
        ),
        (
            "[instances]\nlisten = \"1.2.3.4:5\"",
            "`instances.key_file` is missing, and `insecure` is not true",
        ),
        (
            "[instances]\nlisten = \"1.2.3.4:5\"\nkey_file = \"k\"\ninsecure = true",
            "`instances.insecure` is true beside a `key_file`",
        ),
        (
            "[instances]\nlisten = \"0.0.0.0:5\"\nkey_file = \"k\"",
            "`instances.advertise` is missing, and `listen` is all addresses",
        ),
        (
            "[instances]\nlisten = \"1.2.3.4:5\"\ninsecure = true\nzone = \"a b\"",
            "`instances.zone` is not 1 to 64 bytes without blanks",
        ),
        (
            "[instances]\nlisten = \"1.2.3.4:5\"\ninsecure = true\nperiod_ms = 5",
            "`instances.period_ms` is 5, not between 10 and 60000",
        ),
        (
            "[instances]\nlisten = \"1.2.3.4:5\"\ninsecure = true\npatience_ms = 300",
            "`instances.patience_ms` is over half of `period_ms`",
        ),
        (
            "[instances]\nlisten = \"1.2.3.4:5\"\ninsecure = true\nsuspicion_ms = 100",
            "`instances.suspicion_ms` is less than `period_ms`",
        ),
        ("[evacuation]", "`evacuation`: there is no `[instances]`"),
        (
            "[evacuation]\nevery_ms = 1",
            "`evacuation.every_ms` is 1, not between 20 and 5000",
        ),
        (
            "[evacuation]\nevry_ms = 1",
            "`evacuation.evry_ms`: unknown field",
        ),
        (
            "[evacuation.regions]\nnorte = \"\"",
            "`evacuation.regions` has an empty name",
        ),
    ];
    for (text, expected) in cases {
        let error = OperatorConfig::parse(text).unwrap_err().to_string();
        assert!(
            error.starts_with(expected) && error.lines().count() == 1,
            "{text:?}: {error}"
        );
    }
    let large = "#".repeat(MAX_FILE_BYTES + 1);
    assert!(
        OperatorConfig::parse(&large)
            .unwrap_err()
            .to_string()
            .contains("over")
    );
}
