//! Modules shared by `woadstall-emulator-cli`, `woadstall-load-test` and `woadstall-cluster-test`: the runs of an
//! experiment, the formats of result rows and log lines, and HTML reports.

mod arguments;
pub mod compare;
pub mod grid;
pub mod log;
pub mod report;
pub mod rows;
mod scenario_file;

pub use arguments::ArgumentError;
pub use scenario_file::{OverrideError, ScenarioFileError};
