//! The settings of a control machine, and the timing of its replicated log.

use crate::wire::MachineInfo;
use std::collections::BTreeMap;
use woadstall_consensus::Timing;

/// Timing of the replicated log.
pub const TIMING: Timing = Timing::MULTI_REGION;

/// What a machine is given at its start.
#[derive(Clone, Debug)]
pub struct MachineSettings {
    /// The machine itself.
    pub machine: MachineInfo,
    /// Internal addresses of the seeds.
    pub seeds: Vec<String>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// The period of upstreams' heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The number of machines with a disk that may be lost at a time.
    pub tolerated_failures: usize,
    /// Distinguishes this process, its calls and its journal from earlier processes of the machine.
    pub incarnation: u64,
}
