//! The cases of the second review, one command for each: `case NUMBER FOLDER`.
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod deployment;
mod http;
mod record;
mod upstream;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match words.as_slice() {
        [number, folder] => {
            deployment::end_after(115);
            let outcome = match *number {
                "5" => cases::stream_memory::run(folder, trouble),
                "6" => cases::late_heartbeats::run(folder, trouble),
                "7" => cases::resume_after_leave::run(folder, trouble),
                "8" => cases::fractions::run(folder, trouble),
                _ => Err("no such case".to_owned()),
            };
            match outcome {
                Ok(true) => 1,
                Ok(false) => 0,
                Err(error) => {
                    eprintln!("the case could not run: {error}");
                    2
                }
            }
        }
        _ => {
            eprintln!("case NUMBER FOLDER");
            2
        }
    };
    deployment::kill_all();
    exit(code);
}
