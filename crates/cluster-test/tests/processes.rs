//! Start and restart of many processes, which all end with their run.

mod common;

use common::{
    assert_passed, command, is_running, recorded_pids, run_command, run_exclusively, run_folders,
    run_scenario, scenario_folder, wait_until,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;

/// Forty balancers and sixty upstreams start; then one of the two zones loses power, and its processes restart.
#[test]
fn dozens_of_processes_start_and_restart() {
    let _exclusive = run_exclusively();
    let power_loss = "\n[[fault]]\nat = \"1 s\"\nuntil = \"2 s\"\nzone = \"b\"\n\
        what = { power-loss = { stale = \"1 s\", over = \"500 ms\" } }\n";
    let result = run_scenario(
        5,
        power_loss,
        &["--set", "tier.0.balancers=40", "--set", "tier.0.nodos=60"],
    );
    assert_passed(&result);
    let processes = &result["processes"];
    assert_eq!(
        (&processes["starts"], &processes["nodos"]),
        (&60.into(), &60.into()),
        "{processes}"
    );
    assert!(
        processes["up-after-s"].as_f64().unwrap() < 10.0,
        "{processes}"
    );
    let running_at_step = |index: usize| result["steps"][index]["up"].clone();
    assert_eq!(
        (running_at_step(1), running_at_step(4)),
        (serde_json::json!([20, 30]), serde_json::json!([40, 60]))
    );
    assert!(
        result["served"].as_f64().unwrap() > 0.8,
        "{}",
        result["served"]
    );
}

/// After a rolling restart of upstreams, thirty balancers are killed and start at once with lists from before the rolling
/// restart, while the discovery service serves a limited rate of reads.
#[test]
fn slow_discovery_serves_a_thundering_herd() {
    let _exclusive = run_exclusively();
    let faults = "asked = { reads = 20.0, patience = \"5 s\", within = \"200 ms\" }\n\
        [[fault]]\nat = \"500 ms\"\nuntil = \"2 s\"\npart = 0.34\nwhat = \"roll\"\n\
        [[fault]]\nat = \"6 s\"\nuntil = \"6500 ms\"\nwhat = { restart = { stale = \"60 s\" } }\n\
        [[bound]]\nname = \"back\"\nwhat = { back = { from = \"7 s\", part = 0.9, within = \"3 s\" } }\n";
    let result = run_scenario(10, faults, &["--set", "tier.0.balancers=30"]);
    assert_passed(&result);
    assert_eq!(result["processes"]["starts"], 60);
    assert!(
        result["prices"]["list-reads"].as_u64().unwrap() >= 60,
        "{}",
        result["prices"]
    );
}

/// A process serves calls when the files of its previous incarnation are missing or damaged, and when its clock is wrong.
#[test]
fn damaged_files_and_wrong_clocks_are_tolerated() {
    let _exclusive = run_exclusively();
    let mut faults = String::from("\n[clocks]\noffset = \"1 h\"\n");
    let kinds = ["kept", "lost", "torn", "empty", "stranger"];
    for (index, files) in kinds.into_iter().enumerate() {
        let (begin_ms, end_ms) = (600 * index + 500, 600 * index + 700);
        faults +=
            &format!("[[fault]]\nat = \"{begin_ms} ms\"\nuntil = \"{end_ms} ms\"\npart = 0.5\n");
        faults += &format!("what = {{ restart = {{ stale = \"1 s\", files = \"{files}\" }} }}\n");
    }
    let result = run_scenario(5, &faults, &[]);
    assert_passed(&result);
    assert_eq!(result["processes"]["starts"], 4 + 2 * kinds.len());
    assert!(
        result["served"].as_f64().unwrap() > 0.9,
        "{}",
        result["served"]
    );
}

/// When a run is terminated or killed, during or after the start of its processes, all its processes end. The `clean`
/// command removes the run directory of a killed run.
#[test]
fn no_process_outlives_its_run() {
    let _exclusive = run_exclusively();
    for (signal, min_started) in [
        (Signal::SIGTERM, 4),
        (Signal::SIGINT, 2),
        (Signal::SIGKILL, 1),
        (Signal::SIGKILL, 4),
    ] {
        let folder = scenario_folder(4, "");
        let mut run_process = run_command(folder.path(), &[]).spawn().unwrap();
        wait_until("the processes are started", || {
            run_folders(folder.path())
                .first()
                .is_some_and(|run| recorded_pids(run).len() >= min_started)
        });
        let run_folder = run_folders(folder.path()).remove(0);
        kill(Pid::from_raw(run_process.id() as i32), signal).unwrap();
        let ended = run_process.wait().unwrap();
        let pids = recorded_pids(&run_folder);
        wait_until("the processes end with their run", || {
            !pids.iter().any(|pid| is_running(*pid))
        });
        if signal == Signal::SIGKILL {
            assert_eq!(ended.signal(), Some(9));
            let cleaned = command(folder.path(), &["clean"]).output().unwrap();
            let stdout = String::from_utf8_lossy(&cleaned.stdout).into_owned();
            assert!(stdout.starts_with("1 earlier runs"), "{stdout}");
        } else {
            assert_eq!(ended.code(), Some(130));
        }
        assert!(run_folders(folder.path()).is_empty());
    }
}

/// Unsupported settings and faults are rejected by name. The error for a program that does not start has the last line of
/// its log.
#[test]
fn invalid_input_is_rejected_by_name() {
    let assert_rejected = |additions: &str, set: &[&str], expected_text: &str| {
        let folder = scenario_folder(4, additions);
        let output = run_command(folder.path(), set).output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(3) && stderr.contains(expected_text),
            "{:?}: {stderr}",
            output.status
        );
        assert!(run_folders(folder.path()).is_empty());
    };
    assert_rejected("", &["--set", "limits.http2=true"], "limits.http2");
    assert_rejected(
        "",
        &["--set", "tier.0.balancers=500"],
        "at most 100 balancers",
    );
    assert_rejected(
        "\n[[fault]]\nat = \"1 s\"\nwhat = \"replace\"\n",
        &[],
        "fault 1: replaced nodos",
    );
    assert_rejected("\n[front]\n", &[], "`front`");
    let scenario_directory =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/cluster-test");
    let files = std::fs::read_dir(scenario_directory)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let files: Vec<String> = files
        .map(|path| path.to_str().unwrap().to_owned())
        .collect();
    assert!(files.len() >= 6, "{files:?}");
    let arguments: Vec<&str> = std::iter::once("check")
        .chain(files.iter().map(String::as_str))
        .collect();
    let checked = command(Path::new("."), &arguments).output().unwrap();
    assert!(
        checked.status.success(),
        "{}",
        String::from_utf8_lossy(&checked.stderr)
    );
    let folder = scenario_folder(4, "");
    // This program exits at start-up because it rejects the command line of the balancer.
    let other_program = env!("CARGO_BIN_EXE_woadstall-cluster-test");
    let output = command(
        folder.path(),
        &["run", "scenario.toml", "--program", other_program],
    )
    .output()
    .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(3) && stderr.contains("did not start"),
        "{stderr}"
    );
}
