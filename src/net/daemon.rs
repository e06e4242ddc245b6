//! Start, configuration reload and shutdown of the daemon.

use super::admin::{AdminServer, AdminState};
use super::config::{Config, ConfigError};
use super::evacuation::EvacuationTask;
use super::hot_restart;
use super::log::{install_library_log, log};
use super::metrics::{Metrics, MetricsError};
use super::server::{Server, ServiceSettings};
use super::{MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinError, JoinHandle};
use tokio::time::{Instant, sleep};
use woadstall_inbound::listen;
use woadstall_membership_net::{Membership, MembershipConfig};
use woadstall_runtime::{LoadBalancer, LoadBalancerConfig, ReconfigureError};
use woadstall_settings::{ActiveSettings, ChangeError};
use woadstall_transport::Http1;

/// Interval of the heartbeats that the thread serving calls sends to the membership. The member counts as paused one
/// second after the last heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The error of a daemon that could not start or did not shut down in order. The message is a single line that names
/// the setting at fault.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The load balancer could not start.
    #[error(transparent)]
    LoadBalancer(#[from] woadstall_runtime::StartError),
    /// The metrics could not be registered.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The membership could not start.
    #[error("instances: {0}")]
    Membership(#[from] woadstall_membership_net::StartError),
    /// The daemon cannot listen on an address.
    #[error("`{field}` {address}: {source}")]
    Listen {
        /// Key of the address in the configuration.
        field: &'static str,
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A signal handler cannot be installed.
    #[error("{name}: {source}")]
    Signal {
        /// Name of the signal.
        name: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The server task has panicked.
    #[error("the server stopped: {0}")]
    Server(#[from] JoinError),
}

/// The error of a rejected configuration reload. The previous configuration stays in effect.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Change(#[from] ChangeError),
    #[error(transparent)]
    Reconfigure(#[from] ReconfigureError),
}

/// A running daemon, on the tokio runtime that it was started in.
pub struct Daemon {
    address: SocketAddr,
    metrics: Arc<Metrics>,
    discovery_address: watch::Sender<SocketAddr>,
    load_balancer: LoadBalancer<Http1>,
    settings: watch::Sender<Arc<ServiceSettings>>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
    membership: Option<Membership>,
}

impl Daemon {
    /// Starts all components, and listens on the configured addresses.
    ///
    /// # Errors
    ///
    /// Fails if a component cannot start, or if the daemon cannot listen on an address.
    pub async fn start(config: Config) -> Result<Self, DaemonError> {
        let config = Arc::new(config);
        let load_balancer = start_load_balancer(&config)?;
        let mut metrics = Metrics::new(config.names.classes.iter().map(String::as_str))?;
        let membership = config
            .membership
            .clone()
            .map(start_membership)
            .transpose()?;
        let evacuation = config.evacuation.as_ref().zip(membership.clone());
        let evacuation = evacuation.map(|(section, membership)| {
            EvacuationTask::start(section, &config, membership, load_balancer.clone())
        });
        metrics.register_membership(membership.clone())?;
        metrics.register_evacuation(evacuation.clone())?;
        let metrics = Arc::new(metrics);
        hot_restart::restore_state(&config, &load_balancer).await;
        // Listening comes last: during a hot restart, a process receives connections as soon as it listens.
        let admin_listener = bind_admin(config.admin).await?;
        let (listener, address) = bind_callers(config.listen)?;
        log(format_args!("listening address={address}"));

        let (stop, stopping) = watch::channel(false);
        let (discovery_address, watched_address) = watch::channel(config.discovery);
        load_balancer.watch_discovery(watched_address);
        let (settings, service_settings) = watch::channel(initial_settings(&config));
        if let Some(directory) = &config.shared_directory {
            hot_restart::serve_state(directory, address, &load_balancer, &service_settings);
        }
        let (out_of_service, is_out_of_service) = watch::channel(false);
        let admin = AdminState {
            ready: load_balancer.ready(),
            load_balancer: load_balancer.clone(),
            metrics: metrics.clone(),
            stopping: stopping.clone(),
            out_of_service,
            membership: membership.clone(),
            evacuation,
        };
        start_admin(admin, admin_listener);
        let server = Server::new(
            config,
            load_balancer.clone(),
            metrics.clone(),
            service_settings,
            is_out_of_service,
        );
        let serving = tokio::spawn(server.run(listener, stopping));
        Ok(Self {
            address,
            metrics,
            discovery_address,
            load_balancer,
            settings,
            stop,
            serving,
            membership,
        })
    }

    /// Address that the daemon listens on for callers, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The membership among load balancers, if it is configured.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    /// Reads the configuration again and applies its discovery address and settings. Changes of other fields require a
    /// restart. An invalid configuration changes nothing. The key and seeds files of the membership are reloaded in
    /// either case.
    fn reload(&self) {
        match self.apply_new_config() {
            Ok(discovery) => {
                log(format_args!("configuration_applied discovery={discovery}"));
                self.discovery_address.send_replace(discovery);
                self.metrics.configs_applied.inc();
            }
            Err(error) => {
                log(format_args!("configuration_rejected error=\"{error}\""));
                self.metrics.configs_rejected.inc();
            }
        }
        if let Some(Err(error)) = self.membership.as_ref().map(Membership::reload) {
            log(format_args!("membership_reload_failed error=\"{error}\""));
        }
    }

    /// Reads the configuration again and applies its settings. Returns the address of discovery.
    fn apply_new_config(&self) -> Result<SocketAddr, ReloadError> {
        let config = Config::reload()?;
        let current = self.settings.borrow().clone();
        let (active, change) = current.active.apply(&config.settings, &config.names)?;
        self.load_balancer.reconfigure(change)?;
        let idle_timeout = Duration::from_nanos(config.settings.idle_timeout);
        self.load_balancer
            .transport()
            .reconfigure(active.names(), idle_timeout);
        self.metrics.add_classes(active.active_class_names());
        let changed_at = Some(Instant::now());
        self.settings
            .send_replace(Arc::new(ServiceSettings { active, changed_at }));
        Ok(config.discovery)
    }

    /// Stops accepting connections, and returns once all accepted requests have their responses.
    ///
    /// # Errors
    ///
    /// Fails if the server task has panicked.
    pub async fn stop(self) -> Result<(), DaemonError> {
        self.stop.send_replace(true);
        let result = self.serving.await;
        // The member leaves last: until now this process has called upstreams, and the other load balancers of these
        // upstreams must take it into account.
        if let Some(membership) = &self.membership {
            membership.leave().await;
        }
        Ok(result?)
    }
}

fn start_load_balancer(config: &Config) -> Result<LoadBalancer<Http1>, DaemonError> {
    let idle_timeout = Duration::from_nanos(config.settings.idle_timeout);
    let max_open = config.limits.upstream_connections;
    let transport = Http1::new(
        &config.names,
        idle_timeout,
        max_open,
        MAX_BUFFERED_RESPONSE_BYTES,
    )
    .with_streaming(MAX_BODY_BYTES);
    let load_balancer_config = LoadBalancerConfig {
        settings: config.settings.clone(),
        names: config.names.clone(),
        seed: config.seed,
        known_endpoints: config.known_endpoints.clone(),
    };
    Ok(LoadBalancer::new(
        load_balancer_config,
        transport,
        Arc::new(log),
    )?)
}

/// Returns the settings at the start of the daemon.
fn initial_settings(config: &Config) -> Arc<ServiceSettings> {
    let active = ActiveSettings::new(config.settings.clone(), config.names.clone());
    Arc::new(ServiceSettings {
        active,
        changed_at: None,
    })
}

/// Starts the membership and a task that sends heartbeats to it as long as the thread serving calls runs.
fn start_membership(config: MembershipConfig) -> Result<Membership, DaemonError> {
    let membership = Membership::start(config, Arc::new(log))?;
    let heartbeats = membership.clone();
    tokio::spawn(async move {
        loop {
            heartbeats.heartbeat();
            sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    Ok(membership)
}

async fn bind_admin(address: Option<SocketAddr>) -> Result<Option<TcpListener>, DaemonError> {
    let Some(address) = address else {
        return Ok(None);
    };
    match TcpListener::bind(address).await {
        Ok(listener) => Ok(Some(listener)),
        Err(source) => Err(DaemonError::Listen {
            field: "admin",
            address,
            source,
        }),
    }
}

/// Listens for callers. Also returns the bound address, since the system may have chosen the port.
fn bind_callers(address: SocketAddr) -> Result<(TcpListener, SocketAddr), DaemonError> {
    let failed = |source| DaemonError::Listen {
        field: "listen",
        address,
        source,
    };
    let listener = listen(address).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Starts the admin server if an admin address is configured.
fn start_admin(state: AdminState, listener: Option<TcpListener>) {
    let Some(listener) = listener else { return };
    if let Ok(address) = listener.local_addr() {
        log(format_args!("admin_listening address={address}"));
    }
    tokio::spawn(AdminServer::new(state).run(listener));
}

/// Runs the daemon until SIGTERM or SIGINT, and then until all accepted requests have their responses. SIGHUP reloads
/// the configuration.
///
/// # Errors
///
/// Fails if the daemon cannot start, or if the server task has panicked.
pub async fn run(config: Config) -> Result<(), DaemonError> {
    install_library_log();
    let mut terminate = signal_handler(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = signal_handler(SignalKind::interrupt(), "SIGINT")?;
    let mut hangup = signal_handler(SignalKind::hangup(), "SIGHUP")?;
    let daemon = Daemon::start(config).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => daemon.reload(),
        }
    }
    daemon.stop().await
}

/// Installs a handler for a signal, which replaces the signal's default action.
fn signal_handler(kind: SignalKind, name: &'static str) -> Result<Signal, DaemonError> {
    signal(kind).map_err(|source| DaemonError::Signal { name, source })
}
