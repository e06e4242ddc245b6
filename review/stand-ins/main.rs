//! Stand-ins of clients, upstreams and the operator, and the scripts of the review's cases.
//!
//! `upstream ID key=value...` runs an upstream; `NAME RECORD` runs a case and writes what was sent,
//! answered and run to RECORD. Exit code 1: the rule was broken; 0: it held; 2: it could not run.

mod cut_stream;
mod deployment;
mod early_run;
mod failback;
mod frozen_front;
mod http;
mod late_extra;
mod record;
mod upstream;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = PathBuf::from(arguments.get(1).map_or("record.txt", String::as_str));
    let result = match arguments.first().map(String::as_str) {
        Some("upstream") => upstream::run(&arguments[1..]).map(|()| true),
        Some("cut-stream") => cut_stream::run(&record, has_trouble),
        Some("late-extra") => late_extra::run(&record, has_trouble),
        Some("early-run") => early_run::run(&record, has_trouble),
        Some("frozen-front") => frozen_front::run(&record, has_trouble),
        Some("failback") => failback::run(&record, has_trouble),
        _ => {
            eprintln!("unknown command");
            exit(2)
        }
    };
    match result {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            println!("the case could not run: {error}");
            exit(2)
        }
    }
}
