//! Many processes: that they come up, come back, and that none is left behind.

mod common;

use common::{all_kept, alone, folder, lives, play, processes, rig, run, runs, until};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;

/// Forty daemons and sixty nodos; then a zone loses its power and comes back.
#[test]
fn dozens_come_up_and_back() {
    let _alone = alone();
    let loss = "\n[[fault]]\nat = \"1 s\"\nuntil = \"2 s\"\nzone = \"b\"\n\
        what = { power-loss = { stale = \"1 s\", over = \"500 ms\" } }\n";
    let told = play(
        5,
        loss,
        &["--set", "tier.0.balancers=40", "--set", "tier.0.nodos=60"],
    );
    all_kept(&told);
    let processes = &told["processes"];
    assert_eq!(
        (&processes["starts"], &processes["nodos"]),
        (&60.into(), &60.into()),
        "{processes}"
    );
    assert!(
        processes["up-after-s"].as_f64().unwrap() < 10.0,
        "{processes}"
    );
    let step = |at: usize| told["steps"][at]["up"].clone();
    assert_eq!(
        (step(1), step(4)),
        (serde_json::json!([20, 30]), serde_json::json!([40, 60]))
    );
    assert!(told["served"].as_f64().unwrap() > 0.8, "{}", told["served"]);
}

/// Thirty daemons die and start within a second with lists from before a release, at a discovery that works
/// through two reads at a time.
#[test]
fn a_herd_asks_a_slow_discovery() {
    let _alone = alone();
    let herd = "asked = { reads = 20.0, patience = \"5 s\", within = \"200 ms\" }\n\
        [[fault]]\nat = \"500 ms\"\nuntil = \"2 s\"\npart = 0.34\nwhat = \"roll\"\n\
        [[fault]]\nat = \"6 s\"\nuntil = \"6500 ms\"\nwhat = { restart = { stale = \"60 s\" } }\n\
        [[bound]]\nname = \"back\"\nwhat = { back = { from = \"7 s\", part = 0.9, within = \"3 s\" } }\n";
    let told = play(10, herd, &["--set", "tier.0.balancers=30"]);
    all_kept(&told);
    assert_eq!(told["processes"]["starts"], 60);
    assert!(
        told["prices"]["list-reads"].as_u64().unwrap() >= 60,
        "{}",
        told["prices"]
    );
}

/// Whatever a process finds of what was written before, and whatever its clock says, it serves.
#[test]
fn files_and_clocks_may_be_wrong() {
    let _alone = alone();
    let mut faults = String::from("\n[clocks]\noffset = \"1 h\"\n");
    let kinds = ["kept", "lost", "torn", "empty", "stranger"];
    for (at, files) in kinds.into_iter().enumerate() {
        let (at, until) = (600 * at + 500, 600 * at + 700);
        faults += &format!("[[fault]]\nat = \"{at} ms\"\nuntil = \"{until} ms\"\npart = 0.5\n");
        faults += &format!("what = {{ restart = {{ stale = \"1 s\", files = \"{files}\" }} }}\n");
    }
    let told = play(5, &faults, &[]);
    all_kept(&told);
    assert_eq!(told["processes"]["starts"], 4 + 2 * kinds.len());
    assert!(told["served"].as_f64().unwrap() > 0.9, "{}", told["served"]);
}

/// Whether it is told to end or killed without a word, at whatever point: what it started ends, and the next run
/// tells of what was left and takes it away.
#[test]
fn nothing_outlives_the_rig() {
    let _alone = alone();
    for (signal, started) in [
        (Signal::SIGTERM, 4),
        (Signal::SIGINT, 2),
        (Signal::SIGKILL, 1),
        (Signal::SIGKILL, 4),
    ] {
        let folder = folder(4, "");
        let mut rig_run = run(folder.path(), &[]).spawn().unwrap();
        until("the processes start", || {
            runs(folder.path())
                .first()
                .is_some_and(|run| processes(run).len() >= started)
        });
        let left = runs(folder.path()).remove(0);
        kill(Pid::from_raw(rig_run.id() as i32), signal).unwrap();
        let ended = rig_run.wait().unwrap();
        let started = processes(&left);
        until("the processes end with it", || {
            !started.iter().any(|pid| lives(*pid))
        });
        if signal == Signal::SIGKILL {
            assert_eq!(ended.signal(), Some(9));
            let cleaned = rig(folder.path(), &["clean"]).output().unwrap();
            let said = String::from_utf8_lossy(&cleaned.stdout).into_owned();
            assert!(said.starts_with("1 earlier runs"), "{said}");
        } else {
            assert_eq!(ended.code(), Some(130));
        }
        assert!(runs(folder.path()).is_empty());
    }
}

/// What cannot be played is refused by its name, and so is a program that does not start, with what it said.
#[test]
fn what_is_wrong_is_named() {
    let refused = |more: &str, set: &[&str], part: &str| {
        let folder = folder(4, more);
        let output = run(folder.path(), set).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(3) && said.contains(part),
            "{:?}: {said}",
            output.status
        );
        assert!(runs(folder.path()).is_empty());
    };
    refused("", &["--set", "limits.http2=true"], "limits.http2");
    refused(
        "",
        &["--set", "tier.0.balancers=500"],
        "at most 100 balancers",
    );
    refused(
        "\n[[fault]]\nat = \"1 s\"\nwhat = \"replace\"\n",
        &[],
        "fault 1: replaced nodos",
    );
    refused("\n[front]\n", &[], "`front`");
    let library = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/cluster-test");
    let files = std::fs::read_dir(library)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let files: Vec<String> = files
        .map(|path| path.to_str().unwrap().to_owned())
        .collect();
    assert!(files.len() >= 6, "{files:?}");
    let arguments: Vec<&str> = std::iter::once("check")
        .chain(files.iter().map(String::as_str))
        .collect();
    let checked = rig(Path::new("."), &arguments).output().unwrap();
    assert!(
        checked.status.success(),
        "{}",
        String::from_utf8_lossy(&checked.stderr)
    );
    let folder = folder(4, "");
    // A program that takes this for a wrong command line.
    let other = env!("CARGO_BIN_EXE_woadstall-cluster-test");
    let output = rig(folder.path(), &["run", "scenario.toml", "--program", other])
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(3) && said.contains("did not start"),
        "{said}"
    );
}
