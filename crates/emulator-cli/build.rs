//! Sets `WOADSTALL_COMMIT` to the Git commit of the build, or to `unknown` outside a Git checkout.

use std::process::Command;

fn main() {
    println!("cargo:rerun-if-changed=../../.git/HEAD");
    println!("cargo:rerun-if-changed=../../.git/logs/HEAD");
    let output = Command::new("git")
        .args(["rev-parse", "--short=12", "HEAD"])
        .output();
    let commit = output.ok().filter(|output| output.status.success());
    let commit = commit.and_then(|output| String::from_utf8(output.stdout).ok());
    println!(
        "cargo:rustc-env=WOADSTALL_COMMIT={}",
        commit.as_deref().unwrap_or("unknown").trim()
    );
}
