//! Tests of the membership of balancers in the daemon; only the operator file enables it.

mod common;

use common::*;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use woadstall_mock_servers::http1::{config, refused_address};

fn directory() -> PathBuf {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("members-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("key"), "00112233445566778899aabbccddeeff\n").unwrap();
    path
}

/// Starts a balancer with an operator file; returns the program, its admin client and its membership address.
fn start(directory: &Path, name: &str, seeds: &str) -> (Program, AdminClient, String) {
    let membership_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let text = format!(
        "[instances]\nlisten = \"{membership_address}\"\nkey_file = \"key\"\nseeds = [{seeds}]\n"
    );
    let file = directory.join(format!("{name}.toml"));
    std::fs::write(&file, text).unwrap();
    let environment = [
        ("LB_OPERATOR", file.to_str().unwrap().to_owned()),
        ("LB_NAME", name.to_owned()),
    ];
    let (program, admin) =
        Program::start_with_admin_and_env(&config(refused_address(), &[]), &environment);
    (program, admin, membership_address)
}

/// Runs the `instances` command; returns whether it succeeded, and its output or its error message.
fn show_members(admin: &AdminClient, extra: &[&str]) -> (bool, String) {
    let address = admin.address.to_string();
    let mut command = Command::new(common::program::program_path());
    let output = command
        .args(["instances", "--admin", &address])
        .args(extra)
        .output()
        .unwrap();
    let text = if output.status.success() {
        output.stdout
    } else {
        output.stderr
    };
    (output.status.success(), String::from_utf8(text).unwrap())
}

/// Two balancers discover each other; the command, the metrics and the log show the members. A balancer
/// that gets SIGTERM leaves the group.
#[test]
fn operators_see_the_members() {
    let directory = directory();
    let (mut first, admin, address) = start(&directory, "balancer-one", "");
    let (second, other_admin, _) = start(&directory, "balancer-two", &format!("{address:?}"));
    wait_until("the first balancer lists the second", || {
        show_members(&admin, &["--json"]).1.contains("balancer-two")
    });
    wait_until("the second balancer lists the first", || {
        show_members(&other_admin, &["--json"])
            .1
            .contains("balancer-one")
    });
    let (_, text) = show_members(&admin, &[]);
    assert!(text.starts_with("balancer-one in zone a"), "{text}");
    assert!(
        text.contains("fleet of 2") && text.contains("no way between balancers is told to be cut"),
        "{text}"
    );
    assert!(
        text.lines()
            .any(|line| line.starts_with("balancer-two") && line.contains("alive")),
        "{text}"
    );
    let metrics = admin.metrics();
    assert_eq!(
        metrics[r#"balancer_members{state="alive"}"#], 1.0,
        "{metrics:?}"
    );
    assert!(metrics["balancer_members_bytes"] > 0.0 && metrics["balancer_members_cut_off"] == 0.0);
    first.wait_for_log("membership: member joined name=balancer-two zone=a");
    second.terminate();
    first.wait_for_log("membership: member left name=balancer-two");
    std::fs::remove_dir_all(directory).unwrap();
}

/// Without the section `[instances]`, the operator API has no such calls and metrics, and the command fails
/// with the reason.
#[test]
fn without_the_section_there_are_no_calls_and_no_metrics() {
    let (_program, admin) = Program::start_with_admin(&config(refused_address(), &[]));
    assert_eq!(admin.get("/control/instances").status(), 404);
    assert!(!admin.metrics().keys().any(|name| name.contains("members")));
    let (succeeded, text) = show_members(&admin, &[]);
    assert!(
        !succeeded && text.contains("no `[instances]` in its operators' file"),
        "{text}"
    );
}

/// The program must reject an invalid operator file before it listens, with one line that names the field.
#[test]
fn an_invalid_file_is_rejected_by_its_field() {
    let directory = std::env::temp_dir().join(format!("woadstall-members-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("operator.toml");
    let cases = [
        ("key_file = \"absent\"", "`key_file`"),
        ("insecure = true\nseeds_file = \"absent\"", "`seeds_file`"),
        ("insecure = true\nname = \"a b\"", "`instances.name`"),
        ("", "`instances.key_file`"),
    ];
    for (extra, field) in cases {
        std::fs::write(
            &file,
            format!("[instances]\nlisten = \"127.0.0.1:0\"\n{extra}\n"),
        )
        .unwrap();
        let mut command = Command::new(common::program::program_path());
        let checked = command.arg("check").arg(&file).output().unwrap();
        let text = String::from_utf8(checked.stdout).unwrap();
        assert!(
            !checked.status.success() && text.contains(field) && text.lines().count() == 1,
            "{text}"
        );
        let environment = [("LB_OPERATOR", file.to_str().unwrap().to_owned())];
        let (status, text) =
            run_to_end_with(&config(refused_address(), &[]).to_string(), &environment);
        assert!(
            !status.success() && text.contains(field) && text.lines().count() == 1,
            "{text}"
        );
    }
    std::fs::remove_dir_all(directory).unwrap();
}
