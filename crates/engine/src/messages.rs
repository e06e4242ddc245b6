//! What a front tells the engine, and what the engine has it do.

use crate::members::{Entry, Peer};
use woadstall_decisions::api::{
    Duration, HealthVerdict as Finding, LoadReport, Outcome, RequestId, ServerId, Time,
};

/// A request, as a front takes it.
#[derive(Debug)]
pub struct Call<R> {
    /// Its number: none that is open may be used again.
    pub id: RequestId,
    /// What the front needs to send and to answer it.
    pub request: R,
    /// Its class, as a position in the settings.
    pub class: usize,
    /// Its tenant, as a position in the settings.
    pub tenant: usize,
    /// Its work in nanoseconds, where the caller has a guess.
    pub work: Option<Duration>,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// Most attempts for it, whatever the settings allow beyond that: 1 where it cannot be sent again.
    pub attempts: u32,
}

/// An attempt that was made, as it ended: what the fleet's evidence is made of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observed {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// When.
    pub at: Time,
    /// At which upstream.
    pub server: ServerId,
    /// Position of its class.
    pub class: usize,
    /// How.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub took: Duration,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outstanding {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// At which upstream.
    pub server: ServerId,
    /// Position of its class.
    pub class: usize,
    /// Time since it was sent.
    pub age: Duration,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended<A> {
    /// What is known of it.
    pub outcome: Outcome,
    /// The answer, if it is the final one.
    pub answer: Option<A>,
    /// The upstream's own figures, if any came along.
    pub load: Option<LoadReport>,
}

impl<A> Ended<A> {
    /// The same with another form of its answer.
    pub fn map<B>(self, into: impl FnOnce(A) -> B) -> Ended<B> {
        Ended {
            outcome: self.outcome,
            answer: self.answer.map(into),
            load: self.load,
        }
    }
}

impl<A> From<Outcome> for Ended<A> {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            answer: None,
            load: None,
        }
    }
}

/// What a front tells the engine.
#[derive(Debug)]
pub enum Input<'a, R, A> {
    /// A list of upstreams: all of them, or those that changed.
    Listed {
        /// The upstreams.
        entries: &'a [Entry],
        /// What is missing is gone.
        all: bool,
    },
    /// Discovery failed; the list stays as it was.
    ListFailed,
    /// A request, read to its end.
    Call(Call<R>),
    /// The caller of a request has left.
    Gone(RequestId),
    /// The answer has begun at an attempt, and its caller has what came so far: no other attempt may follow.
    Started {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The answer that has begun.
        answer: A,
    },
    /// An attempt ended; each that was sent must, once.
    Ended {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// How.
        ended: Ended<A>,
    },
    /// A probe ended.
    Probed(ServerId, Outcome, Option<LoadReport>),
    /// What the fleet has found of zones and upstreams.
    Told(&'a [Finding]),
    /// Time has passed.
    Tick,
}

/// An attempt to be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Send {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Where to.
    pub to: Peer,
    /// When it is given up.
    pub until: Time,
    /// From then on its first byte may no longer be written; it then ends as [`Outcome::Moot`].
    pub begin_by: Time,
    /// When its caller stops waiting. The upstream is told how long that is from when the attempt is written.
    pub deadline: Time,
}

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Verdict<A> {
    /// An upstream's answer.
    Served(A),
    /// Refused: trying again is harmless. With advice on how long to stay away; zero for none.
    Refused(Duration),
    /// Failed, with no promise on its effect.
    Failed,
}

/// What a front is to do.
#[derive(Debug, PartialEq)]
pub enum Command<R, A> {
    /// Make an attempt, connecting if need be, and tell its end.
    Send(Send),
    /// Stop waiting for an attempt; its end must be told all the same.
    Withdraw {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Give the final answer.
    Answer {
        /// The request.
        request: R,
        /// The answer.
        verdict: Verdict<A>,
    },
    /// Ask an upstream for its figures, and tell how that ended.
    Probe(Peer),
    /// Close the idle connections to an upstream; busy ones may be used again.
    CloseIdle(ServerId),
    /// Use none of the present connections to an upstream for anything new: its process was replaced, takes
    /// nothing new, or is gone. What is under way on them goes on.
    Retire(ServerId),
    /// Watch discovery.
    Watch,
    /// A line for the operators.
    Log(String),
}
