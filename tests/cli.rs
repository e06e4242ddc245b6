//! Tests of the command line: the `check` command, and the reports of configuration errors.

#[path = "common/program.rs"]
mod program;

use program::program_path;
use std::path::PathBuf;
use std::process::{Command, Output};
use woadstall_mock_servers::http1::{config, refused_address};

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn woadstall(arguments: &[&str]) -> Output {
    Command::new(program_path())
        .args(arguments)
        .env_remove("LB_CONFIG")
        .output()
        .unwrap()
}

fn check(files: &[&PathBuf]) -> (bool, Vec<String>) {
    let mut arguments = vec!["check"];
    arguments.extend(files.iter().map(|path| path.to_str().unwrap()));
    let output = woadstall(&arguments);
    let lines = String::from_utf8(output.stdout).unwrap();
    (
        output.status.success(),
        lines.lines().map(str::to_owned).collect(),
    )
}

#[test]
fn valid_files_pass_and_errors_are_one_line_each() {
    let valid = config(refused_address(), &[]);
    let good = file("good.json", &valid.to_string());
    let operator = file("operator.toml", "[plugin]\nconnections = 2\n");
    let (passed, lines) = check(&[&good, &operator]);
    assert!(
        passed && lines.len() == 2 && lines.iter().all(|line| line.ends_with(": sound")),
        "{lines:?}"
    );

    let mut invalid = valid.clone();
    invalid["settings"]["Limits"]["TryLimit"] = 0.into();
    let invalid = file("faulty.json", &invalid.to_string());
    let mut incomplete = valid.clone();
    incomplete.as_object_mut().unwrap().remove("limits");
    let incomplete = file("short.json", &incomplete.to_string());
    let unknown = file("unknown.toml", "[plugin]\nconections = 2\n");
    let other = file("other.yaml", "");
    let missing = PathBuf::from("nowhere.toml");
    let (passed, lines) = check(&[&good, &invalid, &incomplete, &unknown, &other, &missing]);
    assert!(!passed);
    let expected = [
        "sound",
        "`max_attempts` is 0",
        "`limits`",
        "`plugin.conections`",
        "neither",
        "No such file",
    ];
    assert_eq!(lines.len(), expected.len(), "{lines:?}");
    for (line, expected) in lines.iter().zip(expected) {
        assert!(line.contains(expected), "{line}: {expected}");
    }
}

#[test]
fn help_and_version_name_the_program_and_its_commands() {
    let help = woadstall(&["--help"]);
    let text = String::from_utf8(help.stdout).unwrap();
    assert!(
        help.status.success() && text.contains("check") && text.contains("LB_CONFIG"),
        "{text}"
    );
    let version = woadstall(&["--version"]);
    let text = String::from_utf8(version.stdout).unwrap();
    assert_eq!(
        text.trim(),
        format!("woadstall {}", env!("CARGO_PKG_VERSION"))
    );
    assert!(
        !woadstall(&["serve"]).status.success(),
        "an unknown command"
    );
    assert!(!woadstall(&["check"]).status.success(), "no file");
    // Without a command, the program serves; a failure to start is reported in one line.
    let serve = woadstall(&[]);
    let text = String::from_utf8(serve.stderr).unwrap();
    assert!(
        !serve.status.success()
            && text.contains("`LB_CONFIG` is not set")
            && text.lines().count() == 1,
        "{text}"
    );
}
