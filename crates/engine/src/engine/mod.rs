//! State machine that turns inputs into commands.

mod attempts;
mod calls;
mod membership;
mod timers;

use crate::messages::{AttemptInFlight, AttemptRecord, Command, Input};
use crate::upstreams::{ListedUpstream, Peer, Upstreams};
use calls::CallTable;
use std::collections::{BTreeMap, VecDeque};
use timers::Timers;
use woadstall_decisions::Balancer;
use woadstall_decisions::api::{
    Action, AttemptEnd, ClassSuccession, Event, LearnedState, RequestId, ServerId, Settings,
    SettingsError, Time,
};

pub use calls::OVERDUE_GRACE_PERIOD_NS;

/// State machine of one load balancer. The crate documentation describes its protocol and guarantees.
pub struct Engine<R, A> {
    balancer: Balancer,
    max_attempts: u32,
    now: Time,
    upstreams: Upstreams,
    calls: CallTable<R>,
    timers: Timers,
    /// Reused buffer for the actions of the decision module.
    actions: Vec<Action>,
    /// Ends of attempts that could not be sent. The decision module receives them after it has processed the current
    /// event.
    pending_ends: VecDeque<(RequestId, AttemptEnd)>,
    commands: VecDeque<Command<R, A>>,
    /// Whether any upstream has ever accepted requests.
    is_ready: bool,
    /// Records of ended attempts that have not been taken; `None` if recording is off.
    attempt_records: Option<VecDeque<AttemptRecord>>,
}

