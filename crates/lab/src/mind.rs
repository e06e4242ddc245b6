//! What decides inside a balancer: the real engine, or one of its rivals, on the same wire.

use crate::rivals::{Rival, Style};
use std::fmt;
use std::str::FromStr;
use woadstall_engine::{Command, Engine, Input, Settings, Time};

/// The number of a request at a balancer, in the emulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What decides inside a balancer. It is told what happened and says what is to be done, as the engine does.
pub trait Mind {
    /// Takes what happened. Times are of the balancer's own clock.
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>);
    /// The next thing to do, until there is nothing more.
    fn next_command(&mut self) -> Option<Command<Ticket, ()>>;
    /// When [`Input::Tick`] is due at the latest.
    fn wake_at(&self) -> Option<Time>;
    /// How many requests are not answered, or have attempts out.
    fn open(&self) -> usize;
}

/// A mind that may go from thread to thread.
pub type BoxedMind = Box<dyn Mind + Send>;

impl Mind for Engine<Ticket, ()> {
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>) {
        Engine::handle(self, now, input);
    }

    fn next_command(&mut self) -> Option<Command<Ticket, ()>> {
        Engine::next_command(self)
    }

    fn wake_at(&self) -> Option<Time> {
        Engine::wake_at(self)
    }

    fn open(&self) -> usize {
        Engine::open(self)
    }
}

/// Which mind the balancers of a run have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The real engine with the real module.
    Woadstall,
    /// A rival.
    Rival(Style),
}

impl Policy {
    /// A mind that knows no upstream yet. The settings are checked before.
    pub fn mind(self, settings: Settings, seed: u64, now: Time) -> BoxedMind {
        match self {
            Self::Woadstall => match Engine::new(settings, seed, now) {
                Ok(engine) => Box::new(engine),
                Err(error) => unreachable!("settings were checked with the scenario: {error}"),
            },
            Self::Rival(style) => Box::new(Rival::new(style, settings, seed)),
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Woadstall => f.write_str("woadstall"),
            Self::Rival(style) => style.fmt(f),
        }
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "woadstall" => Ok(Self::Woadstall),
            rival => rival.parse().map(Self::Rival),
        }
    }
}
