//! The daemon: callers' sockets on one side, the shared runtime and its connections on the other. Nothing here
//! decides: the engine asks the decision module.

mod admin;
pub mod config;
pub mod evacuation;
mod figures;
pub mod instances;
pub mod members;
pub mod places;
mod server;

use config::Config;
use evacuation::Evacuating;
use figures::Figures;
use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use woadstall_hot_restart::{TransferredState, socket};
use woadstall_inbound::listen;
use woadstall_membership_net::Membership;
use woadstall_runtime::{LoadBalancer, LoadBalancerConfig};
use woadstall_settings::ActiveSettings;
use woadstall_transport::Http1;

/// Lines written in a second at most: in trouble, what they tell of happens many times a second.
const LOG_LINES: u32 = 20;
/// Largest body either way.
const MOST_BODY: usize = 32 << 20;
/// Largest answer that is read whole, so that it can be tried again; a larger one is passed on as it comes.
const WHOLE_ANSWER: usize = 64 << 10;

/// Writes one line to standard error, unless too many were written lately. Unlike `eprintln`, it does not
/// panic where that is closed.
pub fn log(text: fmt::Arguments<'_>) {
    static LATELY: Mutex<Option<(Instant, u32)>> = Mutex::new(None);
    let mut lately = LATELY.lock().unwrap_or_else(PoisonError::into_inner);
    let (since, lines) = lately
        .filter(|(since, _)| since.elapsed() < Duration::from_secs(1))
        .unwrap_or_else(|| (Instant::now(), 0));
    *lately = Some((since, lines.saturating_add(1)));
    match lines {
        ..LOG_LINES => writeln!(io::stderr().lock(), "woadstall: {text}").ok(),
        LOG_LINES => writeln!(
            io::stderr().lock(),
            "woadstall: more lines than may be written"
        )
        .ok(),
        _ => None,
    };
}

/// The settings that requests are taken under.
pub struct InService {
    terms: ActiveSettings,
    /// When they changed last.
    since: Option<tokio::time::Instant>,
}

/// A daemon that serves, in the tokio runtime that it was started in.
pub struct Daemon {
    address: SocketAddr,
    figures: Arc<Figures>,
    discovery: watch::Sender<SocketAddr>,
    balance: LoadBalancer<Http1>,
    terms: watch::Sender<Arc<InService>>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
    instances: Option<Membership>,
}

