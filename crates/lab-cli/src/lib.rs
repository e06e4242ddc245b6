//! What `woadstall-lab` and `woadstall-load` share: which runs there are, and the form of their results.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod grid;
pub mod rows;
