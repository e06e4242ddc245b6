//! A caller's connection, from its first byte to its close.

use super::super::figures::Begun;
use super::Server;
use super::reply::{Reply, refusal};
use super::request::class_in_path;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};
use woadstall_inbound::{ConnectionState, MAX_HEAD_BYTES, RequestGate, lock};
use woadstall_transport::SharedStream;

/// How often a connection that is to be closed but has a request open, or a part of one, is looked at.
const REST_LOOK: Duration = Duration::from_millis(20);
/// How long a surplus caller is to stay away, and one whose body found no room.
pub const COME_BACK: Duration = Duration::from_millis(500);
/// hyper's buffer for what a caller sends: beyond a head, it only makes bodies come in larger pieces.
const READ_BUFFER: usize = 2 * MAX_HEAD_BYTES;

/// What others may know of a caller's connection, and ask of it.
pub struct Caller {
    /// Beyond the connections that may be served: its requests are refused at once.
    surplus: bool,
    stream: SharedStream,
    /// How far it is with its requests.
    pub seen: Arc<Mutex<ConnectionState>>,
    /// It has been asked to close: its answers end the connection, unless another request has come already.
    pub leaving: AtomicBool,
    /// Its present answer ends where the connection does.
    unframed: AtomicBool,
    /// It is to be closed between requests.
    pub close: Notify,
    /// It is to be closed as it is.
    pub cut: Notify,
}

impl Caller {
    /// A connection that has just been taken, and the gate that hyper reads it through.
    pub fn new(surplus: bool, stream: SharedStream) -> (Arc<Self>, RequestGate) {
        let (gate, seen) = RequestGate::new(stream.clone());
        let caller = Self {
            surplus,
            stream,
            seen,
            leaving: AtomicBool::new(false),
            unframed: AtomicBool::new(false),
            close: Notify::new(),
            cut: Notify::new(),
        };
        (Arc::new(caller), gate)
    }

    /// Whether no request is open, and nothing of one has come.
    fn is_at_rest(&self) -> bool {
        lock(&self.seen).is_idle() && self.stream.is_quiet()
    }

    /// Since when it is idle, and whether it ever asked; `None` while a request is open or has begun to come.
    pub fn idle(&self) -> Option<(bool, Instant)> {
        lock(&self.seen).idle()
    }
}

/// A caller's place among the connections.
pub struct Place {
    pub server: Arc<Server>,
    pub number: u64,
    pub caller: Arc<Caller>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.server.leave(self.number);
    }
}

/// How a connection came to its end.
enum Ended {
    /// The caller has closed it, or it was closed between requests.
    InOrder,
    /// In the midst of a request or of an answer.
    Broken,
}

impl Ended {
    fn of(end: &hyper::Result<()>) -> Self {
        match end {
            Ok(()) => Self::InOrder,
            Err(_) => Self::Broken,
        }
    }
}

impl Place {
    /// Serves the connection to its end and closes it.
    pub async fn serve(self, gate: RequestGate, closing: watch::Receiver<bool>) {
        let ended = self.drive(gate, closing).await;
        let (server, caller) = (self.server.clone(), self.caller.clone());
        drop(self);
        if lock(&caller.seen).has_ended() {
            return; // the caller has gone, and waits for nothing
        }
        if matches!(ended, Ended::Broken) && caller.unframed.load(Ordering::Relaxed) {
            // An orderly close would make what came of the answer look whole.
            caller.stream.reset_on_close().ok();
            return;
        }
        server.linger(caller.stream.clone());
    }

    async fn drive(&self, gate: RequestGate, mut closing: watch::Receiver<bool>) -> Ended {
        let service =
            service_fn(|request| async { Ok::<_, Infallible>(self.reply(request).await) });
        let connection = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .keep_alive(!self.caller.surplus)
            .serve_connection(TokioIo::new(gate), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            biased; // a request that has come is read before its connection is closed between requests
            end = connection.as_mut() => return Ended::of(&end),
            () = self.caller.cut.notified() => return Ended::Broken,
            _ = closing.wait_for(|close| *close) => {}
            () = self.caller.close.notified() => {}
        }
        // To close on a caller that is writing would turn its request back, and what it has sent ahead was taken.
        while !self.caller.is_at_rest() {
            tokio::select! {
                end = connection.as_mut() => return Ended::of(&end),
                () = self.caller.cut.notified() => return Ended::Broken,
                () = sleep(REST_LOOK) => {}
            }
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            end = connection => Ended::of(&end),
            () = self.caller.cut.notified() => Ended::Broken,
        }
    }

    /// The answer to a request, with all that goes with it.
    async fn reply(&self, request: Request<Incoming>) -> Reply {
        let (class, version) = (
            self.server.class_named(class_in_path(&request)),
            request.version(),
        );
        let (mut reply, deadline) = match self.caller.surplus {
            true => (refusal(COME_BACK), None),
            false => self.server.reply(request, &self.caller.seen).await,
        };
        if !reply.body().is_whole() {
            let unframed = version < Version::HTTP_11 && reply.body().size_hint().exact().is_none();
            self.caller.unframed.store(unframed, Ordering::Relaxed);
        }
        if let Some(class) = class {
            self.count(class, &mut reply, deadline);
        }
        let mut seen = lock(&self.caller.seen);
        if let Some(deadline) = deadline {
            seen.response_progressed(deadline, reply.body().is_whole());
        }
        if seen.is_last_request()
            || seen.has_both_lengths()
            || self.is_parting() && !seen.has_pipelined_bytes()
        {
            reply
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        seen.request_answered();
        reply
    }

    fn is_parting(&self) -> bool {
        self.server.is_parting() || self.caller.leaving.load(Ordering::Relaxed)
    }

    /// Counts an answer, at once or at its end.
    fn count(&self, class: String, reply: &mut Reply, deadline: Option<Instant>) {
        let figures = self.server.figures();
        match deadline.filter(|_| !reply.body().is_whole()) {
            Some(deadline) => {
                let begun = Begun::new(figures.clone(), class);
                reply
                    .body_mut()
                    .stream(begun, deadline, self.caller.seen.clone());
            }
            None => figures.answered(&class, reply.status()),
        }
    }
}
