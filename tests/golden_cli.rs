//! Golden tests of the command line: the help of each command, the errors, the findings of
//! `woadstall check`, and the reports as text.

#[path = "common/program.rs"]
mod program;

use program::program_path;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::Command;
use woadstall::net::{domain_status, membership_report};
use woadstall_mock_servers::http1::{config, refused_address};

/// Asserts that `text` equals the golden file `name`.
fn assert_golden(name: &str, text: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    let expected = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    assert_eq!(text, expected, "{name}");
}

/// Runs the program; returns its standard output, its standard error and its exit code.
fn output(directory: &Path, arguments: &[&str]) -> String {
    let mut command = Command::new(program_path());
    for variable in [
        "LB_CONFIG",
        "LB_NAME",
        "LB_LISTEN",
        "LB_DISCOVERY",
        "LB_ADMIN",
        "LB_OPERATOR",
    ] {
        command.env_remove(variable);
    }
    let output = command
        .current_dir(directory)
        .args(arguments)
        .output()
        .unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    format!("{text}exit code {}\n", output.status.code().unwrap())
}

fn directory(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("golden-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

#[test]
fn the_help_of_every_command() {
    let commands = [
        "",
        "check",
        "instances",
        "zone",
        "zone leave",
        "zone hold",
        "zone return",
        "zone status",
        "region",
        "region leave",
        "region hold",
        "region return",
        "region status",
        "nodo",
        "nodo leave",
        "nodo hold",
        "nodo return",
        "nodo status",
    ];
    for command in commands {
        let mut arguments: Vec<&str> = command.split(' ').filter(|word| !word.is_empty()).collect();
        arguments.push("--help");
        let name = ["cli-help", command].join(" ").trim().replace(' ', "-");
        assert_golden(&format!("{name}.txt"), &output(Path::new("/"), &arguments));
    }
}

#[test]
fn errors_of_the_command_line() {
    let mut text = String::new();
    let commands = [
        "serve",
        "check",
        "zone",
        "zone burn a",
        "zone leave",
        "zone leave a --for soon",
        "zone leave a --admin nowhere",
        "zone leave a",
        "zone leave a/b --admin 127.0.0.1:1",
        "zone status",
        "instances",
        "instances --admin 127.0.0.1:1",
        "",
    ];
    for command in commands {
        let arguments: Vec<&str> = command.split(' ').filter(|word| !word.is_empty()).collect();
        text += &format!(
            "$ woadstall {command}\n{}\n",
            output(Path::new("/"), &arguments)
        );
    }
    assert_golden("command-errors.txt", &text);
}

/// Returns the JSON value at a path of keys and array indices.
fn value_at<'a>(value: &'a mut Value, path: &[&str]) -> &'a mut Value {
    path.iter()
        .fold(value, |value, key| match key.parse::<usize>() {
            Ok(position) => &mut value[position],
            Err(_) => &mut value[*key],
        })
}

#[test]
fn the_findings_of_a_check_of_configurations() {
    let directory = directory("check-json");
    let valid = config(refused_address(), &[]);
    let mut files: Vec<(String, String)> = vec![
        ("sound.json".to_owned(), valid.to_string()),
        ("empty.json".to_owned(), String::new()),
        ("list.json".to_owned(), "[]".to_owned()),
        ("more.json".to_owned(), format!("{valid} x")),
    ];
    for key in ["discovery", "limits", "listen", "seed", "settings"] {
        let mut without = valid.clone();
        without.as_object_mut().unwrap().remove(key).unwrap();
        files.push((format!("without-{key}.json"), without.to_string()));
    }
    let changed = [
        (&["listen"][..], json!("here")),
        (&["admin"], json!("there")),
        (&["discovery"], json!("nowhere")),
        (&["seed"], json!("xyz")),
        (&["limits", "sockets"], json!(95)),
        (&["limits", "memory_mb"], json!(7)),
        (&["limits", "memory_mb"], json!("7")),
        (&["known"], json!({"targets": []})),
        (&["known"], json!({"rev": 1, "targets": [{"uid": "a"}]})),
        (&["settings"], json!({})),
        (&["settings", "Classes"], json!([])),
        (&["settings", "Classes", "0", "DeadlineNs"], json!(0)),
        (&["settings", "Classes", "0", "AimNs"], json!(0)),
        (&["settings", "Classes", "1", "Group"], json!("x")),
        (&["settings", "Limits", "TryLimit"], json!(0)),
        (&["settings", "Safety", "StartCapacity"], json!(2)),
        (&["settings", "Safety", "TipMultiple"], json!(-1)),
        (&["settings", "Tenants", "0", "QuotaRps"], json!(-1)),
        (&["settings", "Zone"], json!(1)),
    ];
    for (number, (path, value)) in changed.into_iter().enumerate() {
        let mut file = valid.clone();
        *value_at(&mut file, path) = value;
        files.push((
            format!("{number:02}-{}.json", path.join("-")),
            file.to_string(),
        ));
    }
    assert_golden("check-json.txt", &check_output(&directory, &files));
}

