//! The settings of a control machine, and the timing of the replicated log.

use crate::wire::MachineInfo;
use std::collections::BTreeMap;
use woadstall_consensus::Timing;

/// The timing of the replicated log, which allows for machines in several regions.
pub const TIMING: Timing = Timing::MULTI_REGION;

/// The settings of a control machine.
#[derive(Clone, Debug)]
pub struct MachineSettings {
    /// The identity, location and addresses of the machine.
    pub machine: MachineInfo,
    /// The internal addresses of the seed machines, to which connections are always kept.
    pub seeds: Vec<String>,
    /// The regions of the zones, keyed by zone name.
    pub zones: BTreeMap<String, String>,
    /// The heartbeat period of upstreams in milliseconds.
    pub heartbeat_ms: u64,
    /// The number of machines that may fail at the same time, including their disks. It determines
    /// the minimum number of voters.
    pub tolerated_failures: usize,
    /// A number that distinguishes this process, its calls and its journal from those of earlier
    /// processes of the machine.
    pub incarnation: u64,
}
