//! The engine on tokio, as the daemon and the plug-in both use it.
//!
//! A [`Balance`] holds the engine behind a mutex that is never held across an await. A call drives its own
//! attempts in its own task: it asks the engine, makes the attempt through a [`Transport`], tells the engine how
//! that ended, and so on until there is an answer. Nothing is spawned for it. One task of the balance's own
//! rings the timers, another follows discovery; both end with the last clone of the balance.
//!
//! A call that is dropped withdraws its attempt at once, in the same drop. Where the settings forbid that, the
//! attempt is left to finish in a task of its own, so that its end is still learned.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempt;
mod balance;
mod call;
mod clock;
mod slot;

pub use attempt::Attempt;
pub use balance::{Ask, Balance, Log, Observations, Setup, Upstream};
pub use call::Tail;
pub use clock::Clock;
pub use woadstall_engine as engine;

use std::future::Future;
use std::time::Duration;
use woadstall_engine::{AttemptEnd, LoadReport, Outcome, Peer, ServerId};

/// How far an attempt has come when it has something to tell.
pub enum Step<A> {
    /// To its end. The answer comes with it if it is the final one.
    Ended(AttemptEnd<A>),
    /// The final answer has begun, and is passed on as it comes. Whoever reads it tells its end by the tail;
    /// dropping the tail means that the caller has given up.
    Started(Box<dyn FnOnce(Tail) -> A + Send>),
}

/// Connections to upstreams, and attempts on them. Nothing here may call back into the balance from within.
pub trait Transport: Send + Sync + 'static {
    /// What is sent; an attempt may take from it what cannot be sent twice.
    type Request: Send + 'static;
    /// What comes back.
    type Answer: Send + 'static;

    /// Makes an attempt. Dropping the future withdraws it: nothing of it is sent afterwards. It need not mind its time,
    /// but must ask [`Attempt::begin`] right before it writes the first byte.
    fn attempt(
        &self,
        request: &mut Self::Request,
        attempt: &Attempt,
    ) -> impl Future<Output = Step<Self::Answer>> + Send + 'static;

    /// Asks an upstream for its load figures.
    fn probe(
        &self,
        peer: Peer,
        patience: Duration,
    ) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send + 'static;

    /// Closes the idle connections to an upstream; busy ones may be used again.
    fn close_idle(&self, server: ServerId);

    /// Uses no present connection to an upstream for anything new. What is under way goes on.
    fn retire(&self, server: ServerId);

    /// Closes what has been idle for too long; called now and then.
    fn sweep(&self);
}
