//! What `woadstall-emulator-cli`, `woadstall-load-test` and `woadstall-cluster-test` share: which runs there are, the form of their results
//! and of their log lines, and pages of results.

mod arguments;
pub mod compare;
pub mod grid;
pub mod log;
pub mod report;
pub mod rows;
mod scenario_file;

pub use arguments::ArgumentError;
pub use scenario_file::{OverrideError, ScenarioFileError};
