//! The program under test.

use std::path::PathBuf;

/// The program of this build; or the one that `WOADSTALL_TEST_PROGRAM` names, so that the tests also run what a deploy file
/// builds, which optimisation makes another program.
pub fn program_path() -> PathBuf {
    let named = std::env::var_os("WOADSTALL_TEST_PROGRAM");
    named.map_or_else(|| env!("CARGO_BIN_EXE_woadstall").into(), PathBuf::from)
}
