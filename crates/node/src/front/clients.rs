//! Connections of clients.

use super::Front;
use super::forward::reply;
use super::reply::Reply;
use crate::link::detect_silence;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{interval, sleep, timeout};
use woadstall_inbound::{Gate, Lingering, Seen, lock};
use woadstall_transport::SharedStream;

/// How long connections are still taken after SIGTERM. Clients keep the directory's answer for some seconds, and one whose
/// connection is refused has lost a try.
const GO_ON: Duration = Duration::from_millis(3_000);
/// How long connections between requests are still kept after SIGTERM, so that no request crosses their close.
const KEEP_IDLE: Duration = Duration::from_millis(1_200);
/// How often connections are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// How long a connection that is to be closed but has a request open is left between two looks.
const REST_LOOK: Duration = Duration::from_millis(20);
/// How long bytes to a client may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(10);
/// Wait after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// hyper's buffer for what a client sends.
const READ_BUFFER: usize = 32 << 10;
/// The part of the descriptors that clients may have.
const FOR_CLIENTS: f64 = 0.45;
/// Lingering connections at most.
const MOST_LINGERING: usize = 64;

/// The clients' side.
struct Clients {
    front: Arc<Front>,
    open: AtomicUsize,
    left: Notify,
    lingering: Arc<Lingering>,
}

/// Serves until told to stop, and then until all that was taken is answered.
pub(super) async fn serve(
    front: Arc<Front>,
    listener: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    let clients = Arc::new(Clients {
        front,
        open: AtomicUsize::new(0),
        left: Notify::new(),
        lingering: Arc::default(),
    });
    let mut also_stopping = stopping.clone();
    let stopped = async {
        stopping.wait_for(|stop| *stop).await.ok();
        sleep(GO_ON).await;
    };
    let (close, closing) = watch::channel(false);
    tokio::spawn(async move {
        also_stopping.wait_for(|stop| *stop).await.ok();
        sleep(KEEP_IDLE).await;
        close.send_replace(true);
    });
    tokio::select! {
        () = accept(&clients, &listener, &closing) => {}
        () = stopped => {}
    }
    drop(listener);
    while clients.open.load(Ordering::Relaxed) > 0 {
        clients.left.notified().await;
    }
    clients.lingering.all_closed().await;
}

async fn accept(clients: &Arc<Clients>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
    let most = (clients.front.settings.max_fds as f64 * FOR_CLIENTS) as usize;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if clients.open.load(Ordering::Relaxed) >= most {
                    log::warn!("connection closed: {most} are open");
                    continue;
                }
                let (clients, closing) = (clients.clone(), closing.clone());
                clients.open.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    if let Err(error) = clients.clone().take(stream, closing).await {
                        log::debug!("client's connection: {error}");
                    }
                    clients.open.fetch_sub(1, Ordering::Relaxed);
                    clients.left.notify_one();
                });
            }
            Err(error) => {
                log::warn!("no connection can be taken: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl Clients {
    async fn take(
        self: Arc<Self>,
        stream: TcpStream,
        closing: watch::Receiver<bool>,
    ) -> std::io::Result<()> {
        detect_silence(&stream, UNACKNOWLEDGED)?;
        let stream = SharedStream::new(stream)?;
        let (gate, seen) = Gate::new(stream.clone());
        let in_order = self.drive(gate, &seen, &stream, closing).await;
        if !in_order {
            // What came of an answer must not look whole.
            stream.reset_on_close()?;
        } else if !lock(&seen).has_ended() {
            self.lingering.close(stream);
            self.lingering.keep(MOST_LINGERING);
        }
        Ok(())
    }

    /// Serves a connection to its end; whether that came in order.
    async fn drive(
        &self,
        gate: Gate,
        seen: &Arc<Mutex<Seen>>,
        stream: &SharedStream,
        mut closing: watch::Receiver<bool>,
    ) -> bool {
        let service =
            service_fn(|request| async { Ok::<_, Infallible>(self.answer(request, seen).await) });
        let mut builder = http1::Builder::new();
        let connection = builder
            .max_buf_size(READ_BUFFER)
            .serve_connection(TokioIo::new(gate), service);
        let mut connection = std::pin::pin!(connection);
        let mut looks = interval(LOOK_EVERY);
        let mut is_closing = false;
        while !is_closing {
            tokio::select! {
                biased; // a request that has come is read before its connection is closed between requests
                end = connection.as_mut() => return end.is_ok(),
                _ = closing.wait_for(|close| *close) => is_closing = true,
                _ = looks.tick() => {
                    if self.is_overdue(seen) {
                        is_closing = true;
                    }
                }
            }
        }
        while !(lock(seen).is_at_rest() && stream.is_quiet()) {
            if self.has_stalled(seen) {
                return false;
            }
            if let Ok(end) = timeout(REST_LOOK, connection.as_mut()).await {
                return end.is_ok();
            }
        }
        connection.as_mut().graceful_shutdown();
        connection.await.is_ok()
    }

    /// Whether a connection has rested for longer than the configuration allows, with some room, or keeps its request
    /// waiting.
    fn is_overdue(&self, seen: &Arc<Mutex<Seen>>) -> bool {
        const ROOM: Duration = Duration::from_secs(1);
        let limits = self
            .front
            .configuration()
            .map(|configuration| configuration.limits)
            .unwrap_or_default();
        let seen = lock(seen);
        match seen.idle() {
            Some((_, since)) => since.elapsed() > limits.idle_timeout + ROOM,
            None => seen.overdue(limits.header_timeout + ROOM),
        }
    }

    fn has_stalled(&self, seen: &Arc<Mutex<Seen>>) -> bool {
        let limits = self
            .front
            .configuration()
            .map(|configuration| configuration.limits)
            .unwrap_or_default();
        lock(seen).overdue(limits.header_timeout)
    }

    async fn answer(&self, request: Request<Incoming>, seen: &Arc<Mutex<Seen>>) -> Reply {
        let mut reply = reply(&self.front, request).await;
        let mut seen = lock(seen);
        let leaving = self.front.leaving.load(Ordering::Relaxed);
        if seen.is_last() || seen.both_lengths() || leaving && !seen.has_ahead() {
            reply
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        seen.whole();
        seen.answered();
        reply
    }
}
