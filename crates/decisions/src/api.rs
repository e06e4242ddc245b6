//! The interface of the decision module: its settings, events and actions.
//!
//! Nothing here decides anything and nothing here knows a wire format. All times are nanoseconds of
//! one clock that only advances; where it starts does not matter.

/// A point on the clock, in nanoseconds.
pub type Time = u64;
/// A length of time, in nanoseconds.
pub type Duration = u64;

/// A request, as its caller numbers it. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);

/// An upstream server. The id says nothing of its zone, kind or age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// Position of a zone in the deployment's list of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u8);

/// What repeating a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat and to refuse at any time.
    Safe,
    /// Repeats are dropped by the servers of one group for a while.
    Keyed(DedupScope, Duration),
    /// Must never run twice.
    Unsafe,
}

/// The servers that drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// Those in the zone of the first server that may have run it.
    Zone,
    /// Those in the cell of the first server that may have run it.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_target: Duration,
    /// The aim grows by this multiple of the request's own work.
    pub latency_target_stretch: f64,
    /// The longest that a client waits, over all its tries.
    pub deadline: Duration,
    /// What repeating does.
    pub effect: Effect,
    /// Part of the worth that an answer after the aim still earns.
    pub late_value: f64,
    /// Worth of one request, or of a unit of its work if `Settings::value_by_work`.
    pub value: f64,
}

/// A tenant of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all balancers, that count in full.
    pub quota_rps: f64,
}

/// What a balancer is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes; requests name them by position.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Part of its worth that a request beyond its tenant's quota keeps.
    pub over_quota_value: f64,
    /// Worth is measured per unit of work, not per request.
    pub value_by_work: bool,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: usize,
    /// Number of balancers that send to the same tier, this one included.
    pub balancers: u32,
    /// The tier that this balancer sends to; 0 serves the clients.
    pub tier: u32,
    /// A call to a deeper tier carries the time its caller has left.
    pub propagates_deadline: bool,
    /// Discovery answers only when asked.
    pub subscribes_to_discovery: bool,
    /// Without a subscription, a balancer counts as told of whatever was listed this long ago.
    pub subscribe_within: Duration,
    /// Attempts that may be cancelled.
    pub may_cancel: bool,
    /// The longest advice on when to come back that clients follow.
    pub max_retry_after: Duration,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Idle connections are closed after this time.
    pub idle_timeout: Duration,
    /// A cold server starts with this part of its capacity.
    pub slow_start_capacity: f64,
    /// A cold server sent more than this multiple of what it can do falls over.
    pub slow_start_overload: f64,
    /// A cold server is warm after this time.
    pub slow_start_window: Duration,
    /// Position of the requests-held figure in load reports, if they carry it.
    pub in_flight_report_field: Option<usize>,
    /// Load reports come with probes alone, and probes are allowed.
    pub probes_for_load: bool,
    /// What a crossing of zones for each request costs, as part of all requests' worth.
    pub cross_zone_cost: f64,
    /// What a probe for each request costs, as part of all requests' worth.
    pub probe_cost: f64,
}

/// What is wrong with settings; the text names the field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Refuses settings that make no sense; what they would lead to is nobody's intent.
    pub fn check(&self) -> Result<(), SettingsError> {
        let error = |text: String| Err(SettingsError(text));
        let sound = |figure: f64| figure.is_finite() && figure >= 0.0;
        if self.classes.is_empty() {
            return error("`classes` is empty".into());
        }
        for (at, class) in self.classes.iter().enumerate() {
            let figures = [
                ("aim_stretch", class.latency_target_stretch),
                ("late_worth", class.late_value),
                ("worth", class.value),
            ];
            if let Some((field, figure)) = figures.into_iter().find(|&(_, figure)| !sound(figure)) {
                return error(format!("`classes[{at}].{field}` is {figure}"));
            }
            if class.latency_target == 0 || class.deadline == 0 {
                let field = if class.latency_target == 0 {
                    "aim"
                } else {
                    "deadline"
                };
                return error(format!("`classes[{at}].{field}` is 0"));
            }
        }
        if let Some(at) = self
            .tenants
            .iter()
            .position(|tenant| !sound(tenant.quota_rps))
        {
            return error(format!(
                "`tenants[{at}].quota_rps` is {}",
                self.tenants[at].quota_rps
            ));
        }
        if usize::from(self.zone.0) >= self.zones {
            return error(format!("`zone` is {} of {} zones", self.zone.0, self.zones));
        }
        if self.max_attempts == 0 {
            return error("`max_attempts` is 0".into());
        }
        if !(0.0..=1.0).contains(&self.slow_start_capacity) {
            return error(format!(
                "`start_capacity` is {}, not between 0 and 1",
                self.slow_start_capacity
            ));
        }
        let figures = [
            ("over_quota_worth", self.over_quota_value),
            ("probe_price", self.probe_cost),
            ("cross_price", self.cross_zone_cost),
            ("tip_multiple", self.slow_start_overload),
        ];
        match figures.into_iter().find(|&(_, figure)| !sound(figure)) {
            Some((field, figure)) => error(format!("`{field}` is {figure}")),
            None => Ok(()),
        }
    }
}