#[test]
fn the_findings_of_a_check_of_operator_files() {
    let directory = directory("check-toml");
    let instances = |more: &str| format!("[instances]\nlisten = \"127.0.0.1:0\"\n{more}\n");
    let files = [
        ("sound.toml", "[plugin]\nconnections = 2\n".to_owned()),
        ("empty.toml", String::new()),
        ("unknown.toml", "[plugin]\nconections = 2\n".to_owned()),
        ("broken.toml", "[plugin\n".to_owned()),
        ("insecure.toml", instances("insecure = true")),
        ("no-key.toml", instances("")),
        ("absent-key.toml", instances("key_file = \"absent\"")),
        (
            "absent-seeds.toml",
            instances("insecure = true\nseeds_file = \"absent\""),
        ),
        ("name.toml", instances("insecure = true\nname = \"a b\"")),
        ("evacuation.toml", "[evacuation]\n".to_owned()),
        ("other.yaml", String::new()),
        ("no-ending", String::new()),
    ];
    let files = files.map(|(name, text)| (name.to_owned(), text));
    let missing = output(&directory, &["check", "missing.toml"]);
    assert_golden(
        "check-toml.txt",
        &(check_output(&directory, &files) + &missing),
    );
}

/// Writes the files, runs `woadstall check` on all of them, and returns its output.
fn check_output(directory: &Path, files: &[(String, String)]) -> String {
    let mut arguments = vec!["check"];
    for (name, text) in files {
        std::fs::write(directory.join(name), text).unwrap();
        arguments.push(name);
    }
    let text = output(directory, &arguments);
    std::fs::remove_dir_all(directory).unwrap();
    std::fs::create_dir_all(directory).unwrap();
    text
}

#[test]
fn a_report_of_members_as_people_read_it() {
    let report = |more: Value| {
        let member = |name: &str, state: &str, found: Value, suspected: Value| {
            json!({"name": name, "zone": "norte", "region": null, "at": "10.0.0.6:7946", "started_ms": 2,
                "state": state, "to": "works", "from": "unknown", "for_s": 7300.0, "found_s": found,
                "suspected_by": suspected})
        };
        let mut report = json!({"name": "balancer-one", "zone": "a", "at": "10.0.0.5:7946", "started_ms": 1,
            "for_s": 119.96, "least": 2, "most": 2, "own_zone": 0.5, "other_zones": 1.0, "cut_off": false,
            "slowed": 1, "stalls": 3, "facts": 4, "came": 5, "sent": 6, "bytes": 7999,
            "counts": {"other_version": 11, "other_key": 12, "had_before": 13, "no_message": 14,
                "turned_away": 15, "not_sent": 16, "held_back": 17},
            "members": [member("balancer-two", "alive", json!(0.5), json!([])),
                member("b3", "suspect", Value::Null, json!(["balancer-two", "b4"]))],
            "ways": [{"from": "a", "to": "norte", "of": 2, "cut": 0}]});
        report
            .as_object_mut()
            .unwrap()
            .extend(more.as_object().unwrap().clone());
        let read = membership_report::read(report.to_string().as_bytes()).unwrap();
        assert_eq!(serde_json::to_value(&read).unwrap(), report);
        let mut text = Vec::new();
        membership_report::write(&read, &mut text).unwrap();
        String::from_utf8(text).unwrap()
    };
    let ways = json!([{"from": "a", "to": "norte", "of": 2, "cut": 1},
        {"from": "norte", "to": "norte", "of": 6, "cut": 0}]);
    let cut = json!({"most": 9, "cut_off": true, "slowed": 4, "members": [], "ways": ways, "for_s": 120.0});
    let texts = [report(json!({})), report(cut)].join("\n---\n");
    assert_golden("instances.txt", &texts);
    let error = membership_report::read(b"{}").unwrap_err().to_string();
    assert_eq!(
        error,
        "not an answer of a balancer: missing field `name` at line 1 column 2"
    );
}

#[test]
fn the_status_of_failure_domains_as_text() {
    let place = |name: &str, more: Value| {
        let mut place = json!({"name": name, "state": "in use", "epoch": 0, "for_s": 0.0, "share": 1.0,
            "why": "nothing is known", "against": 0, "for_it": 0, "relapses": 0, "nodos": 0, "order": null,
            "order_ends_s": null, "not_followed": []});
        place
            .as_object_mut()
            .unwrap()
            .extend(more.as_object().unwrap().clone());
        place
    };
    let full = json!({"state": "left", "epoch": 7, "for_s": 12.34, "share": 0.256, "why": "it fails",
        "against": 3, "for_it": 1, "relapses": 2, "nodos": 5, "order": "leave", "order_ends_s": 59.6,
        "not_followed": ["balancer-two", "balancer-three"]});
    let status = json!({"places": [place("zone a", json!({})), place("zone b", full),
        place("region west", json!({}))], "odd": {"balancer-four": 4, "balancer-five": 5}, "unread": 6});
    let status: woadstall_evacuation::Status = serde_json::from_value(status).unwrap();
    let mut text = String::new();
    for (kind, name) in [
        ("zone", None),
        ("zone", Some("b")),
        ("zone", Some("c")),
        ("nodo", None),
    ] {
        let mut written = Vec::new();
        domain_status::write(&status, kind, name, &mut written).unwrap();
        text += &format!("{kind} {name:?}\n{}\n", String::from_utf8(written).unwrap());
    }
    assert_golden("places.txt", &text);
}
