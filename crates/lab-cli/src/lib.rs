//! What `woadstall-lab` and `woadstall-load` share: which runs there are, and the form of their results and of
//! their log lines.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod grid;
pub mod log;
pub mod rows;