/// Where a server stands in its life, as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes work.
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// One server as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// The cell it shares its seen keys with.
    pub cell: u16,
    /// Whether it takes work.
    pub lifecycle: Lifecycle,
    /// Its size, to be compared with the sizes of others.
    pub size: f32,
    /// When its process started last; `None` if long past.
    pub started: Option<Time>,
}

/// A class that is new in changed settings and had another position under its name before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSuccession {
    /// Position of the new class.
    pub class: usize,
    /// Position of the class before it, whose latency holds for it until it has its own.
    pub predecessor: usize,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// The server found fault with the request, and its answer is the final one: it tells nothing of the server.
    Declined,
    /// Turned away unseen.
    Full,
    /// No answer within the attempt's limit; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// A server's own load figures, in the order of the deployment's report fields.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The figures; only the first `len` hold.
    pub figures: [f32; 4],
    /// How many figures there are.
    pub len: usize,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestParameters {
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// How long its client waits from now on.
    pub time_left: Duration,
    /// Its work, roughly, where that is known.
    pub work: Option<Duration>,
    /// Most attempts for it, whatever the settings allow beyond that: 1 where it cannot be sent again.
    pub max_attempts: u32,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The request has its final answer.
    pub closed: bool,
    /// The server's own figures, if any came along.
    pub load: Option<LoadReport>,
}

/// A place that the fleet has found something of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FailureDomain {
    /// A zone, or one class (by position) at it.
    Zone(ZoneId, Option<usize>),
    /// A server, as its process is now.
    Server(ServerId),
}

/// What the fleet has found of a place: evidence, not a command. It shifts new work only. It proves nothing of a call
/// that is out, and no rule is lifted for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthVerdict {
    /// The place.
    pub domain: FailureDomain,
    /// The part of its usual new work that it should get, from 1 down to 0.
    pub share: f32,
    /// It holds until then: what is not renewed is as if it had not been said.
    pub until: Time,
}

/// What a balancer is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Changed entries of the list of servers.
    ServerListChange(&'a [ServerEntry]),
    /// The whole list of servers; what is missing from it is gone.
    ServerList(&'a [ServerEntry]),
    /// A call to discovery failed or the subscription broke; the list stays as it was.
    SubscriptionFailed,
    /// A request to be answered once.
    Request(RequestId, RequestParameters),
    /// The answer of a streamed request began at this attempt; no deadline runs any more.
    ResponseStarted(RequestId, u32),
    /// An attempt ended.
    AttemptEnded(RequestId, AttemptEnd),
    /// The client left; no answer is owed any more.
    ClientDisconnected(RequestId),
    /// A probe of a server ended, with the server's own figures if any came along.
    ProbeEnded(ServerId, Outcome, Option<LoadReport>),
    /// What the fleet has found of zones and servers.
    HealthVerdicts(&'a [HealthVerdict]),
    /// A timer that this balancer set.
    Timer(u64),
}

/// What a balancer does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; it is given up at `until`.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// When the attempt is given up.
        until: Time,
        /// From then on its first byte may no longer be written, as when a connection came up too late. It then ends
        /// as `Outcome::Moot`.
        begin_by: Time,
    },
    /// Final answer: refused, and trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Advice on how long to stay away; 0 for none.
        retry_after: Duration,
    },
    /// Final answer: failed, with no promise on its effect.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Ask a server for its figures.
    Probe(ServerId),
    /// Close the idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Ask for `Event::Timer` after a while.
    SetTimer {
        /// From now.
        after: Duration,
        /// Comes back with the event.
        token: u64,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}

/// A latency that was learned, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedLatency {
    /// Its mean.
    pub mean: f64,
    /// Its mean deviation.
    pub mean_deviation: f64,
    /// What it is in calm times.
    pub baseline: f64,
    /// Calls that it rests on.
    pub calls: u32,
}

/// What was learned of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedServer {
    /// The server.
    pub server: ServerId,
    /// When its process started: nothing of this holds for another one.
    pub started: Option<Time>,
    /// How long its calls take, as a multiple of their class's mean.
    pub slowness: f64,
    /// How often its breaker opened lately.
    pub recent_opens: u32,
    /// For how much longer its breaker stays open, if it has tripped.
    pub open_for: Option<Duration>,
}

/// What a balancer has learned that is worth knowing for the process that takes over from it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Latencies of classes, by position.
    pub classes: Vec<(usize, LearnedLatency)>,
    /// The latency of all calls.
    pub overall: LearnedLatency,
    /// Answers a second.
    pub responses_per_second: f64,
    /// Answers counted lately.
    pub responses: f64,
    /// Requests held meanwhile, each as one over its aim, summed over that time.
    pub pending: f64,
    /// Part of the attempts that fail.
    pub failure_rate: f64,
    /// What is known of servers.
    pub servers: Vec<LearnedServer>,
}
