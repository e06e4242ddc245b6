//! A simulated upstream on a socket. The emulator's model decides the outcome of each request, so that upstreams have
//! the same faults as in the emulator; this module adds sockets, service times and calls to the next tier.

pub mod listing;
mod next_tier;
mod requests;
mod responses;
mod state;

pub use listing::Listing;
pub use next_tier::NextTier;
pub use state::UpstreamCounts;

use crate::lock;
use crate::rule_checker::RuleChecker;
use state::State;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadstall_emulator::{
    Actor, FaultKind, Scenario, Upstream as UpstreamModel, UpstreamFaults, stream,
};
use woadstall_mock_servers::simulated_upstream::serve_process;

/// Delay of a restart between two attempts to bind the address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(5);

/// An upstream across restarts of its simulated process.
pub struct Upstream {
    /// Address on which the upstream listens, also after a restart.
    pub address: SocketAddr,
    scenario: Arc<Scenario>,
    tier: usize,
    suspended: watch::Sender<bool>,
    next_tier: OnceLock<NextTier>,
    rules: Arc<RuleChecker>,
    start: Instant,
    state: Mutex<State>,
    /// The tasks of the simulated process; `None` after the process was killed.
    process: Mutex<Option<JoinSet<()>>>,
}

/// The numbers that identify an upstream in a scenario.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamNumber {
    /// Index of the tier.
    pub tier: usize,
    /// Number of the upstream within its tier.
    pub in_tier: u32,
    /// Number of the upstream among all upstreams.
    pub overall: u32,
}

/// A sample of an upstream's capacity and load.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSample {
    /// Current capacity, in workers of a healthy and warm upstream.
    pub speed: f64,
    /// Number of attempts received since the last sample.
    pub attempts: u32,
}

impl Upstream {
    /// Starts an upstream for callers that begin at `start`.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream cannot listen.
    pub async fn start(
        scenario: &Arc<Scenario>,
        rules: &Arc<RuleChecker>,
        number: UpstreamNumber,
        seed: u64,
        start: Instant,
    ) -> std::io::Result<Arc<Self>> {
        let tier = &scenario.tier[number.tier];
        let listener = TcpListener::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0)).await?;
        let zone = scenario.zone_in_turn(number.in_tier);
        let cell = (number.in_tier % u32::from(tier.cells)) as u16;
        let location = (zone, cell, number.overall);
        let name = format!("{}-{}", tier.name, number.in_tier);
        let rng = stream(seed, Actor::Upstream, number.overall);
        let model = UpstreamModel::new(name, number.tier, tier, location, rng);
        let upstream = Arc::new(Self {
            address: listener.local_addr()?,
            scenario: scenario.clone(),
            tier: number.tier,
            suspended: watch::Sender::new(false),
            next_tier: OnceLock::new(),
            rules: rules.clone(),
            start,
            state: Mutex::new(State::new(model, tier.cold)),
            process: Mutex::default(),
        });
        *lock(&upstream.process) = Some(upstream.clone().serve(listener));
        Ok(upstream)
    }

    /// Sets the next tier. Only the first call of this function has an effect.
    pub fn set_next_tier(&self, next_tier: NextTier) {
        self.next_tier.set(next_tier).ok();
    }

    /// Returns the upstream's entry in the endpoint list.
    pub fn listing(&self) -> Listing {
        lock(&self.state).listing()
    }

    /// Sets the state published in the endpoint list. `drained_since` is the time since which all balancers know that
    /// the upstream is draining; `None` ends draining. An earlier recorded time is kept.
    pub fn set_listed_state(&self, listed: &'static str, drained_since: Option<Instant>) {
        let mut state = lock(&self.state);
        state.listed = listed;
        state.drained_since = drained_since.map(|since| state.drained_since.unwrap_or(since));
    }

    /// Moves the time of the drain notification to `notified_at` if that is later. A balancer that starts while the
    /// upstream drains is notified only when it starts.
    pub fn delay_drain_notification(&self, notified_at: Instant) {
        let mut state = lock(&self.state);
        state.drained_since = state.drained_since.map(|since| since.max(notified_at));
    }

    /// Suspends or resumes the simulated process. While suspended, connections stay open and requests wait.
    pub fn set_suspended(&self, suspended: bool) {
        self.suspended.send_replace(suspended);
    }

    async fn wait_until_resumed(&self) {
        let mut suspended = self.suspended.subscribe();
        suspended.wait_for(|suspended| !suspended).await.ok();
    }

    /// Returns whether the upstream has crashed under overload since the last call of this function.
    pub fn take_crashed(&self) -> bool {
        std::mem::take(&mut lock(&self.state).model.overloaded)
    }

    /// Returns the number of requests being worked on or queued.
    pub fn in_flight(&self) -> u32 {
        lock(&self.state).model.in_flight()
    }

    /// Returns the request counts so far.
    pub fn counts(&self) -> UpstreamCounts {
        lock(&self.state).counts.clone()
    }

    /// Returns whether the simulated process is running.
    pub fn is_alive(&self) -> bool {
        lock(&self.state).model.alive
    }

    /// Returns a sample of capacity and load, and resets the count of attempts.
    pub fn sample(&self) -> UpstreamSample {
        let now = self.now();
        let mut state = lock(&self.state);
        let is_available = state.drained_since.is_none() && !*self.suspended.borrow();
        let speed = if is_available {
            state.model.speed(now)
        } else {
            0.0
        };
        let attempts = std::mem::take(&mut state.attempts);
        UpstreamSample { speed, attempts }
    }

    /// Returns the time since `start`, in nanoseconds.
    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// Kills the simulated process. Its connections are reset, new connections are refused, and its work is lost.
    pub fn kill(&self) {
        lock(&self.process).take();
        let mut state = lock(&self.state);
        state.model.kill();
        state.queued.clear();
    }

    /// Starts a new simulated process at the same address; the process has to warm up.
    pub async fn restart(self: Arc<Self>) {
        self.kill();
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                // The sockets of the former process are closed by its aborted tasks, which may not have ended yet.
                Err(_) => sleep(BIND_RETRY_DELAY).await,
            }
        };
        let now = self.now();
        let mut state = lock(&self.state);
        state.model.boot(now);
        state.record_boot();
        drop(state);
        *lock(&self.process) = Some(self.clone().serve(listener));
    }

    /// Applies or reverts a fault. Overlapping faults of the same kind share one value, so that the end of one fault
    /// reverts all of them.
    pub fn set_fault(&self, kind: &FaultKind, active: bool) {
        let healthy = UpstreamFaults::default();
        let mut state = lock(&self.state);
        let faults = &mut state.model.active_faults;
        let pick = |faulty: f64, healthy: f64| if active { faulty } else { healthy };
        match kind {
            FaultKind::Slow(factor) => faults.slowdown = pick(*factor, healthy.slowdown),
            FaultKind::Errors { share, class } => {
                faults.errors.clear();
                let only_class = class.as_ref().and_then(|name| self.scenario.class(name));
                faults.errors.extend(active.then_some((*share, only_class)));
            }
            FaultKind::ResponseLoss(share) => faults.lost = pick(*share, healthy.lost),
            FaultKind::Resets(share) => faults.resets = pick(*share, healthy.resets),
            FaultKind::Unresponsive => faults.unresponsive = active,
            FaultKind::Full => faults.full = active,
            _ => {} // other faults are rejected before the run
        }
    }

    fn serve(self: Arc<Self>, listener: TcpListener) -> JoinSet<()> {
        serve_process(listener, move |request| self.clone().respond(request))
    }
}
