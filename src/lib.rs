#![doc = include_str!("../README.md")]

pub mod check;
pub mod net;
pub mod wire;
