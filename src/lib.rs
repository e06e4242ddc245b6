#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod policy;
mod state;
pub mod wire;

pub use policy::Balancer;
