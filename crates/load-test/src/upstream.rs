//! A simulated upstream on a socket. What it does with a request is decided by the emulator's model, so that both have
//! the same faults; here are only its sockets, its sleeps, and its calls to the next tier.

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

/// How long a restart waits before it tries to bind its address again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(5);

/// An upstream, over all its incarnations.
pub struct Upstream {
    /// Where each of its incarnations listens.
    pub address: SocketAddr,
    scenario: Arc<Scenario>,
    tier: usize,
    suspended: watch::Sender<bool>,
    next_tier: OnceLock<NextTier>,
    rules: Arc<RuleChecker>,
    start: Instant,
    state: Mutex<State>,
    /// The tasks of the present incarnation, if it lives.
    process: Mutex<Option<JoinSet<()>>>,
}

/// Which upstream of a scenario one is.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamNumber {
    /// The tier.
    pub tier: usize,
    /// Its number in the tier.
    pub in_tier: u32,
    /// Its number among all.
    pub overall: u32,
}

/// What an upstream can do and had to do.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSample {
    /// What it can do at present, in workers of a healthy warm upstream.
    pub speed: f64,
    /// The attempts that it got since the last sample.
    pub attempts: u32,
}

impl Upstream {
    /// Starts an upstream. Callers begin at `start`.
    ///
    /// # Errors
    ///
    /// Where it cannot listen.
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

    /// Sets where it calls the next tier. Only the first call counts.
    pub fn set_next_tier(&self, next_tier: NextTier) {
        self.next_tier.set(next_tier).ok();
    }

    /// How it is listed.
    pub fn listing(&self) -> Listing {
        lock(&self.state).listing()
    }

    /// Lists it in another state. `drained_since` is since when all balancers are notified that it drains, if they are.
    pub fn set_listed_state(&self, listed: &'static str, drained_since: Option<Instant>) {
        let mut state = lock(&self.state);
        state.listed = listed;
        state.drained_since = drained_since.map(|since| state.drained_since.unwrap_or(since));
    }

    /// Some balancers that start are notified that it drains at `then`, and not before.
    pub fn delay_drain_notification(&self, then: Instant) {
        let mut state = lock(&self.state);
        state.drained_since = state.drained_since.map(|since| since.max(then));
    }

    /// Suspends its process, or resumes it: connections stay, and requests wait.
    pub fn set_suspended(&self, suspended: bool) {
        self.suspended.send_replace(suspended);
    }

    async fn wait_until_resumed(&self) {
        let mut suspended = self.suspended.subscribe();
        suspended.wait_for(|suspended| !suspended).await.ok();
    }

    /// Whether it has crashed under overload since the last call.
    pub fn take_crashed(&self) -> bool {
        std::mem::take(&mut lock(&self.state).model.overloaded)
    }

    /// Requests in work and in its queue.
    pub fn in_flight(&self) -> u32 {
        lock(&self.state).model.in_flight()
    }

    /// What it has counted so far.
    pub fn counts(&self) -> UpstreamCounts {
        lock(&self.state).counts.clone()
    }

    /// Whether its process lives.
    pub fn is_alive(&self) -> bool {
        lock(&self.state).model.alive
    }

    /// Takes a sample; attempts are counted anew from here on.
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

    /// The time since callers began, in nanoseconds.
    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// Kills its process: connections are reset, new ones refused, work is lost.
    pub fn kill(&self) {
        lock(&self.process).take();
        let mut state = lock(&self.state);
        state.model.kill();
        state.queued.clear();
    }

    /// Starts a new process at its address, which has to warm up.
    pub async fn restart(self: Arc<Self>) {
        self.kill();
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                // The sockets of the former process are closed by its tasks, which may not have run yet.
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

    /// Applies a fault, or reverts it. Two of a kind at once are not distinguished.
    pub fn set_fault(&self, what: &FaultKind, active: bool) {
        let healthy = UpstreamFaults::default();
        let mut state = lock(&self.state);
        let faults = &mut state.model.active_faults;
        let pick = |faulty: f64, healthy: f64| if active { faulty } else { healthy };
        match what {
            FaultKind::Slow(factor) => faults.slowdown = pick(*factor, healthy.slowdown),
            FaultKind::Errors { share, class } => {
                faults.errors.clear();
                let only = class.as_ref().and_then(|name| self.scenario.class(name));
                faults.errors.extend(active.then_some((*share, only)));
            }
            FaultKind::ResponseLoss(share) => faults.lost = pick(*share, healthy.lost),
            FaultKind::Resets(share) => faults.resets = pick(*share, healthy.resets),
            FaultKind::Unresponsive => faults.unresponsive = active,
            FaultKind::Full => faults.full = active,
            _ => {} // rejected before the run
        }
    }

    fn serve(self: Arc<Self>, listener: TcpListener) -> JoinSet<()> {
        serve_process(listener, move |request| self.clone().respond(request))
    }
}
