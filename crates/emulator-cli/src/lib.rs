//! What `woadstall-emulator-cli`, `woadstall-load-test` and `woadstall-cluster-test` share: which runs there are, the form of their results
//! and of their log lines, and pages of results.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod compare;
pub mod grid;
pub mod log;
pub mod report;
pub mod rows;
