//! Discovery: an agent beside each balancer, which serves the endpoint list as it has reached it, or one service that
//! is polled by all and works through their reads one after the other.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};
use woadstall_emulator::{Actor, RegistryConfig, RegistryQueries, stream};
use woadstall_load_test::lock;
use woadstall_mock_servers::simulated_upstream::serve_process;

/// The longest that a watch waits for a newer list.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// A read that may not wait and finds nothing new is answered this much later, so that its balancer does not spin.
const EMPTY_READ_DELAY: Duration = Duration::from_millis(1);

/// A revision of the endpoint list.
#[derive(Clone, Debug, Default)]
struct EndpointList {
    revision: u64,
    targets: Arc<Vec<Value>>,
}

impl EndpointList {
    fn new(revision: u64, targets: Vec<Value>) -> Self {
        Self {
            revision,
            targets: Arc::new(targets),
        }
    }
}

/// The queue of reads at a discovery service that serves all agents at a limited rate.
pub struct ReadQueue {
    service: RegistryQueries,
    idle_from: Mutex<Instant>,
}

/// The service has too many reads in its queue.
struct QueueFull;

impl ReadQueue {
    /// An empty queue.
    pub fn new(service: RegistryQueries) -> Self {
        Self {
            service,
            idle_from: Mutex::new(Instant::now()),
        }
    }

    /// Waits until the service has worked on one read.
    async fn wait(&self) -> Result<(), QueueFull> {
        let done = {
            let mut idle_from = lock(&self.idle_from);
            let begins = (*idle_from).max(Instant::now());
            let patience = Duration::from_nanos(self.service.timeout.0);
            if begins.elapsed().is_zero() && begins - Instant::now() > patience {
                return Err(QueueFull);
            }
            *idle_from = begins + Duration::from_secs_f64(1.0 / self.service.reads_per_second);
            *idle_from
        };
        sleep_until(done.into()).await;
        Ok(())
    }
}

/// The propagation of lists to an agent: its random numbers, and when the last list reaches it.
struct Propagation {
    rng: ChaCha8Rng,
    last_due: Instant,
}

/// The discovery agent of one balancer.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    list: watch::Sender<EndpointList>,
    unresponsive: watch::Sender<bool>,
    updates: mpsc::UnboundedSender<(Instant, EndpointList)>,
    propagation: Mutex<Propagation>,
    reads: Arc<AtomicU64>,
    _tasks: JoinSet<()>,
}

impl Agent {
    /// Starts the agent of a balancer with its first list. Reads wait in `queue`, if there is one.
    ///
    /// # Errors
    ///
    /// Where it cannot listen.
    pub async fn start(
        balancer: u32,
        seed: u64,
        first: Vec<Value>,
        queue: Option<Arc<ReadQueue>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let list = watch::Sender::new(EndpointList::new(1, first));
        let unresponsive = watch::Sender::new(false);
        let reads = Arc::new(AtomicU64::new(0));
        let reader = Reader {
            list: list.subscribe(),
            unresponsive: unresponsive.subscribe(),
            queue,
        };
        let count = reads.clone();
        let mut tasks = serve_process(listener, move |request| {
            count.fetch_add(1, Ordering::Relaxed);
            let reader = reader.clone();
            async move { Ok::<_, Infallible>(reader.respond(&request).await) }
        });
        let (updates, received) = mpsc::unbounded_channel();
        tasks.spawn(propagate(received, list.clone()));
        let propagation = Mutex::new(Propagation {
            rng: stream(seed, Actor::Registry, balancer),
            last_due: Instant::now(),
        });
        Ok(Self {
            address,
            list,
            unresponsive,
            updates,
            propagation,
            reads,
            _tasks: tasks,
        })
    }

    /// Sends it a list, which reaches it in order after a random delay. Returns when that is.
    pub fn publish(&self, revision: u64, targets: Vec<Value>, padron: &RegistryConfig) -> Instant {
        let mut propagation = lock(&self.propagation);
        let jitter = padron.jitter.0 as f64 * propagation.rng.random::<f64>();
        let delay = Duration::from_nanos((padron.delay.0 as f64 + jitter) as u64);
        let due = propagation.last_due.max(Instant::now() + delay);
        propagation.last_due = due;
        let list = EndpointList::new(revision, targets);
        self.updates.send((due, list)).ok();
        due
    }

    /// Resets it to an earlier list; what came since has to be published to it again.
    pub fn reset(&self, revision: u64, targets: Vec<Value>) {
        self.list.send_replace(EndpointList::new(revision, targets));
    }

    /// How many reads it had, watches that found nothing included.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Whether it leaves its reads without a response from now on.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.unresponsive.send_replace(unresponsive);
    }
}

/// Replaces the agent's list by each update when it is due.
async fn propagate(
    mut updates: mpsc::UnboundedReceiver<(Instant, EndpointList)>,
    list: watch::Sender<EndpointList>,
) {
    while let Some((due, update)) = updates.recv().await {
        sleep_until(due.into()).await;
        list.send_replace(update);
    }
}

/// FaultKind one read needs of the agent.
#[derive(Clone)]
struct Reader {
    list: watch::Receiver<EndpointList>,
    unresponsive: watch::Receiver<bool>,
    queue: Option<Arc<ReadQueue>>,
}

impl Reader {
    async fn respond(mut self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != "/v1/servers" {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let after: Option<u64> =
            query_parameter(request, "after").and_then(|after| after.parse().ok());
        let wait = query_parameter(request, "wait_ms")
            .and_then(|wait| wait.parse().ok())
            .map_or(Duration::ZERO, Duration::from_millis);
        if let (Some(queue), None) = (self.queue, after)
            && queue.wait().await.is_err()
        {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let is_newer = |list: &EndpointList| after.is_none_or(|after| list.revision > after);
        timeout(wait.min(MAX_WATCH), self.list.wait_for(is_newer))
            .await
            .ok();
        self.unresponsive
            .wait_for(|unresponsive| !unresponsive)
            .await
            .ok();
        let list = self.list.borrow().clone();
        let body = if is_newer(&list) {
            json!({"rev": list.revision, "all": true, "targets": *list.targets})
        } else {
            json!({"rev": list.revision, "all": false, "targets": []})
        };
        if !is_newer(&list) && wait.is_zero() {
            sleep(EMPTY_READ_DELAY).await;
        }
        Response::new(Full::new(Bytes::from(body.to_string())))
    }
}

fn query_parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
