//! Faults: kind, time and scope.

use super::members::MemberLinkFault;
use super::{ScenarioError, ScenarioPart, one};
use crate::units::Span;
use serde::{Deserialize, Serialize};
use woadstall_engine::Time;

/// A fault that is active for a period of time.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault.
    pub at: Span,
    /// End of the fault; the end of the run by default.
    #[serde(default)]
    pub until: Option<Span>,
    /// Affected tier; the first one by default.
    #[serde(default)]
    pub tier: Option<String>,
    /// Affected zone; all zones by default.
    #[serde(default)]
    pub zone: Option<String>,
    /// Fraction of the upstreams or balancers in scope that the fault affects.
    #[serde(default = "one")]
    pub part: f64,
    /// Kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Repeats the fault; reading a scenario expands it into separate faults with the same targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "again")]
    pub repetition: Option<FaultRepetition>,
    /// Position of the fault in the file before repetitions were expanded, which selects the random stream for the
    /// targets.
    #[serde(skip)]
    pub file_position: Option<u32>,
}

/// Periodic repetition of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct FaultRepetition {
    /// Time from one start to the next.
    #[serde(rename = "every")]
    pub period: Span,
    /// Total number of occurrences.
    #[serde(rename = "times")]
    pub count: u32,
}

/// Maximum number of occurrences of a repeated fault.
const MAX_OCCURRENCES: u32 = 1_000;

impl Fault {
    /// Expands the fault into its occurrences; a fault without repetition stays a single one.
    pub(super) fn expand_repetition(self, file_position: u32) -> Result<Vec<Self>, ScenarioError> {
        let first = Self {
            repetition: None,
            file_position: Some(file_position),
            ..self.clone()
        };
        let Some(repetition) = self.repetition else {
            return Ok(vec![first]);
        };
        let invalid = |text| {
            let part = ScenarioPart::Fault(file_position as usize + 1);
            Err(ScenarioError::Inconsistent(text)
                .within(ScenarioPart::Key("again"))
                .within(part))
        };
        if !(1..=MAX_OCCURRENCES).contains(&repetition.count) {
            return invalid("`times` is not from 1 to 1,000");
        }
        if self
            .until
            .is_none_or(|until| until.0 < self.at.0 || until.0 - self.at.0 >= repetition.period.0)
        {
            return invalid("`until` is missing, or not before the next time");
        }
        let shifted =
            |span: Span, number: u32| Span(span.0 + u64::from(number) * repetition.period.0);
        let occurrence = |number| Self {
            at: shifted(first.at, number),
            until: first.until.map(|until| shifted(until, number)),
            ..first.clone()
        };
        Ok((0..repetition.count).map(occurrence).collect())
    }

    /// Whether the fault has started and not ended.
    pub fn is_active(&self, now: Time) -> bool {
        self.at.0 <= now && self.until.is_none_or(|until| now < until.0)
    }

    /// The link fault, if this fault affects the path from one zone to another.
    pub fn link(&self, from: Option<&String>, to: Option<&String>) -> Option<&LinkFault> {
        match &self.kind {
            FaultKind::Link(link) if self.zone.as_ref() == from && Some(&link.to) == to => {
                Some(link)
            }
            _ => None,
        }
    }
}

/// Kinds of fault.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// Upstreams die with their work, and start cold at the end of the fault.
    Kill {
        /// The work in progress takes effect although no response is sent.
        #[serde(default)]
        done: bool,
    },
    /// Rolling restart: upstreams are listed as draining, die after the drain time, and start cold. Their turns
    /// are spread over the first half of the fault.
    Roll,
    /// Rolling restart as in `roll`, with new upstreams at the addresses of the old ones.
    Replace,
    /// Factor by which upstreams work more slowly, without errors.
    Slow(f64),
    /// Upstreams answer a fraction of the requests with errors, without doing the work.
    Errors {
        /// Fraction of the requests.
        share: f64,
        /// Restricts the errors to one class.
        #[serde(default)]
        class: Option<String>,
    },
    /// Fraction of the responses that are lost after the work.
    #[serde(rename = "lost")]
    ResponseLoss(f64),
    /// Fraction of the connections that are reset before the response, half of them after the work.
    Resets(f64),
    /// Upstreams accept requests and never respond.
    #[serde(rename = "silent")]
    Unresponsive,
    /// Upstreams reject all requests as full.
    Full,
    /// No message from other zones reaches the zone's upstreams.
    #[serde(rename = "cut-to")]
    PartitionTo,
    /// No message from the zone's upstreams reaches other zones.
    #[serde(rename = "cut-from")]
    PartitionFrom,
    /// Factor by which delays to and from the upstreams are longer.
    SlowLink(f64),
    /// The registry sends no updates.
    #[serde(rename = "padron-silent")]
    RegistrySilent,
    /// The registry lists healthy upstreams as removed.
    #[serde(rename = "padron-wrong")]
    RegistryWrong,
    /// Balancers' clocks step forward by this duration.
    ClockStep(Span),
    /// Balancers restart with an upstream list of a given age.
    Restart {
        /// Age of the list.
        #[serde(default)]
        stale: Span,
        /// State of the files that the balancers find; only for runs with real processes.
        #[serde(default)]
        files: StoredFiles,
    },
    /// Rolling restart of balancers, spread over the fault's duration: each gets no new connections, answers
    /// its open requests, and is replaced by a new process. Not for sidecars, which restart with their
    /// upstreams.
    RollBalancers,
    /// Balancers' processes are paused.
    #[serde(rename = "stall")]
    PauseBalancers,
    /// Upstreams' processes are suspended: connections stay open and arriving requests wait. Upon resumption
    /// all work that was begun is answered at once.
    #[serde(rename = "stop")]
    SuspendUpstreams,
    /// Power loss: upstreams die at the same instant as the balancers that send to them, and start again from
    /// the end of the fault on. Upstreams start cold; balancers start with an upstream list of a given age.
    PowerLoss {
        /// Age of the list.
        #[serde(default)]
        stale: Span,
        /// Time over which the upstreams start one after another.
        #[serde(default)]
        over: Span,
        /// State of the files that the balancers find; only for runs with real processes.
        #[serde(default = "lost")]
        files: StoredFiles,
    },
    /// Faults on the path from the fault's zone to another zone, for all tiers; the reverse path is not
    /// affected.
    Link(LinkFault),
    /// Faults between balancers.
    #[serde(rename = "between")]
    MemberLink(MemberLinkFault),
}

fn lost() -> StoredFiles {
    StoredFiles::Lost
}

/// State of the files that an earlier process left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredFiles {
    /// The files are intact.
    #[default]
    Kept,
    /// The files are missing.
    Lost,
    /// Each file is truncated to its first half.
    Torn,
    /// Each file exists and is empty.
    Empty,
    /// The files of another balancer are stored under the process's own names.
    #[serde(rename = "stranger")]
    OtherBalancer,
}

/// Faults on the path from one zone to another.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LinkFault {
    /// Zone at the other end.
    pub to: String,
    /// The path is partitioned.
    #[serde(default)]
    #[serde(rename = "cut")]
    pub partitioned: bool,
    /// Additional delay.
    #[serde(default)]
    pub delay: Span,
    /// Fraction of the messages that are lost.
    #[serde(default)]
    pub loss: f64,
}
