//! Discovery: an agent beside each balancer, which tells the list as it has come to it, or one service that has to
//! be asked and works through reads in turn.

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
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};
use woadstall_emulator::{Actor, RegistryConfig, RegistryQueries, stream};
use woadstall_mock_servers::simulated_upstream::serve_process;

/// Longest wait of a watch.
const LONGEST: Duration = Duration::from_secs(60);

/// The list as an agent has it.
#[derive(Clone, Debug, Default)]
struct Told {
    rev: u64,
    targets: Arc<Vec<Value>>,
}

/// The turns of a service that all ask.
pub struct Turns {
    asked: RegistryQueries,
    free: Mutex<Instant>,
}

impl Turns {
    /// Nobody has asked yet.
    pub fn new(asked: RegistryQueries) -> Self {
        Self {
            asked,
            free: Mutex::new(Instant::now()),
        }
    }

    /// Waits for a turn; `false` if that would take too long.
    async fn take(&self) -> bool {
        let done = {
            let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
            let begins = (*free).max(Instant::now());
            if begins.elapsed().is_zero()
                && begins - Instant::now() > Duration::from_nanos(self.asked.timeout.0)
            {
                return false;
            }
            *free = begins + Duration::from_secs_f64(1.0 / self.asked.reads_per_second);
            *free
        };
        sleep_until(done.into()).await;
        true
    }
}

/// One balancer's agent.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    told: watch::Sender<Told>,
    silent: watch::Sender<bool>,
    words: mpsc::UnboundedSender<(Instant, Told)>,
    lag: Mutex<(ChaCha8Rng, Instant)>,
    reads: Arc<AtomicU64>,
    _serving: JoinSet<()>,
}

impl Agent {
    /// One that has a list from the start.
    pub async fn start(
        number: u32,
        seed: u64,
        first: Vec<Value>,
        turns: Option<Arc<Turns>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let told = watch::Sender::new(Told {
            rev: 1,
            targets: Arc::new(first),
        });
        let silent = watch::Sender::new(false);
        let (hears, speaks) = (told.subscribe(), silent.subscribe());
        let reads = Arc::new(AtomicU64::new(0));
        let count = reads.clone();
        let mut serving = serve_process(listener, move |request| {
            count.fetch_add(1, Ordering::Relaxed);
            let (hears, speaks, turns) = (hears.clone(), speaks.clone(), turns.clone());
            async move { Ok::<_, Infallible>(answer(&request, hears, speaks, turns.as_deref()).await) }
        });
        let (words, mut coming) = mpsc::unbounded_channel::<(Instant, Told)>();
        let tells = told.clone();
        serving.spawn(async move {
            while let Some((due, word)) = coming.recv().await {
                sleep_until(due.into()).await;
                tells.send_replace(word);
            }
        });
        let rng = stream(seed, Actor::Registry, number);
        Ok(Self {
            address,
            told,
            silent,
            words,
            lag: Mutex::new((rng, Instant::now())),
            reads,
            _serving: serving,
        })
    }

    /// Tells it a list, which comes to it after a time of its own, in order. Returns when that is.
    pub fn tell(&self, rev: u64, targets: Vec<Value>, padron: &RegistryConfig) -> Instant {
        let mut lag = self.lag.lock().unwrap_or_else(PoisonError::into_inner);
        let late = padron.delay.0 as f64 + padron.jitter.0 as f64 * lag.0.random::<f64>();
        let due = lag
            .1
            .max(Instant::now() + Duration::from_nanos(late as u64));
        lag.1 = due;
        self.words
            .send((
                due,
                Told {
                    rev,
                    targets: Arc::new(targets),
                },
            ))
            .ok();
        due
    }

    /// It begins anew with a list from before; what came since has to be told to it once more.
    pub fn begin(&self, rev: u64, targets: Vec<Value>) {
        self.told.send_replace(Told {
            rev,
            targets: Arc::new(targets),
        });
    }

    /// How often it was asked, watches that found nothing included.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Says nothing from now on, or goes on.
    pub fn silence(&self, silent: bool) {
        self.silent.send_replace(silent);
    }
}

async fn answer(
    request: &Request<Incoming>,
    mut hears: watch::Receiver<Told>,
    mut speaks: watch::Receiver<bool>,
    turns: Option<&Turns>,
) -> Response<Full<Bytes>> {
    let status = |status: StatusCode| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    };
    if request.uri().path() != "/v1/servers" {
        return status(StatusCode::NOT_FOUND);
    }
    let query = |name: &str| {
        let pairs = request.uri().query().unwrap_or_default().split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    };
    let after = query("after").and_then(|after| after.parse::<u64>().ok());
    let wait = query("wait_ms")
        .and_then(|wait| wait.parse().ok())
        .map_or(Duration::ZERO, Duration::from_millis);
    if let (Some(turns), None) = (turns, after)
        && !turns.take().await
    {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let newer = |told: &Told| after.is_none_or(|after| told.rev > after);
    timeout(wait.min(LONGEST), hears.wait_for(newer)).await.ok();
    speaks.wait_for(|silent| !silent).await.ok();
    let told = hears.borrow().clone();
    let body = match newer(&told) {
        true => json!({"rev": told.rev, "all": true, "targets": *told.targets}),
        false => json!({"rev": told.rev, "all": false, "targets": []}),
    };
    // A watch that finds nothing comes again at once: an agent is asked in turns, not in a loop.
    if !newer(&told) && wait.is_zero() {
        sleep(Duration::from_millis(1)).await;
    }
    Response::new(Full::new(Bytes::from(body.to_string())))
}
