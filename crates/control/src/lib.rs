//! What woadstall's control plane keeps: the configuration and the evacuations, the registrations of upstreams, and
//! the balancers that are there. No I/O, no clock: the shells hand in the time.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod balancers;
pub mod command;
pub mod configuration;
pub mod feed;
pub mod loads;
pub mod machine;
pub mod reader;
pub mod registry;
pub mod shards;
pub mod state;
pub mod wire;
