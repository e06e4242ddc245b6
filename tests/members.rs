//! Membership among balancers, as the daemon has it: switched on by the operators' file alone.

mod common;

use common::*;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use woadstall_mock_servers::http1::{config, refused_address};

fn folder() -> PathBuf {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("members-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("key"), "00112233445566778899aabbccddeeff\n").unwrap();
    path
}

/// A balancer with an operators' file; where others find it.
fn start(folder: &Path, name: &str, seeds: &str) -> (Program, Operators, String) {
    let free = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let text = format!("[instances]\nlisten = \"{free}\"\nkey_file = \"key\"\nseeds = [{seeds}]\n");
    let file = folder.join(format!("{name}.toml"));
    std::fs::write(&file, text).unwrap();
    let environment = [
        ("LB_OPERATOR", file.to_str().unwrap().to_owned()),
        ("LB_NAME", name.to_owned()),
    ];
    let (program, admin) = Program::start_in(&config(refused_address(), &[]), &environment);
    (program, admin, free)
}

fn show_members(admin: &Operators, more: &[&str]) -> (bool, String) {
    let at = admin.address.to_string();
    let mut command = Command::new(common::program::program_path());
    let output = command
        .args(["instances", "--admin", &at])
        .args(more)
        .output()
        .unwrap();
    let said = if output.status.success() {
        output.stdout
    } else {
        output.stderr
    };
    (output.status.success(), String::from_utf8(said).unwrap())
}

/// Two find each other; operators see it by command, figures and a line; the one that is told to stop leaves.
#[test]
fn operators_see_the_members() {
    let folder = folder();
    let (mut one, admin, at) = start(&folder, "balancer-one", "");
    let (two, other, _) = start(&folder, "balancer-two", &format!("{at:?}"));
    until("they find each other", || {
        show_members(&admin, &["--json"]).1.contains("balancer-two")
    });
    until("both ways", || {
        show_members(&other, &["--json"]).1.contains("balancer-one")
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
    let figures = admin.figures();
    assert_eq!(
        figures[r#"balancer_members{state="alive"}"#], 1.0,
        "{figures:?}"
    );
    assert!(figures["balancer_members_bytes"] > 0.0 && figures["balancer_members_cut_off"] == 0.0);
    one.logged("membership: member joined name=balancer-two zone=a");
    two.terminate();
    one.logged("membership: member left name=balancer-two");
    std::fs::remove_dir_all(folder).unwrap();
}

/// Without the section, operators' calls are what they were, and the command says why there is nothing.
#[test]
fn absent_there_is_nothing_of_it() {
    let (_program, admin) = Program::start_with_admin(&config(refused_address(), &[]));
    assert_eq!(admin.get("/control/instances").status(), 404);
    assert!(!admin.figures().keys().any(|name| name.contains("members")));
    let (sound, text) = show_members(&admin, &[]);
    assert!(
        !sound && text.contains("no `[instances]` in its operators' file"),
        "{text}"
    );
}

/// What cannot work is refused before anything listens, by the field and the file.
#[test]
fn an_invalid_file_is_rejected_by_its_field() {
    let folder = std::env::temp_dir().join(format!("woadstall-members-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("operator.toml");
    let cases = [
        ("key_file = \"absent\"", "`key_file`"),
        ("insecure = true\nseeds_file = \"absent\"", "`seeds_file`"),
        ("insecure = true\nname = \"a b\"", "`instances.name`"),
        ("", "`instances.key_file`"),
    ];
    for (more, field) in cases {
        std::fs::write(
            &file,
            format!("[instances]\nlisten = \"127.0.0.1:0\"\n{more}\n"),
        )
        .unwrap();
        let mut command = Command::new(common::program::program_path());
        let checked = command.arg("check").arg(&file).output().unwrap();
        let said = String::from_utf8(checked.stdout).unwrap();
        assert!(
            !checked.status.success() && said.contains(field) && said.lines().count() == 1,
            "{said}"
        );
        let environment = [("LB_OPERATOR", file.to_str().unwrap().to_owned())];
        let (status, said) =
            run_to_end_in(&config(refused_address(), &[]).to_string(), &environment);
        assert!(
            !status.success() && said.contains(field) && said.lines().count() == 1,
            "{said}"
        );
    }
    std::fs::remove_dir_all(folder).unwrap();
}
