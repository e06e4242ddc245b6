//! Events of the simulation.

use woadstall_engine::{Outcome, Time};

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// The next call of a group of callers.
    CallArrives(u32),
    /// The next call of a closed-loop caller.
    ClosedLoopCall(u32),
    /// A caller retries a call.
    CallerRetries(u64),
    /// A request reaches a balancer that was paused.
    RequestReaches(u64),
    /// An attempt reaches its upstream.
    AttemptArrived(u64),
    /// An upstream has finished its own work on an attempt.
    WorkFinished {
        attempt: u64,
        upstream: u32,
        process: u32,
    },
    /// The outcome of an attempt reaches its balancer.
    ResponseArrived { attempt: u64, outcome: Outcome },
    /// An attempt's timeout has expired.
    AttemptExpired(u64),
    /// A balancer's timer is due.
    AgentTimer { balancer: u32, at: Time },
    /// A change of the upstream list reaches a balancer.
    RegistryUpdate { balancer: u32, incarnation: u32 },
    /// A balancer's read of the upstream list has succeeded or failed.
    QueryCompleted {
        balancer: u32,
        incarnation: u32,
        succeeded: bool,
    },
    /// A probe reaches its upstream.
    ProbeArrives { probe: u64 },
    /// A probe is answered or times out; `in_flight` is the answered number of requests at the upstream, or `None` for
    /// a timeout.
    ProbeCompleted { probe: u64, in_flight: Option<u32> },
    /// The front detects that a balancer is down, or up again.
    FrontNoticed {
        balancer: u32,
        incarnation: u32,
        down: bool,
    },
    /// A balancer's turn in a rolling restart: it drains first, and is replaced afterwards.
    RollBalancer {
        balancer: u32,
        incarnation: u32,
        drained: bool,
    },
    /// A fault begins or ends.
    FaultChanges { fault: u32, begins: bool },
    /// An upstream's turn in a rolling restart: it is listed as draining first, and is killed afterwards.
    RollUpstream { upstream: u32, step: u8, fault: u32 },
    /// An upstream comes back after an overload or a restart.
    UpstreamBoots(u32),
    /// The registry detects the death of an upstream's process.
    DeathNoticed { upstream: u32, process: u32 },
    /// A balancer starts again, with an upstream list of age `list_age`.
    BalancerStarts { balancer: u32, list_age: Time },
    /// A step of the timeline ends.
    EndOfStep,
    /// The timer of a balancer's membership node is due.
    MemberTimer { balancer: u32, at: Time },
    /// A membership message arrives.
    MessageArrives(u64),
    /// A membership node checks whether a process listens at the addresses of its suspects.
    CheckSuspects(u32),
    /// The members' reports of partitioned paths are recorded.
    RecordPathReports,
    /// The next round of a balancer's evacuation coordinator.
    CoordinatorTimer(u32),
}
