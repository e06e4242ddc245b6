//! The control machines as they are shipped, in virtual time: a network with delays, cuts in one direction, bytes that are
//! delivered after a cut, and narrow links; disks that stall, refuse and lose what was not synced; processes that are killed,
//! frozen and started again; operators, upstreams and balancers. Oracles watch it after each event, and whole histories of
//! orders and reads are checked for linearizability. All chance comes from a seed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cluster;
pub mod disk;
pub mod front;
pub mod history;
pub mod network;
pub mod oracle;
pub mod platter;
pub mod recording;
pub mod scenario;
