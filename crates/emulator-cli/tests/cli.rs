//! End-to-end tests of the `woadstall-emulator-cli` binary.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SCENARIO: &str = r#"
name = "tiny"
time = "4 s"
warm-up = "1 s"
zones = ["a"]

[[class]]
name = "look"
effect = "safe"
aim = "100 ms"
deadline = "500 ms"
service = { exponential = "20 ms" }

[[tier]]
name = "only"
balancers = 2
nodos = 4
workers = 2

[[callers]]
name = "all"
classes = { look = 1.0 }
load = { constant = 200.0 }
"#;

fn emulator(folder: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_woadstall-emulator-cli"));
    command
        .current_dir(folder)
        .args(arguments)
        .env_remove("WOADSTALL_LOG")
        .output()
        .unwrap()
}

fn text(output: &[u8]) -> String {
    String::from_utf8_lossy(output).into_owned()
}

fn folder() -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("tiny.toml"), SCENARIO).unwrap();
    let path = folder.path().to_owned();
    (folder, path)
}

/// A sweep of 16 runs: two values of a key, two policies and four seeds. The path of the output file follows.
const SWEEP: [&str; 9] = [
    "sweep",
    "tiny.toml",
    "--seeds",
    "1..4",
    "--policies",
    "woadstall,random",
    "--vary",
    "tier.0.nodos=2,4",
    "--out",
];

/// `run` prints the rules as text and the row as JSON, and writes a page with plots.
#[test]
fn run_prints_rules_and_draws_plots() {
    let (_guard, folder) = folder();
    let output = emulator(&folder, &["run", "tiny.toml", "--plot", "tiny.html"]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("rule 4 (cold nodos are not pushed over): kept"));
    let page = std::fs::read_to_string(folder.join("tiny.html")).unwrap();
    assert!(page.matches("<svg").count() >= 8 && page.ends_with("</html>\n"));
    assert!(
        !page.contains("src=") && !page.contains("href="),
        "the page must load nothing over the network"
    );
    let output = emulator(
        &folder,
        &[
            "run",
            "tiny.toml",
            "--json",
            "--seed",
            "2",
            "--set",
            "time=2 s",
        ],
    );
    let row: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (&row["seed"], &row["set"]["time"]),
        (&2.into(), &"2 s".into())
    );
    assert_eq!(row["end"]["steps"].as_array().unwrap().len(), 2);
}

/// `report --svg` writes each plot of the timelines to a separate SVG file.
#[test]
fn report_writes_plots_as_files() {
    let (_guard, folder) = folder();
    let rows = ["--seeds", "1", "--timeline", "--out", "time.jsonl"];
    assert_eq!(
        emulator(&folder, &[&["sweep", "tiny.toml"], &rows[..]].concat())
            .status
            .code(),
        Some(0)
    );
    let output = emulator(
        &folder,
        &[
            "report",
            "time.jsonl",
            "--out",
            "time.html",
            "--svg",
            "plots",
        ],
    );
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let plot = std::fs::read_to_string(folder.join("plots/plot-008.svg")).unwrap();
    assert!(plot.starts_with("<svg") && plot.ends_with("</svg>") && plot.contains("xmlns"));
}

/// A sweep writes the same bytes with any number of threads, also when it is interrupted in the middle of a line and
/// resumed.
#[test]
fn sweep_resumes_where_it_was_interrupted() {
    let (_guard, folder) = folder();
    let sweep = |out: &str, threads: &str| {
        let output = emulator(
            &folder,
            &[&SWEEP[..], &[out, "--threads", threads]].concat(),
        );
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        std::fs::read_to_string(folder.join(out)).unwrap()
    };
    let complete = sweep("one.jsonl", "1");
    assert_eq!(complete.lines().count(), 16);
    assert!(sweep("four.jsonl", "4") == complete);
    std::fs::write(folder.join("cut.jsonl"), &complete[..complete.len() / 2]).unwrap();
    assert!(sweep("cut.jsonl", "2") == complete);
    // A sweep refuses to resume a file with rows of another sweep.
    let output = emulator(
        &folder,
        &["sweep", "tiny.toml", "--seeds", "9", "--out", "one.jsonl"],
    );
    assert_eq!(output.status.code(), Some(3));
    let more_seeds = emulator(
        &folder,
        &[
            "sweep",
            "tiny.toml",
            "--seeds",
            "1..20",
            "--out",
            "one.jsonl",
        ],
    );
    assert!(
        text(&more_seeds.stderr).contains("line 1: a row of another sweep"),
        "{}",
        text(&more_seeds.stderr)
    );
    assert!(
        std::fs::read_to_string(folder.join("one.jsonl")).unwrap() == complete,
        "a refused sweep must keep the existing rows"
    );
}

