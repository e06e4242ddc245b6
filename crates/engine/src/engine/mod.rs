//! The state machine: inputs in, commands out.

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

pub use calls::SAFETY_NET_DELAY;

/// See the crate's documentation.
pub struct Engine<R, A> {
    balancer: Balancer,
    max_attempts: u32,
    now: Time,
    upstreams: Upstreams,
    calls: CallTable<R>,
    timers: Timers,
    /// Buffer of the module's actions.
    actions: Vec<Action>,
    /// Ends of attempts that could not be made. The module gets them once it is done with its present event.
    pending_ends: VecDeque<(RequestId, AttemptEnd)>,
    commands: VecDeque<Command<R, A>>,
    /// There ever was an upstream that takes requests.
    is_ready: bool,
    /// Attempts that have ended, where somebody observes them.
    observed: Option<VecDeque<AttemptRecord>>,
}

impl<R, A> Engine<R, A> {
    /// An engine that knows no upstream yet. Its random numbers come from `seed` alone.
    ///
    /// # Errors
    ///
    /// Fails if the settings make no sense.
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
            observed: None,
        })
    }

    /// Takes what happened. A time before that of the last input counts as that.
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
            Input::HealthVerdicts(findings) => self.notify(Event::HealthVerdicts(findings)),
            Input::Tick => self.on_tick(),
        }
    }

    /// The next thing to do, in order, until there is nothing more.
    pub fn next_command(&mut self) -> Option<Command<R, A>> {
        self.commands.pop_front()
    }

    /// When [`Input::Tick`] is due at the latest; `None` if never, as things are.
    pub fn wake_at(&self) -> Option<Time> {
        let timer = self.timers.next_due();
        let safety_net = self.calls.next_due();
        timer.into_iter().chain(safety_net).min()
    }

    /// Keeps the ends of attempts from now on, to be taken by [`Engine::take_attempt_records`].
    pub fn record_attempts(&mut self) {
        self.observed.get_or_insert_default();
    }

    /// The attempts that have ended since the last call of this.
    pub fn take_attempt_records(&mut self) -> Vec<AttemptRecord> {
        self.observed
            .iter_mut()
            .flat_map(|observed| observed.drain(..))
            .collect()
    }

    /// The attempts that are in flight.
    pub fn attempts_in_flight(&self, now: Time) -> impl Iterator<Item = AttemptInFlight> + '_ {
        self.calls.iter().flat_map(move |(id, call)| {
            call.in_flight.iter().map(move |sent| AttemptInFlight {
                id: *id,
                attempt: sent.attempt,
                server: sent.server,
                class: call.class,
                age: now.saturating_sub(sent.at),
            })
        })
    }

    /// How often the list of upstreams has changed, and all that are listed.
    pub fn listed_upstreams(&self) -> (u64, impl Iterator<Item = ListedUpstream<'_>>) {
        self.upstreams.listed()
    }

    /// The request of a call that has no response yet.
    pub fn request(&self, id: RequestId) -> Option<&R> {
        self.calls.get(id)?.request.as_ref()
    }

    /// Whether anything new may go to a process: it is listed, in service, and not replaced. To be asked right before an
    /// attempt that had to wait is made, and before a connection is kept.
    pub fn accepts_new_attempts(&self, peer: &Peer) -> bool {
        self.upstreams.accepts_new_attempts(peer)
    }

    /// Whether there ever was an upstream that takes requests.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Whether a call has no response yet, or has attempts in flight: its number is in use.
    pub fn is_call_open(&self, id: RequestId) -> bool {
        self.calls.get(id).is_some()
    }

    /// How many calls have no response yet, or have attempts in flight.
    pub fn open_call_count(&self) -> usize {
        self.calls.len()
    }

    /// How many upstreams are listed.
    pub fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// How many of them take requests and are avoided all the same.
    pub fn ejected_upstream_count(&self) -> usize {
        self.balancer.ejected_servers()
    }

    /// The numbers of the upstreams that are listed, by name.
    pub fn upstream_ids(&self) -> &BTreeMap<String, ServerId> {
        self.upstreams.ids()
    }

    /// Takes new settings: classes keep their positions, and `successions` are those that had another one before. A lower
    /// limit of attempts holds for calls that are open as well.
    ///
    /// # Errors
    ///
    /// Fails if the settings make no sense; nothing has changed then.
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

    /// What a process that takes over should know.
    pub fn learned_state(&self) -> LearnedState {
        self.balancer.learned_state()
    }

    /// Takes what a predecessor has learned.
    pub fn restore_learned_state(&mut self, now: Time, learned: &LearnedState) {
        self.now = self.now.max(now);
        self.balancer.restore(self.now, learned);
    }

    /// Passes an event to the module, does what it says, and passes it what came of that at once.
    fn notify(&mut self, event: Event<'_>) {
        self.notify_once(event);
        while let Some((id, end)) = self.pending_ends.pop_front() {
            self.notify_once(Event::AttemptEnded(id, end));
        }
    }

    fn notify_once(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.now, event, &mut actions);
        actions.drain(..).for_each(|action| self.act(action));
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
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
