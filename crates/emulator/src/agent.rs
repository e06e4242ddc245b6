//! The interface of what decides inside a balancer: the real engine, or a baseline policy.

use woadstall_engine::{
    AttemptInFlight, AttemptRecord, Command, Engine, Input, ListedUpstream, Time,
};

/// The number of a request at a balancer, in the emulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What decides inside a balancer. It is told what happened and says what is to be done, as the engine does.
pub trait BalancerAgent {
    /// Takes what happened. Times are of the balancer's own clock.
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>);
    /// The next thing to do, until there is nothing more.
    fn next_command(&mut self) -> Option<Command<Ticket, ()>>;
    /// When [`Input::Tick`] is due at the latest.
    fn wake_at(&self) -> Option<Time>;
    /// How many requests are not answered, or have attempts out.
    fn open_call_count(&self) -> usize;
    /// The ends of attempts are to be kept from now on, if it can.
    fn record_attempts(&mut self) {}
    /// Those that have come since this was asked last.
    fn take_attempt_records(&mut self) -> Vec<AttemptRecord> {
        Vec::new()
    }
    /// The attempts that are out.
    fn attempts_in_flight(&self, now: Time) -> Vec<AttemptInFlight> {
        let _ = now;
        Vec::new()
    }
    /// The upstreams that are listed, where they have changed since `seen`.
    fn listed_upstreams(&self, seen: u64) -> Option<(u64, Vec<ListedUpstream<'_>>)> {
        let _ = seen;
        None
    }
}

/// An agent that may go from thread to thread.
pub type BoxedAgent = Box<dyn BalancerAgent + Send>;

impl BalancerAgent for Engine<Ticket, ()> {
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>) {
        Engine::handle(self, now, input);
    }

    fn next_command(&mut self) -> Option<Command<Ticket, ()>> {
        Engine::next_command(self)
    }

    fn wake_at(&self) -> Option<Time> {
        Engine::wake_at(self)
    }

    fn open_call_count(&self) -> usize {
        Engine::open_call_count(self)
    }

    fn record_attempts(&mut self) {
        Engine::record_attempts(self);
    }

    fn take_attempt_records(&mut self) -> Vec<AttemptRecord> {
        Engine::take_attempt_records(self)
    }

    fn attempts_in_flight(&self, now: Time) -> Vec<AttemptInFlight> {
        Engine::attempts_in_flight(self, now).collect()
    }

    fn listed_upstreams(&self, seen: u64) -> Option<(u64, Vec<ListedUpstream<'_>>)> {
        let (changes, all) = Engine::listed_upstreams(self);
        (changes != seen).then(|| (changes, all.collect()))
    }
}