impl<R, A> Engine<R, A> {
    /// Creates an engine without upstreams. All its random numbers derive from `seed`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        Ok(Self {
            max_attempts: settings.max_attempts,
            balancer: Balancer::new(settings, seed, now)?,
            now,
            upstreams: Upstreams::default(),
            calls: CallTable::default(),
            timers: Timers::default(),
            actions: Vec::new(),
            pending_ends: VecDeque::new(),
            commands: VecDeque::new(),
            is_ready: false,
            attempt_records: None,
        })
    }

    /// Processes an input. If `now` is before the time of the last input, the engine uses the time of the last input.
    pub fn handle(&mut self, now: Time, input: Input<'_, R, A>) {
        self.now = self.now.max(now);
        match input {
            Input::EndpointsListed {
                entries,
                is_complete,
            } => self.on_listed(entries, is_complete),
            Input::DiscoveryFailed => self.notify(Event::SubscriptionFailed),
            Input::Call(call) => self.on_call(call),
            Input::CallerDisconnected(id) => self.on_caller_disconnected(id),
            Input::ResponseStarted {
                id,
                attempt,
                response,
            } => {
                self.on_response_started(id, attempt, response);
            }
            Input::AttemptEnded { id, attempt, end } => self.on_attempt_ended(id, attempt, end),
            Input::ProbeEnded(server, outcome, load) => {
                self.notify(Event::ProbeEnded(server, outcome, load));
            }
            Input::HealthVerdicts(verdicts) => self.notify(Event::HealthVerdicts(verdicts)),
            Input::Tick => self.on_tick(),
        }
    }

    /// Returns the next command in order, or `None` if all commands have been taken.
    pub fn next_command(&mut self) -> Option<Command<R, A>> {
        self.commands.pop_front()
    }

    /// Returns the latest time at which [`Input::Tick`] is due, or `None` if no timer is set and no call awaits a
    /// response.
    pub fn wake_at(&self) -> Option<Time> {
        let timer = self.timers.next_due();
        let overdue_call = self.calls.next_due();
        timer.into_iter().chain(overdue_call).min()
    }

    /// Starts to record ended attempts, which [`Engine::take_attempt_records`] returns.
    pub fn record_attempts(&mut self) {
        self.attempt_records.get_or_insert_default();
    }

    /// Returns the records of attempts that have ended since the last call of this method. The oldest records are
    /// dropped if there are too many.
    pub fn take_attempt_records(&mut self) -> Vec<AttemptRecord> {
        self.attempt_records
            .iter_mut()
            .flat_map(|records| records.drain(..))
            .collect()
    }

    /// Returns all attempts in flight, with their age at `now`.
    pub fn attempts_in_flight(&self, now: Time) -> impl Iterator<Item = AttemptInFlight> + '_ {
        self.calls.iter().flat_map(move |(id, call)| {
            call.in_flight.iter().map(move |sent| AttemptInFlight {
                id: *id,
                attempt: sent.attempt,
                server: sent.server,
                class: call.class,
                age: now.saturating_sub(sent.sent_at),
            })
        })
    }

    /// Returns the number of changes of the upstream list, and all listed upstreams in the order of their names.
    pub fn listed_upstreams(&self) -> (u64, impl Iterator<Item = ListedUpstream<'_>>) {
        self.upstreams.listed()
    }

    /// Returns the request of a call that has no response yet.
    pub fn request(&self, id: RequestId) -> Option<&R> {
        self.calls.get(id)?.request.as_ref()
    }

    /// Whether a process accepts new attempts: it is listed, accepts requests and has not been replaced. A front
    /// checks this right before it sends a delayed attempt and before it keeps a connection open.
    pub fn accepts_new_attempts(&self, peer: &Peer) -> bool {
        self.upstreams.accepts_new_attempts(peer)
    }

    /// Whether any upstream has accepted requests since the engine was created.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Whether a call is open, so that its id is in use: it has no response yet or has attempts in flight.
    pub fn is_call_open(&self, id: RequestId) -> bool {
        self.calls.get(id).is_some()
    }

    /// Returns the number of calls that have no response yet or have attempts in flight.
    pub fn open_call_count(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of listed upstreams.
    pub fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the number of upstreams that accept requests but are ejected by their circuit breakers.
    pub fn ejected_upstream_count(&self) -> usize {
        self.balancer.ejected_servers()
    }

    /// Returns the ids of the listed upstreams by name.
    pub fn upstream_ids(&self) -> &BTreeMap<String, ServerId> {
        self.upstreams.ids()
    }

    /// Replaces the settings. The positions of existing classes keep their meaning, and `successions` lists the classes
    /// that move to another position. A lower limit of attempts also applies to open calls.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid, and leaves the engine unchanged.
    pub fn reconfigure(
        &mut self,
        settings: Settings,
        successions: &[ClassSuccession],
    ) -> Result<(), SettingsError> {
        let max_attempts = settings.max_attempts;
        self.balancer.reconfigure(settings, successions)?;
        self.max_attempts = max_attempts;
        Ok(())
    }

    /// Returns the learned state for a process that takes over from this one.
    pub fn learned_state(&self) -> LearnedState {
        self.balancer.learned_state()
    }

    /// Restores the learned state of a predecessor process.
    pub fn restore_learned_state(&mut self, now: Time, learned: &LearnedState) {
        self.now = self.now.max(now);
        self.balancer.restore(self.now, learned);
    }

    /// Passes an event to the decision module and executes its actions. Then passes on the ends of attempts that
    /// could not be sent.
    fn notify(&mut self, event: Event<'_>) {
        self.process_event(event);
        while let Some((id, end)) = self.pending_ends.pop_front() {
            self.process_event(Event::AttemptEnded(id, end));
        }
    }

    fn process_event(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.now, event, &mut actions);
        actions.drain(..).for_each(|action| self.execute(action));
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                until,
                begin_by,
            } => {
                self.send_attempt(id, server, until, begin_by);
            }
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail(id) => self.fail(id),
            Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt),
            Action::Probe(server) => {
                self.commands
                    .extend(self.upstreams.peer(server).map(Command::Probe));
            }
            Action::CloseIdleConnections(server) => {
                self.commands
                    .push_back(Command::CloseIdleConnections(server));
            }
            Action::SetTimer { after, token } => {
                self.timers.set(self.now.saturating_add(after), token);
            }
            Action::Subscribe => self.commands.push_back(Command::WatchDiscovery),
            Action::Log(text) => self.log(text),
        }
    }

    fn log(&mut self, text: String) {
        self.commands.push_back(Command::Log(text));
    }
}
