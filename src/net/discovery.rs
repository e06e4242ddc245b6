//! The list of upstreams: a watch on discovery that is taken up again whenever it ends.

use super::config::Config;
use super::driver::Input;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long a watch may wait. An agent on the own machine answers at no cost, and where it falls silent, a
/// short wait notices soon; one service for all is spared calls.
const WAIT_PUSHED: Duration = Duration::from_secs(2);
const WAIT_ASKED: Duration = Duration::from_secs(20);
/// Silence beyond the wait after which a call has failed.
const OVERDUE: Duration = Duration::from_secs(2);
/// First wait after a failed call, doubling up to a cap.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Wait before the next call where nothing was new: an agent that does not wait would be asked in a loop.
/// Short enough for the watch to go on.
const PAUSE: Duration = Duration::from_millis(50);
/// A list is never this large: guards the memory.
const MOST_BYTES: usize = 8 << 20;

/// A list of upstreams, whole or what changed, in discovery's form.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    pub rev: u64,
    #[serde(default)]
    pub all: bool,
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// One upstream of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    #[serde(default)]
    pub az: String,
    #[serde(default)]
    pub pod_group: u16,
    pub state: State,
    #[serde(default = "one")]
    pub capacity_hint: f32,
    /// Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// State of an upstream; what is not known is not sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    InService,
    Terminated,
    #[serde(other)]
    Terminating,
}

fn one() -> f32 {
    1.0
}

/// Tells the driver of every change, for ever. Another address ends what was asked of the one before, and its
/// whole list is asked for at once: versions of two services cannot be compared.
pub async fn follow(
    config: Arc<Config>,
    events: UnboundedSender<Input>,
    mut subscribed: UnboundedReceiver<()>,
    mut addresses: watch::Receiver<SocketAddr>,
) {
    let mut known = Some(config.known.rev);
    loop {
        let address = *addresses.borrow_and_update();
        tokio::select! {
            biased;
            changed = addresses.changed() => if changed.is_err() { return },
            () = follow_one(address, known, config.settings.ask_discovery, &events, &mut subscribed) => return,
        }
        known = None;
    }
}

/// Follows one discovery service until nobody wants to hear of it, from a version or from the whole list on.
/// Where it must be asked, a watch begins when the decision module wants one, and a failure ends it until it
/// wants one again.
async fn follow_one(
    address: SocketAddr,
    known: Option<u64>,
    asked: bool,
    events: &UnboundedSender<Input>,
    subscribed: &mut UnboundedReceiver<()>,
) {
    let wait = if asked { WAIT_ASKED } else { WAIT_PUSHED };
    let mut watch = Watch { address, sender: None };
    let (mut rev, mut whole, mut failures) = (known.unwrap_or(0), known.is_none(), 0_u32);
    if asked && !whole && subscribed.recv().await.is_none() {
        return;
    }
    loop {
        let (path, patience) = match whole {
            true => ("/v1/servers".to_owned(), OVERDUE),
            false => (format!("/v1/servers?after={rev}&wait_ms={}", wait.as_millis()), wait + OVERDUE),
        };
        match watch.call(&path, patience).await {
            // A version that goes back means another discovery: only the whole list tells what it has.
            Ok(listing) if listing.rev < rev && !listing.all => whole = true,
            Ok(listing) => {
                if failures > 0 {
                    super::log(format_args!("discovery answers again after {failures} failures"));
                }
                let unchanged = listing.rev == rev;
                (rev, whole, failures) = (listing.rev, false, 0);
                if events.send(Input::Listed(listing)).is_err() {
                    return;
                }
                if unchanged {
                    sleep(PAUSE).await;
                }
            }
            Err(error) => {
                watch.sender = None;
                if failures == 0 {
                    super::log(format_args!("discovery failed: {error}"));
                }
                failures = failures.saturating_add(1);
                if asked {
                    while subscribed.try_recv().is_ok() {} // what was asked before this failure
                    if events.send(Input::ListFailed).is_err() || subscribed.recv().await.is_none() {
                        return;
                    }
                } else {
                    sleep((BACKOFF.0 * (1 << failures.min(8))).min(BACKOFF.1)).await;
                }
            }
        }
    }
}

struct Watch {
    address: SocketAddr,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl Watch {
    async fn call(
        &mut self,
        path: &str,
        patience: Duration,
    ) -> Result<Listing, Box<dyn Error + Send + Sync>> {
        timeout(patience, self.exchange(path)).await.map_err(|_| "no answer in time")?
    }

    async fn exchange(&mut self, path: &str) -> Result<Listing, Box<dyn Error + Send + Sync>> {
        let mut sender = match self.sender.take() {
            // The agent may have closed it since.
            Some(sender) if !sender.is_closed() => sender,
            _ => {
                let tcp = TcpStream::connect(self.address).await?;
                tcp.set_nodelay(true)?;
                let (sender, connection) = handshake(TokioIo::new(tcp)).await?;
                tokio::spawn(connection);
                sender
            }
        };
        sender.ready().await?;
        let request =
            Request::get(path).header("Host", self.address.to_string()).body(Empty::<Bytes>::new())?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MOST_BYTES).collect().await?.to_bytes();
        if !status.is_success() {
            return Err(format!("status {status}").into());
        }
        self.sender = Some(sender);
        Ok(serde_json::from_slice(&body)?)
    }
}