#[test]
fn compare_pairs_by_seed() {
    let (_guard, folder) = folder();
    let output = emulator(&folder, &[&SWEEP[..], &["rows.jsonl"]].concat());
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let compare =
        |options: &[&str]| emulator(&folder, &[&["compare", "rows.jsonl"], options].concat());
    let output = compare(&[]);
    assert_eq!(output.status.code(), Some(3));
    assert!(text(&output.stderr).contains("name one"));
    let sides = [
        "--left-policy",
        "woadstall",
        "--right-policy",
        "random",
        "--json",
    ];
    let output = compare(&sides);
    let rows: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let rows = rows.as_array().unwrap();
    assert_eq!(rows.len(), 2);
    assert!(rows.iter().all(|row| row["pairs"] == 4), "{rows:?}");
    // With half the hosts, no policy can serve all calls, and random choice serves the fewest.
    assert!(rows[0]["difference"].as_f64().unwrap() < 0.0, "{rows:?}");
    assert_eq!(
        compare(&[&sides[..], &["--fail-worse"]].concat())
            .status
            .code(),
        Some(1)
    );
    let same_policy = [
        "--left-policy",
        "random",
        "--right-policy",
        "random",
        "--fail-worse",
    ];
    assert_eq!(compare(&same_policy).status.code(), Some(0));
    let output = emulator(&folder, &["report", "rows.jsonl", "--out", "rows.html"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(
        std::fs::read_to_string(folder.join("rows.html"))
            .unwrap()
            .contains("tier.0.nodos=2")
    );
}

#[test]
fn errors_name_their_cause_and_set_the_exit_code() {
    let (_guard, folder) = folder();
    let assert_fails = |arguments: &[&str], code: i32, message: &str| {
        let output = emulator(&folder, arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}");
        assert!(
            text(&output.stderr).contains(message),
            "{arguments:?}: {}",
            text(&output.stderr)
        );
    };
    assert_fails(&["run", "none.toml"], 3, "none.toml");
    assert_fails(
        &["run", "tiny.toml", "--set", "tier.7.nodos=1"],
        3,
        "1 entries",
    );
    assert_fails(&["run", "tiny.toml", "--set", "nonsense=1"], 3, "nonsense");
    assert_fails(&["run", "tiny.toml", "--set", "nonsense"], 2, "KEY=VALUE");
    assert_fails(
        &["run", "tiny.toml", "--policy", "best"],
        2,
        "there is no policy",
    );
    assert_fails(
        &["sweep", "tiny.toml", "--seeds", "x", "--out", "x.jsonl"],
        3,
        "no seed",
    );
    assert_fails(&["explain", "tiny.toml", "99999999"], 3, "no call");
    std::fs::write(folder.join("bad.jsonl"), "{}\n{}\n").unwrap();
    assert_fails(&["report", "bad.jsonl", "--out", "x.html"], 3, "line 1");
    let output = emulator(&folder, &["--log", "json", "run", "none.toml"]);
    assert!(serde_json::from_slice::<serde_json::Value>(&output.stderr).is_ok());
    let output = emulator(&folder, &["explain", "tiny.toml", "5"]);
    assert!(
        text(&output.stdout).contains("its caller has Served"),
        "{}",
        text(&output.stdout)
    );
    let output = emulator(&folder, &["check", "tiny.toml"]);
    assert_eq!(text(&output.stdout), "tiny.toml: sound\n");
}
