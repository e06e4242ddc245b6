//! Faults: what goes wrong, where and when.

use super::members::MemberLinkFault;
use super::{ScenarioError, ScenarioPart, one};
use crate::units::Span;
use serde::{Deserialize, Serialize};
use woadstall_engine::Time;

/// A fault, from one time to another.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    pub at: Span,
    /// When it is over; the end of the run, if it is left out.
    #[serde(default)]
    pub until: Option<Span>,
    /// The tier it is in; the first, if it is left out.
    #[serde(default)]
    pub tier: Option<String>,
    /// The zone it is in; all, if it is left out.
    #[serde(default)]
    pub zone: Option<String>,
    /// Part of the upstreams (or balancers) there that it hits.
    #[serde(default = "one")]
    pub part: f64,
    /// What it is.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// It comes again and again; read as so many faults that hit the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "again")]
    pub repetition: Option<FaultRepetition>,
    /// Its place in the file, where others before it come again: what it hits is drawn by that.
    #[serde(skip)]
    pub file_position: Option<u32>,
}

/// How a fault comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct FaultRepetition {
    /// From one beginning to the next.
    #[serde(rename = "every")]
    pub period: Span,
    /// How often in all.
    #[serde(rename = "times")]
    pub count: u32,
}

/// Faults that one may come to.
const MOST_TIMES: u32 = 1_000;

impl Fault {
    /// What it stands for: itself, or one for each time that it comes.
    pub(super) fn each_time(self, file_position: u32) -> Result<Vec<Self>, ScenarioError> {
        let one = Self {
            repetition: None,
            file_position: Some(file_position),
            ..self.clone()
        };
        let Some(again) = self.repetition else {
            return Ok(vec![one]);
        };
        let wrong = |text| {
            let part = ScenarioPart::Fault(file_position as usize + 1);
            Err(ScenarioError::Inconsistent(text)
                .within(ScenarioPart::Key("again"))
                .within(part))
        };
        if !(1..=MOST_TIMES).contains(&again.count) {
            return wrong("`times` is not from 1 to 1,000");
        }
        if self
            .until
            .is_none_or(|until| until.0 < self.at.0 || until.0 - self.at.0 >= again.period.0)
        {
            return wrong("`until` is missing, or not before the next time");
        }
        let later = |span: Span, time: u32| Span(span.0 + u64::from(time) * again.period.0);
        let at = |time| Self {
            at: later(one.at, time),
            until: one.until.map(|it| later(it, time)),
            ..one.clone()
        };
        Ok((0..again.count).map(at).collect())
    }

    /// Whether it has begun and is not over.
    pub fn is_active(&self, now: Time) -> bool {
        self.at.0 <= now && self.until.is_none_or(|until| now < until.0)
    }

    /// What it does to all that goes from one zone to another, if it is of that way.
    pub fn link(&self, from: Option<&String>, to: Option<&String>) -> Option<&LinkFault> {
        match &self.kind {
            FaultKind::Link(link) if self.zone.as_ref() == from && Some(&link.to) == to => {
                Some(link)
            }
            _ => None,
        }
    }
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// Upstreams die, work and all, and come back cold at the end.
    Kill {
        /// What they were at has taken effect, though no answer comes.
        #[serde(default)]
        done: bool,
    },
    /// Upstreams are told to the balancers as draining, die once that has had its time, and come back cold at the
    /// end. They go one after another, each at its part of the fault's first half.
    Roll,
    /// As `roll`, but new upstreams come up at the addresses of those that went.
    Replace,
    /// Upstreams work so many times slower, without errors.
    Slow(f64),
    /// Upstreams answer a part of the requests with errors, unseen by them or after the work.
    Errors {
        /// The part.
        share: f64,
        /// Of this class only.
        #[serde(default)]
        class: Option<String>,
    },
    /// A part of the answers is lost, after the work.
    #[serde(rename = "lost")]
    ResponseLoss(f64),
    /// A part of the connections breaks before the answer, half of them after the work.
    Resets(f64),
    /// Upstreams take requests and say nothing.
    #[serde(rename = "silent")]
    Unresponsive,
    /// Upstreams turn everything away as full.
    Full,
    /// Nothing reaches the zone's upstreams from other zones.
    #[serde(rename = "cut-to")]
    PartitionTo,
    /// Nothing comes back from the zone's upstreams to other zones.
    #[serde(rename = "cut-from")]
    PartitionFrom,
    /// Delays to and from the upstreams are so many times longer.
    SlowLink(f64),
    /// The registry tells nothing.
    #[serde(rename = "padron-silent")]
    RegistrySilent,
    /// The registry lists upstreams as gone that are well.
    #[serde(rename = "padron-wrong")]
    RegistryWrong,
    /// Balancers' clocks step forward.
    ClockStep(Span),
    /// Balancers restart: they know the list that they had so long ago.
    Restart {
        /// How old it is.
        #[serde(default)]
        stale: Span,
        /// What they find of what they had written; where balancers are processes.
        #[serde(default)]
        files: StoredFiles,
    },
    /// Balancers restart one after another, each at its part of the fault's time: it is dealt no new connections,
    /// answers what it holds, and a new process takes its place. With `sidecar`, none: they go with their upstreams.
    RollBalancers,
    /// Balancers' processes stand still.
    #[serde(rename = "stall")]
    PauseBalancers,
    /// Upstreams' processes stand still: connections stay, what comes waits, and what was begun is answered once they
    /// go on, all at once.
    #[serde(rename = "stop")]
    SuspendUpstreams,
    /// Power is lost: upstreams die in one instant with the balancers that send to them, and come back from the end
    /// on. Upstreams are cold, and balancers know the list that they had so long ago.
    PowerLoss {
        /// How old it is.
        #[serde(default)]
        stale: Span,
        /// They come back one after another over this time.
        #[serde(default)]
        over: Span,
        /// What they find of what they had written; where balancers are processes.
        #[serde(default = "lost")]
        files: StoredFiles,
    },
    /// What goes from the fault's zone to another is hit, that of all tiers; the way back is not.
    Link(LinkFault),
    /// What goes between balancers is hit.
    #[serde(rename = "between")]
    MemberLink(MemberLinkFault),
}

fn lost() -> StoredFiles {
    StoredFiles::Lost
}

/// What a process finds where the one before it has written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredFiles {
    /// All as it was.
    #[default]
    Kept,
    /// Nothing.
    Lost,
    /// The first half of each.
    Torn,
    /// Each, without a byte in it.
    Empty,
    /// Those of another balancer under its own names.
    #[serde(rename = "stranger")]
    OtherBalancer,
}

/// What is wrong with all that goes from one zone to another.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LinkFault {
    /// The other zone.
    pub to: String,
    /// Nothing comes through.
    #[serde(default)]
    #[serde(rename = "cut")]
    pub partitioned: bool,
    /// It takes so much longer.
    #[serde(default)]
    pub delay: Span,
    /// Part of it that is lost.
    #[serde(default)]
    pub loss: f64,
}
