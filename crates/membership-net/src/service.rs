//! Handle of a member that runs on its own thread.

use crate::config::{ConfigError, MembershipConfig};
use crate::driver;
use crate::endpoint::Endpoint;
use crate::log::LogSink;
use crate::report::Report;
use crate::shared::{Shared, Shutdown};
use crate::sockets::Sockets;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::runtime::Builder;
use woadstall_membership::{
    Generation, MemberMetadata, Name, Node, PublishError, SettingsError, Timestamp,
};
use woadstall_message_auth::MessageAuthenticator;

/// Maximum time that a graceful leave may take.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Name of the member's thread, by which external tools measure its processor time.
const THREAD_NAME: &str = "instances";

/// The reason why a member cannot be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration or one of its files is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A protocol setting is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The listen address cannot be bound.
    #[error("`listen` {address}: {source}")]
    Bind {
        /// Configured listen address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The operating system provides no random numbers.
    #[error("cannot obtain random numbers: {0}")]
    Random(#[source] getrandom::Error),
    /// The asynchronous runtime of the thread cannot be built.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The thread cannot be spawned.
    #[error("cannot spawn the membership thread: {0}")]
    Thread(#[source] io::Error),
}

/// A handle of a member that runs on its own thread. When the last handle is dropped, the member
/// stops without announcing its leave.
#[derive(Clone)]
pub struct Membership {
    shared: Arc<Shared>,
    config: Arc<MembershipConfig>,
    _stop_on_drop: Arc<StopOnDrop>,
}

/// Stops the member's thread on drop of the last handle.
struct StopOnDrop(Arc<Shared>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.shut_down_if_running(Shutdown::Immediate);
    }
}

impl Membership {
    /// Starts a member. An address in use by another process is not an error: during an upgrade the
    /// predecessor holds the address for a while.
    ///
    /// # Errors
    ///
    /// [`StartError`] with a single-line message that names the invalid field.
    pub fn start(config: MembershipConfig, log: LogSink) -> Result<Self, StartError> {
        config.check()?;
        let (keys, seeds) = (config.load_keys()?, config.load_seeds()?);
        let sockets = bind_unless_in_use(config.listen)?;
        let local = local_member(&config, sockets.as_ref())?;
        let authenticator = keys.map(|keys| MessageAuthenticator::new(keys, local.generation.id));
        let node = Node::new(local, seeds, config.settings.clone(), random()?, 0)?;
        let endpoint = Endpoint::new(node, authenticator);
        let shared = Arc::new(Shared::new(endpoint, sockets.is_some()));
        if config.insecure {
            log(format_args!("membership: running without a key"));
        }
        spawn(shared.clone(), sockets, config.listen, log)?;
        Ok(Self {
            _stop_on_drop: Arc::new(StopOnDrop(shared.clone())),
            shared,
            config: Arc::new(config),
        })
    }

    /// Address at which other members reach the local member.
    pub fn address(&self) -> SocketAddr {
        self.shared.endpoint().node.local().address
    }

    /// Whether the member has bound its address.
    pub fn is_bound(&self) -> bool {
        self.shared.is_bound()
    }

    /// Reloads the key file and the seeds file.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] with a single-line message. The former keys and seeds then stay in effect.
    pub fn reload(&self) -> Result<(), ConfigError> {
        let (keys, seeds) = (self.config.load_keys()?, self.config.load_seeds()?);
        let mut endpoint = self.shared.endpoint();
        if let (Some(authenticator), Some(keys)) = (&mut endpoint.authenticator, keys) {
            authenticator.set_keys(keys);
        }
        endpoint.node.set_seeds(seeds);
        Ok(())
    }

    /// Reports progress of the thread that serves requests. After the first heartbeat, the member
    /// stops answering messages if no heartbeat arrives for a second, so that a hung process is not
    /// reported as healthy.
    pub fn heartbeat(&self) {
        self.shared.heartbeat();
    }

    /// Publishes a record to all members, replacing the local member's record under the same key.
    ///
    /// # Errors
    ///
    /// [`PublishError`] if the value is too long or the local member has too many records.
    pub fn publish(&self, key: Name, priority: u8, value: Vec<u8>) -> Result<(), PublishError> {
        let now = self.shared.now();
        let mut endpoint = self.shared.endpoint();
        endpoint.node.publish(now, key, priority, value)?;
        drop(endpoint);
        self.shared.notify_driver();
        Ok(())
    }

    /// Calls `read` with the node and the current time. The member is locked during the call, so
    /// `read` must not block.
    pub fn with_node<T>(&self, read: impl FnOnce(&Node, Timestamp) -> T) -> T {
        read(&self.shared.endpoint().node, self.shared.now())
    }

    /// Calls `change` with the node and the current time, and sends resulting messages. The member
    /// is locked during the call, so `change` must not block.
    pub fn with_node_mut<T>(&self, change: impl FnOnce(&mut Node, Timestamp) -> T) -> T {
        let (now, mut endpoint) = (self.shared.now(), self.shared.endpoint());
        let result = change(&mut endpoint.node, now);
        drop(endpoint);
        self.shared.notify_driver();
        result
    }

    /// The current report for operators.
    pub fn report(&self) -> Report {
        let endpoint = self.shared.endpoint();
        Report::new(&endpoint.node, endpoint.rejections, self.shared.now())
    }

    /// Announces the leave of the member and waits until its thread has ended, at most for a
    /// second.
    pub async fn leave(&self) {
        self.shared.shut_down(Shutdown::Graceful);
        tokio::time::timeout(LEAVE_TIMEOUT, self.shared.ended())
            .await
            .ok();
    }
}

/// Binds the listen address, or returns `None` if another process holds it. A port chosen by the
/// system is never in use.
fn bind_unless_in_use(listen: SocketAddr) -> Result<Option<Sockets>, StartError> {
    match Sockets::bind(listen) {
        Err(error) if error.kind() == io::ErrorKind::AddrInUse && listen.port() != 0 => Ok(None),
        bound => bound.map(Some).map_err(|source| StartError::Bind {
            address: listen,
            source,
        }),
    }
}

/// Creates the local member's metadata with a new generation.
fn local_member(
    config: &MembershipConfig,
    sockets: Option<&Sockets>,
) -> Result<MemberMetadata, StartError> {
    let bound = sockets.map_or(config.listen, |sockets| sockets.address);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let generation = Generation {
        started_ms: since_epoch.unwrap_or_default().as_millis() as u64,
        id: random()?,
    };
    Ok(MemberMetadata {
        name: config.name.clone(),
        generation,
        address: config.advertise.unwrap_or(bound),
        zone: config.zone.clone(),
        region: config.region.clone(),
    })
}

fn random() -> Result<u64, StartError> {
    getrandom::u64().map_err(StartError::Random)
}

/// Spawns the member's thread, which runs the driver.
fn spawn(
    shared: Arc<Shared>,
    sockets: Option<Sockets>,
    listen: SocketAddr,
    log: LogSink,
) -> Result<(), StartError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned());
    let spawned = thread.spawn(move || {
        runtime.block_on(driver::run(shared.clone(), sockets, listen, log));
        shared.set_ended();
    });
    spawned.map_err(StartError::Thread)?;
    Ok(())
}
