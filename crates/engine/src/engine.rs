//! The state machine: inputs in, commands out.

use crate::members::{Entry, Listed, Members, Peer};
use crate::messages::{Call, Command, Ended, Input, Observed, Outstanding, Send, Verdict};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use woadstall_decisions::Balancer;
use woadstall_decisions::api::{
    Action, AttemptEnd, ClassSuccession, Duration, Event, LearnedState, Lifecycle, Outcome,
    RequestId, RequestParameters, ServerId, Settings, SettingsError, Time,
};

/// The safety net answers this much after a request's time, when the module should long have done so.
pub const NET_AFTER: Duration = 25_000_000;

/// Observations that are kept until they are fetched; the oldest go.
const OBSERVED: usize = 16_384;

/// A request that is not answered yet, or has attempts out.
struct Open<R> {
    /// `None` once it is answered, or its caller has left.
    request: Option<R>,
    deadline: Time,
    most: u32,
    class: usize,
    attempts: u32,
    /// The attempts that have not ended, each with when it was sent and where to.
    out: Vec<(u32, Time, ServerId)>,
}

/// See the crate's documentation.
pub struct Engine<R, A> {
    balancer: Balancer,
    max_attempts: u32,
    now: Time,
    members: Members,
    requests: HashMap<RequestId, Open<R>>,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    /// When the safety net is due for each request that is owed an answer.
    nets: BTreeSet<(Time, RequestId)>,
    actions: Vec<Action>,
    /// Ends that the module hears of once it is done with what it is at.
    pending: VecDeque<(RequestId, AttemptEnd)>,
    commands: VecDeque<Command<R, A>>,
    ready: bool,
    /// Ends of attempts, where somebody wants to see them.
    observed: Option<VecDeque<Observed>>,
}

