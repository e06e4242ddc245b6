//! Scenarios of the lab with many processes of the program on this machine, and faults to them and between them.
//!
//! What is the program's is the shipped binary, a process for each balancer. Callers, nodos and discovery are
//! stand-ins in this process, and all reach each other through `woadstall-fault-proxy`. `docs/cluster-test.md` says what was
//! considered, and what this cannot show.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agents;
mod balancers;
mod faults;
mod fleet;
mod keeper;
pub mod launch;
mod members;
pub mod play;
mod refuse;
mod sabotage;
pub mod tell;
mod ways;

pub use keeper::{Left, leftovers};
pub use play::{Options, Played, play};
pub use refuse::check;
pub use sabotage::Sabotage;
