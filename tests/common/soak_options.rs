//! Options of the soak tests, read from environment variables:
//! - `WOADSTALL_SOAK_SEEDS`: a range such as `7..20`, or a number `n` for `0..n`.
//! - `WOADSTALL_SOAK_SECONDS`: seconds of fault injection per seed.
//! - `WOADSTALL_SOAK_STEPS`: the number of steps per seed, for the soak of the front's memory.
//! - `WOADSTALL_SOAK_CLIENTS`: the number of clients.
//! - `WOADSTALL_SOAK_FRONTS`: the number of fronts, for the soak of the fronts.
//! - `WOADSTALL_SOAK_LOGS`: a directory for the logs of the processes.
#![allow(dead_code, reason = "each soak test uses only some of the options")]

use std::ops::Range;
use std::path::PathBuf;

/// Returns the value of an environment variable; `None` if it is not set or cannot be parsed.
pub fn env_variable<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

/// Returns the seeds in `WOADSTALL_SOAK_SEEDS`, or `default` if it is not set.
pub fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("WOADSTALL_SOAK_SEEDS") else {
        return default;
    };
    let (first, last) = text.split_once("..").unwrap_or(("0", &text));
    let parse = |text: &str| text.parse().expect("a seed is a number");
    parse(first)..parse(last)
}

/// Creates the directory for the logs of a seed; `None` if `WOADSTALL_SOAK_LOGS` is not set.
pub fn log_directory(seed: u64) -> Option<PathBuf> {
    let directory = PathBuf::from(std::env::var_os("WOADSTALL_SOAK_LOGS")?).join(seed.to_string());
    std::fs::create_dir_all(&directory).expect("the log directory can be created");
    Some(directory)
}
