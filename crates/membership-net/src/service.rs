//! The handle of a member that runs on a thread of its own.

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

/// How long a member may take to leave.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// The name of the member's thread, by which its processor time is measured from outside.
const THREAD_NAME: &str = "instances";

/// Why a member cannot be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration or one of its files is at fault.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A setting is at fault.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The address cannot be bound.
    #[error("`listen` {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The system gives no random numbers.
    #[error("no random numbers: {0}")]
    Random(#[source] getrandom::Error),
    /// The thread's runtime cannot be built.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The thread cannot be spawned.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
}

/// A member that runs on a thread of its own. When the last handle is dropped, it stops without a
/// message.
#[derive(Clone)]
pub struct Membership {
    shared: Arc<Shared>,
    config: Arc<MembershipConfig>,
    _stop_on_drop: Arc<StopOnDrop>,
}

/// Stops the thread with the last handle.
struct StopOnDrop(Arc<Shared>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.shut_down_if_running(Shutdown::Immediate);
    }
}

impl Membership {
    /// Starts a member. That another process has the address is no error: at an upgrade it is the
    /// predecessor's for a while.
    ///
    /// # Errors
    ///
    /// [`StartError`], in one line that names the field at fault.
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

    /// The address at which others reach it.
    pub fn address(&self) -> SocketAddr {
        self.shared.endpoint().node.local().address
    }

    /// Whether it has its address, and no other process does.
    pub fn is_bound(&self) -> bool {
        self.shared.is_bound()
    }

    /// Reads the files of keys and seeds again.
    ///
    /// # Errors
    ///
    /// [`ConfigError`], in one line; nothing has changed then.
    pub fn reload(&self) -> Result<(), ConfigError> {
        let (keys, seeds) = (self.config.load_keys()?, self.config.load_seeds()?);
        let mut endpoint = self.shared.endpoint();
        if let (Some(authenticator), Some(keys)) = (&mut endpoint.authenticator, keys) {
            authenticator.set_keys(keys);
        }
        endpoint.node.set_seeds(seeds);
        Ok(())
    }

    /// The thread that serves requests makes progress. After the first heartbeat, the member stops
    /// answering where none comes for a second: a process that hangs is not healthy.
    pub fn heartbeat(&self) {
        self.shared.heartbeat();
    }

    /// Publishes a record to all members, in place of the one under its key.
    ///
    /// # Errors
    ///
    /// [`PublishError`] where the value is too long or there are too many records.
    pub fn publish(&self, key: Name, priority: u8, value: Vec<u8>) -> Result<(), PublishError> {
        let now = self.shared.now();
        let mut endpoint = self.shared.endpoint();
        endpoint.node.publish(now, key, priority, value)?;
        drop(endpoint);
        self.shared.notify_driver();
        Ok(())
    }

    /// Reads the node at the time of its clock. The member is locked meanwhile, so `read` must not
    /// block.
    pub fn with_node<T>(&self, read: impl FnOnce(&Node, Timestamp) -> T) -> T {
        read(&self.shared.endpoint().node, self.shared.now())
    }

    /// Changes the node at the time of its clock, and sends what comes of it. The member is locked
    /// meanwhile, so `change` must not block.
    pub fn with_node_mut<T>(&self, change: impl FnOnce(&mut Node, Timestamp) -> T) -> T {
        let (now, mut endpoint) = (self.shared.now(), self.shared.endpoint());
        let result = change(&mut endpoint.node, now);
        drop(endpoint);
        self.shared.notify_driver();
        result
    }

    /// What operators read.
    pub fn report(&self) -> Report {
        let endpoint = self.shared.endpoint();
        Report::new(&endpoint.node, endpoint.rejections, self.shared.now())
    }

    /// Announces that the member leaves, and returns when it has.
    pub async fn leave(&self) {
        self.shared.shut_down(Shutdown::Graceful);
        tokio::time::timeout(LEAVE_TIMEOUT, self.shared.ended())
            .await
            .ok();
    }
}

/// Binds the address; `None` where another process has it. A port that the system is to choose is
/// never in use.
fn bind_unless_in_use(listen: SocketAddr) -> Result<Option<Sockets>, StartError> {
    match Sockets::bind(listen) {
        Err(error) if error.kind() == io::ErrorKind::AddrInUse && listen.port() != 0 => Ok(None),
        bound => bound.map(Some).map_err(|source| StartError::Bind {
            address: listen,
            source,
        }),
    }
}

/// The local member, in a new generation.
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

/// Runs the driver on a thread of its own.
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
