//! The pages against the repository: links and paths lead somewhere, and each event that can be logged is explained.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All files below a folder with this ending.
fn files_below(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(files_below(&path, ending));
        } else if path.to_str().unwrap().ends_with(ending) {
            files.push(path);
        }
    }
    files
}

/// The pages: README, change log and all of `docs`.
fn pages() -> Vec<PathBuf> {
    let mut pages = files_below(&root().join("docs"), ".md");
    pages.extend(["README.md", "CHANGELOG.md"].map(|name| root().join(name)));
    pages
}

/// What stands between each pair of these marks on one line.
fn between<'a>(text: &'a str, open: &'a str, close: &'a str) -> Vec<&'a str> {
    let after_marks = text.lines().flat_map(|line| line.split(open).skip(1));
    after_marks
        .filter_map(|rest| rest.split_once(close))
        .map(|(inside, _)| inside)
        .collect()
}

#[test]
fn links_lead_to_files() {
    let mut dead = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for link in between(&text, "](", ")") {
            let path = link.split('#').next().unwrap();
            let is_local = !path.is_empty() && !path.contains(':');
            if is_local && !page.parent().unwrap().join(path).exists() {
                dead.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(dead.is_empty(), "dead links:\n{}", dead.join("\n"));
}

/// Paths of the repository in code marks, save those with a blank, a wildcard or a placeholder. The change log tells of files
/// that were.
#[test]
fn paths_in_code_marks_exist() {
    let folders = [
        "crates/",
        "docs/",
        "scripts/",
        "scenarios/",
        "src/",
        "tests/",
    ];
    let mut dead = Vec::new();
    for page in pages() {
        if page.ends_with("CHANGELOG.md") {
            continue;
        }
        let text = fs::read_to_string(&page).unwrap();
        for (number, mark) in text.split('`').enumerate() {
            let is_path = folders.iter().any(|folder| mark.starts_with(folder));
            let is_plain = !mark.contains([' ', '*', '<', '{', '…', '\n']);
            // Texts between two marks are the odd ones.
            if number % 2 == 1 && is_path && is_plain {
                let path = mark.split(':').next().unwrap();
                if !root().join(path).exists() {
                    dead.push(format!("{}: {mark}", page.display()));
                }
            }
        }
    }
    assert!(dead.is_empty(), "paths of no file:\n{}", dead.join("\n"));
}

/// Sources of what runs in service: tests and the tools are left out.
fn service_sources() -> Vec<PathBuf> {
    let tools = [
        "benchmarks",
        "cluster-test",
        "control-simulation",
        "demo",
        "emulator",
        "emulator-cli",
        "fault-proxy",
        "load-test",
        "mock-servers",
    ];
    let mut sources = files_below(&root().join("src"), ".rs");
    for entry in fs::read_dir(root().join("crates")).unwrap() {
        let folder = entry.unwrap().path();
        if !tools.iter().any(|tool| folder.ends_with(tool)) {
            sources.extend(files_below(&folder.join("src"), ".rs"));
        }
    }
    sources.retain(|source| !source.to_str().unwrap().contains("tests"));
    sources
}

/// The event at the beginning of a text: words of small letters that are joined by underscores, before a blank or the end.
fn leading_event(text: &str) -> Option<&str> {
    let end = text
        .find(|letter: char| !letter.is_ascii_lowercase() && letter != '_')
        .unwrap_or(text.len());
    let is_whole = matches!(text.as_bytes().get(end), None | Some(b' '));
    (is_whole && text[..end].contains('_') && !text.starts_with('_')).then_some(&text[..end])
}

/// Names of events in a source: at the beginning of a text that a macro of the log or of formatting writes, or alone as the
/// value of `event`.
fn events_in(source: &str) -> BTreeSet<String> {
    let writers = [
        "log::error!(",
        "log::warn!(",
        "log::info!(",
        "log::debug!(",
        "log::trace!(",
        "format_args!(",
        "format!(",
        "write!(",
    ];
    let mut events = BTreeSet::new();
    for writer in writers {
        for after in source.split(writer).skip(1) {
            let after = after.trim_start();
            let text = after.strip_prefix("f,").unwrap_or(after).trim_start();
            let event = text
                .strip_prefix('"')
                .and_then(|text| leading_event(text.split('"').next().unwrap()));
            events.extend(event.map(str::to_owned));
        }
    }
    for after in source.split("let event = ").skip(1) {
        let value = after.split(';').next().unwrap();
        events.extend(value.split('"').skip(1).step_by(2).map(str::to_owned));
    }
    events
}

#[test]
fn each_event_that_can_be_logged_is_explained() {
    let logged: BTreeSet<String> = service_sources()
        .iter()
        .flat_map(|source| events_in(&fs::read_to_string(source).unwrap()))
        .collect();
    let page = fs::read_to_string(root().join("docs/log-events.md")).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let explained: BTreeSet<String> = rows
        .map(|row| row.split('`').next().unwrap().to_owned())
        .collect();
    let difference =
        |a: &BTreeSet<String>, b: &BTreeSet<String>| a.difference(b).cloned().collect::<Vec<_>>();
    assert!(logged.len() > 50, "the sources were read: {logged:?}");
    assert_eq!(difference(&logged, &explained), [""; 0], "not explained");
    assert_eq!(difference(&explained, &logged), [""; 0], "logged nowhere");
}