impl<R, A> Engine<R, A> {
    /// An engine that knows no upstream yet. Its random numbers come from `seed` alone.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        Ok(Self {
            max_attempts: settings.max_attempts,
            balancer: Balancer::new(settings, seed, now)?,
            now,
            members: Members::default(),
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            nets: BTreeSet::new(),
            actions: Vec::new(),
            pending: VecDeque::new(),
            commands: VecDeque::new(),
            ready: false,
            observed: None,
        })
    }

    /// Takes what happened. A time before that of the input before counts as that.
    pub fn handle(&mut self, now: Time, input: Input<'_, R, A>) {
        self.now = self.now.max(now);
        match input {
            Input::Listed { entries, all } => self.on_listed(entries, all),
            Input::ListFailed => self.tell(Event::SubscriptionFailed),
            Input::Call(call) => self.on_call(call),
            Input::Gone(id) => self.on_gone(id),
            Input::Started {
                id,
                attempt,
                answer,
            } => self.on_started(id, attempt, answer),
            Input::Ended { id, attempt, ended } => self.on_ended(id, attempt, ended),
            Input::Probed(server, outcome, load) => {
                self.tell(Event::ProbeEnded(server, outcome, load))
            }
            Input::Told(findings) => self.tell(Event::HealthVerdicts(findings)),
            Input::Tick => self.on_tick(),
        }
    }

    /// Keeps the ends of attempts from now on, to be fetched by [`Engine::take_observed`].
    pub fn observe(&mut self) {
        self.observed.get_or_insert_default();
    }

    /// The attempts that have ended since this was asked last.
    pub fn take_observed(&mut self) -> Vec<Observed> {
        self.observed
            .iter_mut()
            .flat_map(|observed| observed.drain(..))
            .collect()
    }

    /// The attempts that are out.
    pub fn outstanding(&self, now: Time) -> impl Iterator<Item = Outstanding> + '_ {
        self.requests.iter().flat_map(move |(id, open)| {
            open.out.iter().map(move |&(attempt, sent, server)| {
                let age = now.saturating_sub(sent);
                Outstanding {
                    id: *id,
                    attempt,
                    server,
                    class: open.class,
                    age,
                }
            })
        })
    }

    /// All upstreams as they are listed, and how often that has changed.
    pub fn listed(&self) -> (u64, impl Iterator<Item = Listed<'_>>) {
        self.members.listed()
    }

    /// The next thing to do, in order, until there is nothing more.
    pub fn next_command(&mut self) -> Option<Command<R, A>> {
        self.commands.pop_front()
    }

    /// When [`Input::Tick`] is due at the latest; `None` if never, as things are.
    pub fn wake_at(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let net = self.nets.first().map(|(at, _)| *at);
        timer.into_iter().chain(net).min()
    }

    /// A request that is owed an answer.
    pub fn request(&self, id: RequestId) -> Option<&R> {
        self.requests.get(&id)?.request.as_ref()
    }

    /// Whether anything new may go to a process: it is listed, in service, and not replaced. To be asked
    /// right before an attempt that had to wait is made, and before a connection is kept.
    pub fn takes_new(&self, peer: &Peer) -> bool {
        self.members.takes_new(peer)
    }

    /// Whether there ever was an upstream to send to.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether a request is not answered, or has attempts out: its number is taken.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// How many requests are not answered, or have attempts out.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// How many upstreams are listed.
    pub fn upstreams(&self) -> usize {
        self.members.len()
    }

    /// Takes new settings: classes keep their positions, and `new` are those that had another one before. Fewer attempts
    /// bind requests under way as well.
    pub fn retune(
        &mut self,
        settings: Settings,
        new: &[ClassSuccession],
    ) -> Result<(), SettingsError> {
        let most = settings.max_attempts;
        self.balancer.reconfigure(settings, new)?;
        self.max_attempts = most;
        Ok(())
    }

    /// The names of the upstreams that are listed.
    pub fn names(&self) -> &BTreeMap<String, ServerId> {
        self.members.names()
    }

    /// What is worth knowing for a process that takes over.
    pub fn learned(&self) -> LearnedState {
        self.balancer.learned_state()
    }

    /// Takes what a predecessor has learned.
    pub fn learn_from(&mut self, now: Time, learned: &LearnedState) {
        self.now = self.now.max(now);
        self.balancer.restore(self.now, learned);
    }

    /// How many of them take work and are avoided all the same.
    pub fn avoided(&self) -> usize {
        self.balancer.ejected_servers()
    }

    // ---- Membership ----

    fn on_listed(&mut self, entries: &[Entry], all: bool) {
        let mut listed = Vec::with_capacity(entries.len());
        for entry in entries {
            if entry.address.is_none() {
                self.log(format!(
                    "upstream {}: its address cannot be read",
                    entry.name
                ));
            }
            let (entry, retire) = self.members.take(entry);
            if retire {
                self.commands.push_back(Command::Retire(entry.server));
            }
            listed.push(entry);
        }
        if all {
            self.tell(Event::ServerList(&listed));
        } else if !listed.is_empty() {
            self.tell(Event::ServerListChange(&listed));
        }
        for server in self.members.forget_gone(entries, all) {
            self.commands.push_back(Command::Retire(server));
        }
        self.ready |= listed
            .iter()
            .any(|entry| entry.lifecycle == Lifecycle::Ready);
    }

    // ---- Timers ----

    fn on_tick(&mut self) {
        while let Some(&Reverse((_, token))) = self
            .timers
            .peek()
            .filter(|Reverse((at, _))| *at <= self.now)
        {
            self.timers.pop();
            self.tell(Event::Timer(token));
        }
        while let Some(&(_, id)) = self.nets.first().filter(|(at, _)| *at <= self.now) {
            self.log(format!("request {} was left open past its time", id.0));
            self.answer(id, Verdict::Failed);
            self.tell(Event::ClientDisconnected(id));
        }
    }

    // ---- Requests ----

    fn on_call(&mut self, call: Call<R>) {
        let Call {
            id,
            request,
            class,
            tenant,
            work,
            deadline,
            attempts: most,
        } = call;
        if self.requests.contains_key(&id) {
            // The front's mistake; the module could not tell the two apart.
            self.log(format!("request {} is open already", id.0));
            return self.commands.push_back(Command::Answer {
                request,
                verdict: Verdict::Refused(0),
            });
        }
        let time_left = deadline.saturating_sub(self.now);
        if time_left == 0 || most == 0 {
            return self.commands.push_back(Command::Answer {
                request,
                verdict: Verdict::Refused(0),
            });
        }
        let open = Open {
            request: Some(request),
            deadline,
            most,
            class,
            attempts: 0,
            out: Vec::new(),
        };
        self.requests.insert(id, open);
        self.nets.insert((deadline.saturating_add(NET_AFTER), id));
        self.tell(Event::Request(
            id,
            RequestParameters {
                class,
                tenant,
                time_left,
                work,
                max_attempts: most,
            },
        ));
    }

    fn on_gone(&mut self, id: RequestId) {
        if self.close(id).is_some() {
            self.tell(Event::ClientDisconnected(id));
            self.forget_if_done(id);
        }
    }

    /// Nothing is owed to the caller of a request any more.
    fn close(&mut self, id: RequestId) -> Option<R> {
        let open = self.requests.get_mut(&id)?;
        let request = open.request.take()?;
        self.nets
            .remove(&(open.deadline.saturating_add(NET_AFTER), id));
        Some(request)
    }

    fn answer(&mut self, id: RequestId, verdict: Verdict<A>) {
        if let Some(request) = self.close(id) {
            self.commands
                .push_back(Command::Answer { request, verdict });
        }
        self.forget_if_done(id);
    }

    fn forget_if_done(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|open| open.request.is_none() && open.out.is_empty())
        {
            self.requests.remove(&id);
        }
    }

    // ---- Attempts ----

    fn send(&mut self, id: RequestId, server: ServerId, until: Time, begin_by: Time) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let (attempt, until) = (open.attempts, until.min(open.deadline));
        open.attempts += 1;
        let allowed = attempt < self.max_attempts.min(open.most);
        let possible = allowed && open.request.is_some() && self.now < until;
        let to = self
            .members
            .peer(server)
            .filter(|peer| possible && self.members.takes_new(peer));
        let Some(to) = to else {
            let end = AttemptEnd {
                attempt,
                outcome: Outcome::Moot,
                elapsed: 0,
                closed: open.request.is_none(),
                load: None,
            };
            return self.pending.push_back((id, end));
        };
        open.out.push((attempt, self.now, server));
        let deadline = open.deadline;
        self.commands.push_back(Command::Send(Send {
            id,
            attempt,
            to,
            until,
            begin_by,
            deadline,
        }));
    }

    fn on_started(&mut self, id: RequestId, attempt: u32, answer: A) {
        let out = |open: &&Open<R>| open.out.iter().any(|(number, ..)| *number == attempt);
        if self
            .requests
            .get(&id)
            .filter(out)
            .is_some_and(|open| open.request.is_some())
        {
            self.tell(Event::ResponseStarted(id, attempt));
            self.answer(id, Verdict::Served(answer));
        }
    }

    fn on_ended(&mut self, id: RequestId, attempt: u32, ended: Ended<A>) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(at) = open.out.iter().position(|(number, ..)| *number == attempt) else {
            return;
        };
        let (_, sent, server) = open.out.swap_remove(at);
        let class = open.class;
        let closed = open.request.is_none() || ended.answer.is_some();
        let elapsed = self.now.saturating_sub(sent);
        if let Some(observed) = &mut self.observed {
            if observed.len() >= OBSERVED {
                observed.pop_front();
            }
            observed.push_back(Observed {
                id,
                attempt,
                at: self.now,
                server,
                class,
                outcome: ended.outcome,
                took: elapsed,
            });
        }
        let end = AttemptEnd {
            attempt,
            outcome: ended.outcome,
            elapsed,
            closed,
            load: ended.load,
        };
        if let Some(answer) = ended.answer {
            self.answer(id, Verdict::Served(answer));
        }
        self.tell(Event::AttemptEnded(id, end));
        self.forget_if_done(id);
    }

    // ---- The module ----

    /// Tells the module of an event, does what it says, and tells it of what came of that at once.
    fn tell(&mut self, event: Event<'_>) {
        self.tell_one(event);
        while let Some((id, end)) = self.pending.pop_front() {
            self.tell_one(Event::AttemptEnded(id, end));
        }
    }

    fn tell_one(&mut self, event: Event<'_>) {
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
            } => self.send(id, server, until, begin_by),
            Action::Reject { id, retry_after } => self.answer(id, Verdict::Refused(retry_after)),
            Action::Fail(id) => self.answer(id, Verdict::Failed),
            Action::Cancel { id, attempt } => {
                let out = self.requests.get(&id).map(|open| &open.out);
                if out.is_some_and(|out| out.iter().any(|(number, ..)| *number == attempt)) {
                    self.commands.push_back(Command::Withdraw { id, attempt });
                }
            }
            Action::Probe(server) => self
                .commands
                .extend(self.members.peer(server).map(Command::Probe)),
            Action::CloseIdleConnections(server) => {
                self.commands.push_back(Command::CloseIdle(server))
            }
            Action::SetTimer { after, token } => {
                self.timers
                    .push(Reverse((self.now.saturating_add(after), token)));
            }
            Action::Subscribe => self.commands.push_back(Command::Watch),
            Action::Log(text) => self.log(text),
        }
    }

    fn log(&mut self, text: String) {
        self.commands.push_back(Command::Log(text));
    }
}
