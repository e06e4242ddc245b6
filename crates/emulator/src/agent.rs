//! Interface of the decision logic inside a balancer: the real engine or a baseline policy.

use woadstall_engine::{
    AttemptInFlight, AttemptRecord, Command, Engine, Input, ListedUpstream, Time,
};

/// Number of a request at a balancer, unique within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Decision logic inside a balancer. Like the engine, an agent receives inputs and returns commands.
pub trait BalancerAgent {
    /// Handles an input. Times are those of the balancer's own clock.
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>);
    /// Takes the next command; `None` once all commands are taken.
    fn next_command(&mut self) -> Option<Command<Ticket, ()>>;
    /// Latest time at which [`Input::Tick`] is due.
    fn wake_at(&self) -> Option<Time>;
    /// Number of requests without an answer or with attempts in flight.
    fn open_call_count(&self) -> usize;
    /// Starts recording the ends of attempts, if the agent supports that.
    fn record_attempts(&mut self) {}
    /// Takes the attempt records since the last call.
    fn take_attempt_records(&mut self) -> Vec<AttemptRecord> {
        Vec::new()
    }
    /// Attempts in flight.
    fn attempts_in_flight(&self, now: Time) -> Vec<AttemptInFlight> {
        let _ = now;
        Vec::new()
    }
    /// Revision of the upstream list, and the listed upstreams; `None` if the revision is still `known_revision`.
    fn listed_upstreams(&self, known_revision: u64) -> Option<(u64, Vec<ListedUpstream<'_>>)> {
        let _ = known_revision;
        None
    }
}

/// An agent that can be sent between threads.
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

    fn listed_upstreams(&self, known_revision: u64) -> Option<(u64, Vec<ListedUpstream<'_>>)> {
        let (revision, upstreams) = Engine::listed_upstreams(self);
        (revision != known_revision).then(|| (revision, upstreams.collect()))
    }
}