impl Daemon {
    /// Listens and serves. The error is one line that names the setting at fault.
    pub async fn start(config: Config) -> Result<Self, String> {
        let config = Arc::new(config);
        let keep = Duration::from_nanos(config.settings.idle_timeout);
        let transport = Http1::new(&config.names, keep, config.limits.upstreams, WHOLE_ANSWER)
            .with_streaming(MOST_BODY);
        let setup = LoadBalancerConfig {
            settings: config.settings.clone(),
            names: config.names.clone(),
            seed: config.seed,
            known_endpoints: config.known.clone(),
        };
        let balance = LoadBalancer::new(setup, transport, Arc::new(log))
            .map_err(|error| error.to_string())?;
        let mut figures = Figures::new(config.names.classes.iter().map(String::as_str))?;
        let instances = config.instances.clone().map(instances::start).transpose()?;
        if let Some(instances) = &instances {
            figures.show_members(instances.clone())?;
        }
        let evacuating = config
            .evacuation
            .as_ref()
            .zip(instances.clone())
            .map(|(file, instances)| Evacuating::start(file, &config, instances, balance.clone()));
        if let Some(evacuating) = &evacuating {
            figures.show_places(evacuating.clone())?;
        }
        let figures = Arc::new(figures);
        take_over(&config, &balance).await;
        // Last, as a process that listens beside its predecessor is given connections at once.
        let operators = match config.admin {
            Some(admin) => Some(
                TcpListener::bind(admin)
                    .await
                    .map_err(|e| format!("`admin` {admin}: {e}"))?,
            ),
            None => None,
        };
        let failed = |error: io::Error| format!("`listen` {}: {error}", config.listen);
        let listener = listen(config.listen).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        log(format_args!("listening on {address}"));

        let (stop, stopping) = watch::channel(false);
        let (discovery, discovery_at) = watch::channel(config.discovery);
        balance.watch_discovery(discovery_at);
        let terms = ActiveSettings::new(config.settings.clone(), config.names.clone());
        let (terms, in_service) = watch::channel(Arc::new(InService { terms, since: None }));
        if let Some(folder) = &config.shared {
            let told = (balance.clone(), in_service.clone());
            let state = move || state(&told.0, &told.1.borrow().terms);
            match socket::bind(&socket::socket_path(folder, address)) {
                Ok(listener) => drop(tokio::spawn(socket::serve_state(listener, state))),
                Err(error) => log(format_args!("no successor can ask: {error}")),
            }
        }
        let (away, sent_away) = watch::channel(false);
        if let Some(operators) = operators {
            if let Ok(at) = operators.local_addr() {
                log(format_args!("operators call at {at}"));
            }
            let admin = admin::Admin::new(
                balance.clone(),
                figures.clone(),
                stopping.clone(),
                away,
                instances.clone(),
                evacuating,
            );
            tokio::spawn(admin.run(operators));
        }
        let server = server::Server::new(
            config,
            balance.clone(),
            figures.clone(),
            in_service,
            sent_away,
        );
        let serving = tokio::spawn(server.run(listener, stopping));
        Ok(Self {
            address,
            figures,
            discovery,
            balance,
            terms,
            stop,
            serving,
            instances,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes over a new configuration: where discovery is, and the settings. All else needs a new start. One
    /// that is not sound changes nothing.
    fn reload(&self) {
        match Config::load_again().and_then(|config| self.retune(&config).map(|()| config)) {
            Ok(config) => {
                log(format_args!(
                    "configuration read again, discovery at {}",
                    config.discovery
                ));
                self.discovery.send_replace(config.discovery);
                self.figures.applied.inc();
            }
            Err(error) => {
                log(format_args!(
                    "configuration kept, as the new one is not sound: {error}"
                ));
                self.figures.rejected.inc();
            }
        }
        if let Some(Err(error)) = self.instances.as_ref().map(Membership::reload) {
            log(format_args!("instances: keys and seeds kept: {error}"));
        }
    }

    fn retune(&self, config: &Config) -> Result<(), String> {
        let (terms, change) = self
            .terms
            .borrow()
            .terms
            .apply(&config.settings, &config.names)
            .map_err(|error| error.to_string())?;
        self.balance
            .reconfigure(change)
            .map_err(|error| error.to_string())?;
        self.balance.transport().reconfigure(
            terms.names(),
            Duration::from_nanos(config.settings.idle_timeout),
        );
        self.figures.know(terms.active_class_names());
        self.terms.send_replace(Arc::new(InService {
            terms,
            since: Some(tokio::time::Instant::now()),
        }));
        Ok(())
    }

    /// Stops taking connections, answers all that was taken, and returns.
    pub async fn stop(self) -> Result<(), String> {
        self.stop.send_replace(true);
        let served = self
            .serving
            .await
            .map_err(|error| format!("the server stopped: {error}"));
        // Last: until here it calls upstreams, and counts for those that share them.
        if let Some(instances) = &self.instances {
            instances.leave().await;
        }
        served
    }

    /// Its membership among balancers, where it has one.
    pub fn instances(&self) -> Option<&Membership> {
        self.instances.as_ref()
    }
}

/// Takes over what a predecessor at the same address has learned, if there is one in the folder that they share.
async fn take_over(config: &Config, balance: &LoadBalancer<Http1>) {
    // At port 0 there is nobody before.
    let Some(folder) = config
        .shared
        .as_deref()
        .filter(|_| config.listen.port() != 0)
    else {
        return;
    };
    match socket::fetch_state(&socket::socket_path(folder, config.listen)).await {
        Ok(None) => {}
        Ok(Some(state)) => {
            let class = |name: &str| config.names.class(name);
            balance
                .learn_from(|upstreams| state.learned(class, |name| upstreams.get(name).copied()));
            log(format_args!(
                "taken over what the process before has learned"
            ));
        }
        Err(error) => log(format_args!(
            "nothing taken over from the process before: {error}"
        )),
    }
}

fn state(balance: &LoadBalancer<Http1>, terms: &ActiveSettings) -> TransferredState {
    let (learned, names) = balance.learned();
    let class = |at: usize| {
        let name = terms.names().classes.get(at)?.as_str();
        (terms.class(name) == Some(at)).then_some(name)
    };
    TransferredState::new(&learned, class, |server| names.get(&server).cloned())
}

/// Serves until a signal to stop, and then until all that was taken is answered. The error is one line.
pub async fn run(config: Config) -> Result<(), String> {
    let failed = |what: &str, error: io::Error| format!("{what}: {error}");
    let mut term = signal(SignalKind::terminate()).map_err(|e| failed("SIGTERM", e))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| failed("SIGINT", e))?;
    let mut hup = signal(SignalKind::hangup()).map_err(|e| failed("SIGHUP", e))?;
    let daemon = Daemon::start(config).await?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => daemon.reload(),
        }
    }
    daemon.stop().await
}
