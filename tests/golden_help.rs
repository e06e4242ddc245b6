//! Golden tests of the output of the commands: help, tables, findings and errors.

#[path = "common/program.rs"]
mod program;

use program::program_path;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn golden_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

fn assert_golden(name: &str, text: &str) {
    let path = golden_directory().join(name);
    let expected = std::fs::read_to_string(&path).unwrap();
    assert_eq!(text, expected, "{name}");
}

fn run(arguments: &[&str]) -> Output {
    Command::new(program_path())
        .args(arguments)
        .current_dir(golden_directory())
        .env_remove("LB_CONFIG")
        .env_remove("WOADSTALL_BOOT")
        .output()
        .unwrap()
}

/// Runs the program; returns its exit code, standard output and standard error as text.
fn output_text(arguments: &[&str]) -> String {
    let output = run(arguments);
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    let code = output.status.code().unwrap();
    format!(
        "exit code {code}\n--- output\n{}--- errors\n{}",
        text(output.stdout),
        text(output.stderr)
    )
}

#[test]
fn help_is_unchanged() {
    let mut text = String::new();
    for arguments in [
        &["--help"] as &[&str],
        &["front", "--help"],
        &["core", "--help"],
        &["why", "--help"],
        &["status", "--help"],
        &["check-system", "--help"],
    ] {
        text += &format!(
            "=== woadstall {}\n{}\n",
            arguments.join(" "),
            output_text(arguments)
        );
    }
    assert_golden("help.txt", &text);
}

#[test]
fn wrong_command_lines_are_refused_as_before() {
    let mut text = String::new();
    for arguments in [
        &["front"] as &[&str],
        &["front", "--reports"],
        &["front", "--reports", "x"],
        &["front", "more"],
        &["core"],
        &["core", "more"],
        &["why", "--plot"],
        &["why", "nowhere.log"],
        &["status"],
        &["status", "127.0.0.1:1"],
        &["check-system", "nowhere.json"],
    ] {
        text += &format!(
            "=== woadstall {}\n{}\n",
            arguments.join(" "),
            output_text(arguments)
        );
    }
    assert_golden("wrong-command-lines.txt", &text);
}

#[test]
fn why_prints_the_same_tables() {
    assert_golden(
        "why.txt",
        &output_text(&["why", "front-1.log", "front-2.log"]),
    );
    assert_golden(
        "why-cut.txt",
        &output_text(&["why", "front-1.log", "cut.log"]),
    );
}

#[test]
fn why_draws_the_same_plot() {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("why-{}.svg", std::process::id()));
    let output = run(&["why", "--plot", path.to_str().unwrap(), "front-1.log"]);
    assert!(output.status.success());
    assert_golden("why.svg", &std::fs::read_to_string(&path).unwrap());
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn check_system_prints_the_same_findings() {
    assert_golden(
        "check-sound.txt",
        &output_text(&["check-system", "boot.json", "configuration.json"]),
    );
    assert_golden(
        "check-faults.txt",
        &output_text(&[
            "check-system",
            "boot.json",
            "boot-faults.json",
            "configuration-faults.json",
            "cut.log",
        ]),
    );
}
