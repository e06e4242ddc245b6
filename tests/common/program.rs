//! The program under test.

use std::path::PathBuf;

/// Returns the path in `WOADSTALL_TEST_PROGRAM`, or else the binary of this build. The variable lets the
/// tests run the optimised binary of a deployment, which differs from the test build.
pub fn program_path() -> PathBuf {
    let configured_path = std::env::var_os("WOADSTALL_TEST_PROGRAM");
    configured_path.map_or_else(|| env!("CARGO_BIN_EXE_woadstall").into(), PathBuf::from)
}
