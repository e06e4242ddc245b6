//! The list of upstreams: a watch on discovery that is taken up again whenever it ends.

use crate::listing::Listing;
use bytes::Bytes;
use fastrand::Rng;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long a watch may wait where an agent on the own machine answers, at no cost. A change counts as told 6 s after a
/// watch fell silent: even the second silent call in a row must be given up well before.
const WAIT_PUSHED: Duration = Duration::from_secs(1);
/// How long a watch may wait where one service answers all balancers: it is spared calls. Each watch draws its own wait
/// between these: it works through calls in turn, and those of balancers that started together, or whose watches fell
/// silent together, would come together again and again.
const SHORTEST_WAIT_ASKED: Duration = Duration::from_secs(10);
const LONGEST_WAIT_ASKED: Duration = Duration::from_secs(20);
/// Silence beyond its wait after which a watch has failed. A change counts as told 2 s after that wait, and the next
/// call has to come through until then, behind those of others.
const OVERDUE: Duration = Duration::from_millis(750);
/// How long a call for the whole list may take.
const WHOLE_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may take to come up: a dial that goes on for the time of a watch would hide a service that is
/// back.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait after the first failed call in a row to an agent, doubling with each up to the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait after a failed call to an agent. What it has counts as told the moment it is back.
const LONGEST_BACKOFF: Duration = Duration::from_millis(250);
/// Wait before the next call where the last one told nothing new: an agent that does not wait, or tells nonsense, would
/// be asked in a loop. Short enough for the watch to go on.
const PAUSE: Duration = Duration::from_millis(50);
/// A list is never this large: guards the memory.
const MOST_BYTES: usize = 8 << 20;

/// What a follower of discovery hears of.
#[derive(Debug)]
pub enum Update {
    /// Discovery has answered.
    Listed(Listing),
    /// A watch failed that the decision module had asked for.
    Failed,
    /// A line for the operators.
    Note(String),
}

/// What to follow.
#[derive(Clone, Copy, Debug)]
pub struct Follow {
    /// The version of the list that is known already; `None` asks for the whole list first.
    pub known: Option<u64>,
    /// Discovery answers only when asked: a watch begins when one is subscribed.
    pub asked: bool,
    /// Spreads the calls of balancers.
    pub seed: u64,
}

/// Tells `tell` of every change, until that says that nobody wants to hear of it. Another address ends what was asked of
/// the one before, and its whole list is asked for at once: versions of two services cannot be compared.
pub async fn follow(
    follow: Follow,
    mut tell: impl FnMut(Update) -> bool,
    mut subscribed: UnboundedReceiver<()>,
    mut addresses: watch::Receiver<SocketAddr>,
) {
    let Follow {
        mut known,
        asked,
        seed,
    } = follow;
    let mut random = Rng::with_seed(seed);
    loop {
        let address = *addresses.borrow_and_update();
        tokio::select! {
            biased;
            changed = addresses.changed() => if changed.is_err() { return },
            () = follow_one(address, known, asked, &mut random, &mut tell, &mut subscribed) => return,
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
    random: &mut Rng,
    tell: &mut impl FnMut(Update) -> bool,
    subscribed: &mut UnboundedReceiver<()>,
) {
    let mut watch = Watch {
        address,
        sender: None,
    };
    let (mut rev, mut whole, mut failures) = (known.unwrap_or(0), known.is_none(), 0_u32);
    if asked && !whole && subscribed.recv().await.is_none() {
        return;
    }
    let mut reopened = false;
    loop {
        let wait = if asked {
            wait_asked(random)
        } else {
            WAIT_PUSHED
        };
        let (path, patience) = match whole {
            true => ("/v1/servers".to_owned(), WHOLE_LIST_TIMEOUT),
            false => (
                format!("/v1/servers?after={rev}&wait_ms={}", wait.as_millis()),
                wait + OVERDUE,
            ),
        };
        match watch.call(&path, patience).await {
            // A version that goes back means another discovery: only the whole list tells what it has.
            Ok(listing) if listing.rev < rev && !listing.all => {
                whole = true;
                sleep(PAUSE).await;
            }
            Ok(listing) => {
                if failures > 0 {
                    tell(Update::Note(format!(
                        "discovery answers again after {failures} failures"
                    )));
                }
                let unchanged = listing.rev == rev;
                (rev, whole, failures, reopened) = (listing.rev, false, 0, false);
                if !tell(Update::Listed(listing)) {
                    return;
                }
                if unchanged {
                    sleep(PAUSE).await;
                }
            }
            Err(error) => {
                watch.sender = None;
                if failures == 0 {
                    tell(Update::Note(format!("discovery failed: {error}")));
                }
                failures = failures.saturating_add(1);
                // A watch that has fallen silent is opened anew at once: what it missed may be told already.
                if asked
                    && !whole
                    && error.is::<NoAnswer>()
                    && !std::mem::replace(&mut reopened, true)
                {
                    continue;
                }
                if asked {
                    while subscribed.try_recv().is_ok() {} // what was asked before this failure
                    if !tell(Update::Failed) || subscribed.recv().await.is_none() {
                        return;
                    }
                } else {
                    sleep(backoff(failures)).await;
                }
            }
        }
    }
}

/// How long a watch waits where one service answers all balancers.
fn wait_asked(random: &mut Rng) -> Duration {
    let spread = LONGEST_WAIT_ASKED - SHORTEST_WAIT_ASKED;
    SHORTEST_WAIT_ASKED + spread.mul_f64(random.f64())
}

/// A call has taken longer than it may.
#[derive(Debug, thiserror::Error)]
#[error("no answer in time")]
struct NoAnswer;

/// How long to wait after so many failed calls in a row.
fn backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    FIRST_BACKOFF
        .saturating_mul(1 << doublings)
        .min(LONGEST_BACKOFF)
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
        timeout(patience, self.exchange(path))
            .await
            .map_err(|_| NoAnswer)?
    }

    async fn exchange(&mut self, path: &str) -> Result<Listing, Box<dyn Error + Send + Sync>> {
        let mut sender = match self.sender.take() {
            // The agent may have closed it since.
            Some(sender) if !sender.is_closed() => sender,
            _ => {
                let dialled = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
                let tcp = dialled.map_err(|_| "no connection in time")??;
                tcp.set_nodelay(true)?;
                let (sender, connection) = handshake(TokioIo::new(tcp)).await?;
                tokio::spawn(connection);
                sender
            }
        };
        sender.ready().await?;
        let request = Request::get(path)
            .header("Host", self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MOST_BYTES)
            .collect()
            .await?
            .to_bytes();
        if !status.is_success() {
            return Err(format!("status {status}").into());
        }
        self.sender = Some(sender);
        Ok(serde_json::from_slice(&body)?)
    }
}
