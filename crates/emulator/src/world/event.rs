//! What can happen in a run, each at its time.

use woadstall_engine::{Outcome, Time};

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A group's next call.
    CallArrives(u32),
    /// One of a crowd calls.
    ClosedLoopCall(u32),
    /// A caller asks again.
    CallerRetries(u64),
    /// A balancer that stood still reads a request.
    BalancerQueries(u64),
    /// An attempt reaches its upstream.
    AttemptArrived(u64),
    /// An upstream is done with its own work on an attempt.
    WorkFinished {
        attempt: u64,
        upstream: u32,
        process: u32,
    },
    /// The outcome of an attempt reaches its balancer.
    ResponseArrived {
        attempt: u64,
        outcome: Outcome,
    },
    /// An attempt's time is over.
    AttemptExpired(u64),
    /// A balancer's timers are due.
    AgentTimer {
        balancer: u32,
        at: Time,
    },
    /// A balancer hears of changes of the list.
    RegistryUpdate {
        balancer: u32,
        incarnation: u32,
    },
    /// A balancer's read of the list is answered, or has failed.
    QueryCompleted {
        balancer: u32,
        incarnation: u32,
        well: bool,
    },
    /// A probe reaches its upstream, and is over.
    ProbeArrives {
        probe: u64,
    },
    ProbeCompleted {
        probe: u64,
        in_flight: Option<u32>,
    },
    /// The front notices that a balancer is out, or back.
    FrontNoticed {
        balancer: u32,
        incarnation: u32,
        out: bool,
    },
    /// A balancer's part of a roll: it drains, and is replaced.
    RollBalancer {
        balancer: u32,
        incarnation: u32,
        drained: bool,
    },
    /// A fault begins, or ends.
    FaultChanges {
        fault: u32,
        begins: bool,
    },
    /// An upstream's part of a roll: told to drain, dies, comes back.
    RollUpstream {
        upstream: u32,
        step: u8,
        fault: u32,
    },
    /// An upstream that fell over comes back.
    UpstreamBoots(u32),
    /// The registry notices a death.
    DeathNoticed {
        upstream: u32,
        process: u32,
    },
    /// A balancer is back.
    BalancerStarts {
        balancer: u32,
        stale: Time,
    },
    /// A step of the timeline.
    EndOfStep,
    /// A balancer's turn as a member among the others.
    MemberTimer {
        balancer: u32,
        at: Time,
    },
    /// What one has sent to another arrives.
    MessageArrives(u64),
    /// One looks whether those that it suspects listen.
    CheckSuspects(u32),
    /// It is looked at how cut ways are named.
    RecordPathReports,
    /// A balancer's turn to weigh what all have told.
    CoordinatorTimer(u32),
}
