//! A gRPC upstream on `h2`, which does with each call as it is told, and tells what it sees.

use bytes::{BufMut, Bytes, BytesMut};
use h2::server::{Builder, SendResponse};
use h2::{Reason, RecvStream};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;

/// What is done with a call.
#[derive(Clone)]
pub enum Reply {
    /// One message and status 0.
    Ok(Bytes),
    /// The status alone, with further headers.
    Status(u32, Vec<(&'static str, &'static str)>),
    /// A plain HTTP answer.
    Http(u16, Vec<(&'static str, &'static str)>, Bytes),
    /// One message, and trailers without a status.
    NoStatus(Bytes),
    /// Headers, and then nothing.
    HeadersOnly,
    /// Nothing.
    Silence,
    /// The stream is ended with this error.
    Reset(Reason),
    /// A message, and more whenever the notify rings, until the count is reached; then status 0.
    Stream(Bytes, u32, Arc<Notify>),
    /// A message, and then the stream is ended with this error.
    Broken(Bytes, Reason),
    /// The other, once this rings.
    After(Arc<Notify>, Box<Reply>),
    /// The other, after a while.
    Later(Duration, Box<Reply>),
}

/// A call as it came.
#[derive(Clone, Debug)]
pub struct Called {
    /// Path of its method.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, unless the reply did not wait for that.
    pub body: Bytes,
    /// Number of its connection, from 0.
    pub connection: u32,
}

impl Called {
    /// What is left of the caller's time, by `grpc-timeout`, in whole milliseconds.
    pub fn time_left(&self) -> u64 {
        let text = self
            .headers
            .get("grpc-timeout")
            .expect("a time")
            .to_str()
            .unwrap();
        let (digits, unit) = text.split_at(text.len() - 1);
        let count: u64 = digits.parse().unwrap();
        match unit {
            "n" => count / 1_000_000,
            "u" => count / 1_000,
            "m" => count,
            "S" => count * 1_000,
            other => panic!("a time in {other}"),
        }
    }
}

type Script = dyn Fn(&Called) -> Reply + Send + Sync;

/// The upstream. Dropping it resets its connections, and new ones are refused.
pub struct Grpc {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    seen: tokio::sync::Mutex<mpsc::UnboundedReceiver<Called>>,
    accepting: JoinHandle<()>,
}

struct Shared {
    script: Box<Script>,
    most_streams: Option<u32>,
    tell: mpsc::UnboundedSender<Called>,
    connections: AtomicU32,
    open: watch::Sender<usize>,
    held: AtomicUsize,
    total: AtomicUsize,
    goaway: Notify,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

/// One message in gRPC's frame (gRPC over HTTP/2, Length-Prefixed-Message).
pub fn message(data: &[u8]) -> Bytes {
    let mut framed = BytesMut::with_capacity(data.len() + 5);
    framed.put_u8(0);
    framed.put_u32(data.len() as u32);
    framed.put_slice(data);
    framed.freeze()
}

impl Grpc {
    /// Does with each call as `script` says.
    pub async fn start(script: impl Fn(&Called) -> Reply + Send + Sync + 'static) -> Self {
        Self::start_with(None, script).await
    }

    /// The same, with a bound on the streams of a connection.
    pub async fn start_with(
        most_streams: Option<u32>,
        script: impl Fn(&Called) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, seen) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            script: Box::new(script),
            most_streams,
            tell,
            connections: AtomicU32::new(0),
            open: watch::Sender::new(0),
            held: AtomicUsize::new(0),
            total: AtomicUsize::new(0),
            goaway: Notify::new(),
            tasks: Mutex::default(),
        });
        let accepting = tokio::spawn({
            let shared = shared.clone();
            async move {
                while let Ok((tcp, _)) = listener.accept().await {
                    tcp.set_nodelay(true).ok();
                    let task = tokio::spawn(shared.clone().connection(tcp));
                    shared.tasks().push(task);
                }
            }
        });
        Self {
            address,
            shared,
            seen: tokio::sync::Mutex::new(seen),
            accepting,
        }
    }

    /// The next call.
    pub async fn called(&self) -> Called {
        let mut seen = self.seen.lock().await;
        let next = tokio::time::timeout(crate::http1::PATIENCE, seen.recv());
        next.await.expect("a call").expect("a call")
    }

    /// Calls that came so far.
    pub fn total(&self) -> usize {
        self.shared.total.load(Ordering::Relaxed)
    }

    /// Calls that are being worked on.
    pub fn held(&self) -> usize {
        self.shared.held.load(Ordering::Relaxed)
    }

    /// Connections so far.
    pub fn connections(&self) -> u32 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Connections that are open, to wait on.
    pub fn open(&self) -> watch::Receiver<usize> {
        self.shared.open.subscribe()
    }

    /// Asks all callers to open no more streams on their connections (GOAWAY), and goes on with those that are.
    pub fn go_away(&self) {
        self.shared.goaway.notify_waiters();
    }
}

impl Drop for Grpc {
    fn drop(&mut self) {
        self.accepting.abort();
        self.shared.tasks().drain(..).for_each(|task| task.abort());
    }
}

