//! Tests of the documentation against the repository: links and paths must refer to existing files, and each log event
//! must be documented.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns all files below a directory whose paths end with `suffix`.
fn files_below(directory: &Path, suffix: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(files_below(&path, suffix));
        } else if path.to_str().unwrap().ends_with(suffix) {
            files.push(path);
        }
    }
    files
}

/// Returns the documentation: README, change log and all pages in `docs`.
fn pages() -> Vec<PathBuf> {
    let mut pages = files_below(&root().join("docs"), ".md");
    pages.extend(["README.md", "CHANGELOG.md"].map(|name| root().join(name)));
    pages
}

/// Returns the texts between `open` and the next `close` on the same line.
fn texts_between<'a>(text: &'a str, open: &'a str, close: &'a str) -> Vec<&'a str> {
    let after_open = text.lines().flat_map(|line| line.split(open).skip(1));
    after_open
        .filter_map(|rest| rest.split_once(close))
        .map(|(inside, _)| inside)
        .collect()
}

#[test]
fn links_lead_to_files() {
    let mut dead_links = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for link in texts_between(&text, "](", ")") {
            let path = link.split('#').next().unwrap();
            let is_local = !path.is_empty() && !path.contains(':');
            if is_local && !page.parent().unwrap().join(path).exists() {
                dead_links.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(
        dead_links.is_empty(),
        "dead links:\n{}",
        dead_links.join("\n")
    );
}

/// Checks the paths of the repository in code spans, except those with a blank, a wildcard or a placeholder. The change
/// log is not checked, since it names files that no longer exist.
#[test]
fn paths_in_code_spans_exist() {
    let directories = [
        "crates/",
        "docs/",
        "scripts/",
        "scenarios/",
        "src/",
        "tests/",
    ];
    let mut missing = Vec::new();
    for page in pages() {
        if page.ends_with("CHANGELOG.md") {
            continue;
        }
        let text = fs::read_to_string(&page).unwrap();
        for (position, span) in text.split('`').enumerate() {
            let is_path = directories
                .iter()
                .any(|directory| span.starts_with(directory));
            let is_plain = !span.contains([' ', '*', '<', '{', '…', '\n']);
            // The code spans, which stand between two backticks, are at the odd positions.
            if position % 2 == 1 && is_path && is_plain {
                let path = span.split(':').next().unwrap();
                if !root().join(path).exists() {
                    missing.push(format!("{}: {span}", page.display()));
                }
            }
        }
    }
    assert!(
        missing.is_empty(),
        "paths of missing files:\n{}",
        missing.join("\n")
    );
}

/// Returns the source files of the programs that run in service, without tests and tools.
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
        let crate_directory = entry.unwrap().path();
        if !tools.iter().any(|tool| crate_directory.ends_with(tool)) {
            sources.extend(files_below(&crate_directory.join("src"), ".rs"));
        }
    }
    sources.retain(|source| !source.to_str().unwrap().contains("tests"));
    sources
}

/// Returns the name of an event at the start of a text: lower-case words that are joined by underscores, followed by a
/// blank or the end of the text.
fn leading_event(text: &str) -> Option<&str> {
    let end = text
        .find(|letter: char| !letter.is_ascii_lowercase() && letter != '_')
        .unwrap_or(text.len());
    let is_complete = matches!(text.as_bytes().get(end), None | Some(b' '));
    (is_complete && text[..end].contains('_') && !text.starts_with('_')).then_some(&text[..end])
}

/// Returns the names of events in a source file: at the start of the text of a logging or formatting macro, or as the
/// value of a variable `event`.
fn events_in(source: &str) -> BTreeSet<String> {
    let macros = [
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
    for name in macros {
        for arguments in source.split(name).skip(1) {
            let arguments = arguments.trim_start();
            let text = arguments
                .strip_prefix("f,")
                .unwrap_or(arguments)
                .trim_start();
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
    let documented: BTreeSet<String> = rows
        .map(|row| row.split('`').next().unwrap().to_owned())
        .collect();
    let difference =
        |a: &BTreeSet<String>, b: &BTreeSet<String>| a.difference(b).cloned().collect::<Vec<_>>();
    assert!(logged.len() > 50, "the sources were read: {logged:?}");
    assert_eq!(difference(&logged, &documented), [""; 0], "not documented");
    assert_eq!(difference(&documented, &logged), [""; 0], "never logged");
}
