//! Simulated discovery: one agent per balancer, which serves the latest endpoint list that was propagated to the agent.
//! Initial reads can also queue at a central service with a limited rate of reads.

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

/// Upper limit on the time that a watch waits for a newer list.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// Delay of the response to a non-waiting read that finds no newer list. The delay keeps the balancer from
/// busy-looping.
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

/// Queue of reads at a central discovery service, which serves all agents at a limited rate.
pub struct ReadQueue {
    service: RegistryQueries,
    /// Time at which the service will have processed all queued reads.
    idle_at: Mutex<Instant>,
}

/// The expected wait in the queue exceeds the time-out of the service.
struct QueueFull;

impl ReadQueue {
    /// Creates an empty queue.
    pub fn new(service: RegistryQueries) -> Self {
        Self {
            service,
            idle_at: Mutex::new(Instant::now()),
        }
    }

    /// Queues one read and waits until the service has processed it.
    async fn wait_for_processing(&self) -> Result<(), QueueFull> {
        let done = {
            let mut idle_at = lock(&self.idle_at);
            let begin = (*idle_at).max(Instant::now());
            let max_wait = Duration::from_nanos(self.service.timeout.0);
            if begin.elapsed().is_zero() && begin - Instant::now() > max_wait {
                return Err(QueueFull);
            }
            *idle_at = begin + Duration::from_secs_f64(1.0 / self.service.reads_per_second);
            *idle_at
        };
        sleep_until(done.into()).await;
        Ok(())
    }
}

/// Propagation of lists to an agent: the generator of random delays, and the delivery time of the last published list.
struct Propagation {
    rng: ChaCha8Rng,
    last_delivery_at: Instant,
}

/// The discovery agent of one balancer.
pub struct Agent {
    /// Listen address of the agent.
    pub address: SocketAddr,
    list: watch::Sender<EndpointList>,
    unresponsive: watch::Sender<bool>,
    updates: mpsc::UnboundedSender<(Instant, EndpointList)>,
    propagation: Mutex<Propagation>,
    reads: Arc<AtomicU64>,
    _tasks: JoinSet<()>,
}

impl Agent {
    /// Starts the agent of a balancer with an initial list. Initial reads wait in `read_queue`, if there is one.
    ///
    /// # Errors
    ///
    /// If the listener of the agent cannot be created.
    pub async fn start(
        balancer: u32,
        seed: u64,
        initial_list: Vec<Value>,
        read_queue: Option<Arc<ReadQueue>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let list = watch::Sender::new(EndpointList::new(1, initial_list));
        let unresponsive = watch::Sender::new(false);
        let reads = Arc::new(AtomicU64::new(0));
        let handler = ReadHandler {
            list: list.subscribe(),
            unresponsive: unresponsive.subscribe(),
            read_queue,
        };
        let read_count = reads.clone();
        let mut tasks = serve_process(listener, move |request| {
            read_count.fetch_add(1, Ordering::Relaxed);
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler.respond(&request).await) }
        });
        let (updates, received_updates) = mpsc::unbounded_channel();
        tasks.spawn(propagate(received_updates, list.clone()));
        let propagation = Mutex::new(Propagation {
            rng: stream(seed, Actor::Registry, balancer),
            last_delivery_at: Instant::now(),
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

    /// Publishes a list to the agent. Lists arrive in order, each after a random delay. Returns the delivery time.
    pub fn publish(
        &self,
        revision: u64,
        targets: Vec<Value>,
        registry: &RegistryConfig,
    ) -> Instant {
        let mut propagation = lock(&self.propagation);
        let jitter = registry.jitter.0 as f64 * propagation.rng.random::<f64>();
        let delay = Duration::from_nanos((registry.delay.0 as f64 + jitter) as u64);
        let due = propagation.last_delivery_at.max(Instant::now() + delay);
        propagation.last_delivery_at = due;
        let list = EndpointList::new(revision, targets);
        self.updates.send((due, list)).ok();
        due
    }

    /// Resets the agent to an earlier list. Later lists have to be published again.
    pub fn reset(&self, revision: u64, targets: Vec<Value>) {
        self.list.send_replace(EndpointList::new(revision, targets));
    }

    /// Returns the number of reads received, including watches that found no newer list.
    pub fn read_count(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Sets whether the agent withholds responses to reads.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.unresponsive.send_replace(unresponsive);
    }
}

/// Replaces the agent's list by each update at the delivery time of the update.
async fn propagate(
    mut updates: mpsc::UnboundedReceiver<(Instant, EndpointList)>,
    list: watch::Sender<EndpointList>,
) {
    while let Some((due, update)) = updates.recv().await {
        sleep_until(due.into()).await;
        list.send_replace(update);
    }
}

/// Handler of one read request.
#[derive(Clone)]
struct ReadHandler {
    list: watch::Receiver<EndpointList>,
    unresponsive: watch::Receiver<bool>,
    read_queue: Option<Arc<ReadQueue>>,
}

impl ReadHandler {
    async fn respond(mut self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != "/v1/servers" {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let after: Option<u64> =
            query_parameter(request, "after").and_then(|after| after.parse().ok());
        let wait = query_parameter(request, "wait_ms")
            .and_then(|wait| wait.parse().ok())
            .map_or(Duration::ZERO, Duration::from_millis);
        if let (Some(queue), None) = (self.read_queue, after)
            && queue.wait_for_processing().await.is_err()
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