/// Counts down when it is dropped, however its task ends.
struct Counted<'a>(&'a Shared);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    fn tasks(&self) -> std::sync::MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connection(self: Arc<Self>, tcp: TcpStream) {
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        let mut builder = Builder::new();
        if let Some(most) = self.most_streams {
            builder.max_concurrent_streams(most);
        }
        let Ok(mut connection) = builder.handshake::<_, Bytes>(tcp).await else {
            return;
        };
        self.open.send_modify(|open| *open += 1);
        let goaway = self.goaway.notified();
        tokio::pin!(goaway);
        let mut going = false;
        loop {
            tokio::select! {
                accepted = connection.accept() => match accepted {
                    Some(Ok((request, respond))) => {
                        let task = tokio::spawn(self.clone().call(request, respond, number));
                        self.tasks().push(task);
                    }
                    _ => break,
                },
                () = &mut goaway, if !going => {
                    going = true;
                    connection.graceful_shutdown();
                }
            }
        }
        self.open.send_modify(|open| *open -= 1);
    }

    async fn call(
        self: Arc<Self>,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        connection: u32,
    ) {
        self.total.fetch_add(1, Ordering::Relaxed);
        self.held.fetch_add(1, Ordering::Relaxed);
        let _counted = Counted(&self);
        let (head, mut incoming) = request.into_parts();
        let mut body = BytesMut::new();
        while let Some(Ok(data)) = incoming.data().await {
            incoming.flow_control().release_capacity(data.len()).ok();
            body.extend_from_slice(&data);
        }
        let path = head.uri.path().to_owned();
        let called = Called {
            path,
            headers: head.headers,
            body: body.freeze(),
            connection,
        };
        let reply = (self.script)(&called);
        self.tell.send(called).ok();
        answer(reply, respond).await;
    }
}

fn head(status: u16, headers: &[(&'static str, &'static str)]) -> Response<()> {
    let mut head = Response::builder().status(status).body(()).unwrap();
    for (name, value) in headers {
        head.headers_mut().insert(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    head
}

fn grpc_head() -> Response<()> {
    head(200, &[("content-type", "application/grpc")])
}

fn ended_well() -> HeaderMap {
    [(
        HeaderName::from_static("grpc-status"),
        HeaderValue::from_static("0"),
    )]
    .into_iter()
    .collect()
}

/// Gives the answer; a caller that has withdrawn its call gets no more of it. What fails, fails as the caller
/// has gone.
async fn answer(mut reply: Reply, mut respond: SendResponse<Bytes>) {
    loop {
        reply = match reply {
            Reply::After(ring, then) => tokio::select! {
                _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
                () = ring.notified() => *then,
            },
            Reply::Later(wait, then) => tokio::select! {
                _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
                () = tokio::time::sleep(wait) => *then,
            },
            _ => break,
        };
    }
    match reply {
        Reply::After(..) | Reply::Later(..) => {}
        Reply::Silence => drop(poll_fn(|cx| respond.poll_reset(cx)).await),
        Reply::Reset(reason) => respond.send_reset(reason),
        Reply::Status(code, more) => {
            let mut head = grpc_head();
            head.headers_mut().insert("grpc-status", code.into());
            for (name, value) in more {
                head.headers_mut().insert(
                    HeaderName::from_static(name),
                    HeaderValue::from_static(value),
                );
            }
            respond.send_response(head, true).ok();
        }
        Reply::Http(status, headers, body) => {
            if let Ok(mut stream) = respond.send_response(head(status, &headers), body.is_empty())
                && !body.is_empty()
            {
                stream.send_data(body, true).ok();
            }
        }
        Reply::Ok(data) => {
            if let Ok(mut stream) = respond.send_response(grpc_head(), false) {
                stream.send_data(message(&data), false).ok();
                stream.send_trailers(ended_well()).ok();
            }
        }
        Reply::NoStatus(data) => {
            if let Ok(mut stream) = respond.send_response(grpc_head(), false) {
                stream.send_data(message(&data), false).ok();
                stream.send_trailers(HeaderMap::new()).ok();
            }
        }
        Reply::HeadersOnly => {
            if let Ok(mut stream) = respond.send_response(grpc_head(), false) {
                poll_fn(|cx| stream.poll_reset(cx)).await.ok();
            }
        }
        Reply::Broken(data, reason) => {
            if let Ok(mut stream) = respond.send_response(grpc_head(), false) {
                stream.send_data(message(&data), false).ok();
                // The data is on its way before the end of the stream overtakes it.
                tokio::time::sleep(Duration::from_millis(20)).await;
                stream.send_reset(reason);
            }
        }
        Reply::Stream(data, count, ring) => {
            let Ok(mut stream) = respond.send_response(grpc_head(), false) else {
                return;
            };
            for number in 0..count {
                if number > 0 {
                    tokio::select! {
                        _ = poll_fn(|cx| stream.poll_reset(cx)) => return,
                        () = ring.notified() => {}
                    }
                }
                if stream.send_data(message(&data), false).is_err() {
                    return;
                }
            }
            stream.send_trailers(ended_well()).ok();
        }
    }
}
