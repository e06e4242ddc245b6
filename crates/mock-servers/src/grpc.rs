//! A scripted gRPC upstream, based on `h2`, which reports the calls that it receives.

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

/// The upstream's reply to a call.
#[derive(Clone)]
pub enum Reply {
    /// Sends one message and status 0.
    Ok(Bytes),
    /// Sends a Trailers-Only response with this status and further headers.
    Status(u32, Vec<(&'static str, &'static str)>),
    /// Sends a plain HTTP response with this status, headers and body.
    Http(u16, Vec<(&'static str, &'static str)>, Bytes),
    /// Sends one message, and trailers without a status.
    NoStatus(Bytes),
    /// Sends headers, and then nothing until the caller cancels.
    HeadersOnly,
    /// Sends nothing until the caller cancels.
    Stall,
    /// Resets the stream with this error.
    Reset(Reason),
    /// Sends the message this number of times, the first time at once and then upon each notification; then sends
    /// status 0.
    Stream(Bytes, u32, Arc<Notify>),
    /// Sends one message, and then resets the stream with this error.
    MessageThenReset(Bytes, Reason),
    /// Sends the inner reply once notified.
    OnNotify(Arc<Notify>, Box<Reply>),
    /// Sends the inner reply after this time.
    AfterDelay(Duration, Box<Reply>),
}

/// A call that the upstream has received.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    /// Path of the request, which names the method.
    pub path: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body, up to its end or to the point at which the caller cancelled the call.
    pub body: Bytes,
    /// Number of the connection in the order of acceptance, from 0.
    pub connection: u32,
}

impl ReceivedCall {
    /// The caller's remaining time from `grpc-timeout`, in whole milliseconds. Panics if the header is missing or
    /// invalid.
    pub fn time_left_ms(&self) -> u64 {
        let text = self
            .headers
            .get("grpc-timeout")
            .expect("the header grpc-timeout")
            .to_str()
            .unwrap();
        let (digits, unit) = text.split_at(text.len() - 1);
        let count: u64 = digits.parse().unwrap();
        match unit {
            "n" => count / 1_000_000,
            "u" => count / 1_000,
            "m" => count,
            "S" => count * 1_000,
            other => panic!("unexpected unit of grpc-timeout: {other}"),
        }
    }
}

type Script = dyn Fn(&ReceivedCall) -> Reply + Send + Sync;

/// A scripted gRPC upstream. Dropping it closes its connections and its listener.
pub struct GrpcUpstream {
    /// Listen address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    calls: tokio::sync::Mutex<mpsc::UnboundedReceiver<ReceivedCall>>,
    accepting: JoinHandle<()>,
}

/// The state that the tasks of an upstream share.
struct Shared {
    script: Box<Script>,
    max_streams: Option<u32>,
    call_sender: mpsc::UnboundedSender<ReceivedCall>,
    accepted_connections: AtomicU32,
    open_connections: watch::Sender<usize>,
    calls_in_flight: AtomicUsize,
    received_calls: AtomicUsize,
    go_away_requested: Notify,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

/// Frames a gRPC message (gRPC over HTTP/2, Length-Prefixed-Message).
pub fn message(data: &[u8]) -> Bytes {
    let mut framed = BytesMut::with_capacity(data.len() + 5);
    framed.put_u8(0);
    framed.put_u32(data.len() as u32);
    framed.put_slice(data);
    framed.freeze()
}

impl GrpcUpstream {
    /// Starts an upstream whose `script` returns the reply to each call.
    pub async fn start(script: impl Fn(&ReceivedCall) -> Reply + Send + Sync + 'static) -> Self {
        Self::start_with_max_streams(None, script).await
    }

    /// Starts an upstream with a limit on the concurrent streams of each connection. `script` returns the reply to each
    /// call.
    pub async fn start_with_max_streams(
        max_streams: Option<u32>,
        script: impl Fn(&ReceivedCall) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (call_sender, calls) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            script: Box::new(script),
            max_streams,
            call_sender,
            accepted_connections: AtomicU32::new(0),
            open_connections: watch::Sender::new(0),
            calls_in_flight: AtomicUsize::new(0),
            received_calls: AtomicUsize::new(0),
            go_away_requested: Notify::new(),
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
            calls: tokio::sync::Mutex::new(calls),
            accepting,
        }
    }

    /// Waits for the next call that has not been returned yet.
    pub async fn next_call(&self) -> ReceivedCall {
        let mut calls = self.calls.lock().await;
        let next = tokio::time::timeout(crate::http1::TEST_TIMEOUT, calls.recv());
        next.await.expect("a call").expect("a call")
    }

    /// The number of calls received so far.
    pub fn received_calls(&self) -> usize {
        self.shared.received_calls.load(Ordering::Relaxed)
    }

    /// The number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.calls_in_flight.load(Ordering::Relaxed)
    }

    /// The number of connections accepted so far.
    pub fn accepted_connections(&self) -> u32 {
        self.shared.accepted_connections.load(Ordering::Relaxed)
    }

    /// The number of open connections, as a value whose changes can be awaited.
    pub fn open_connections(&self) -> watch::Receiver<usize> {
        self.shared.open_connections.subscribe()
    }

    /// Sends GOAWAY on all connections. Open streams continue.
    pub fn go_away(&self) {
        self.shared.go_away_requested.notify_waiters();
    }
}

impl Drop for GrpcUpstream {
    fn drop(&mut self) {
        self.accepting.abort();
        self.shared.tasks().drain(..).for_each(|task| task.abort());
    }
}

/// Decrements the number of calls in flight on drop, and thereby also when the task of a call is aborted.
struct InFlightGuard<'a>(&'a Shared);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.calls_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    fn tasks(&self) -> std::sync::MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connection(self: Arc<Self>, tcp: TcpStream) {
        let number = self.accepted_connections.fetch_add(1, Ordering::Relaxed);
        let mut builder = Builder::new();
        if let Some(max_streams) = self.max_streams {
            builder.max_concurrent_streams(max_streams);
        }
        let Ok(mut connection) = builder.handshake::<_, Bytes>(tcp).await else {
            return;
        };
        self.open_connections.send_modify(|open| *open += 1);
        let go_away_requested = self.go_away_requested.notified();
        tokio::pin!(go_away_requested);
        let mut is_closing = false;
        loop {
            tokio::select! {
                accepted = connection.accept() => match accepted {
                    Some(Ok((request, respond))) => {
                        let task = tokio::spawn(self.clone().call(request, respond, number));
                        self.tasks().push(task);
                    }
                    _ => break,
                },
                () = &mut go_away_requested, if !is_closing => {
                    is_closing = true;
                    connection.graceful_shutdown();
                }
            }
        }
        self.open_connections.send_modify(|open| *open -= 1);
    }

    async fn call(
        self: Arc<Self>,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        connection: u32,
    ) {
        self.received_calls.fetch_add(1, Ordering::Relaxed);
        self.calls_in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight = InFlightGuard(&self);
        let (head, mut incoming) = request.into_parts();
        let mut body = BytesMut::new();
        while let Some(Ok(data)) = incoming.data().await {
            incoming.flow_control().release_capacity(data.len()).ok();
            body.extend_from_slice(&data);
        }
        let path = head.uri.path().to_owned();
        let received_call = ReceivedCall {
            path,
            headers: head.headers,
            body: body.freeze(),
            connection,
        };
        let reply = (self.script)(&received_call);
        self.call_sender.send(received_call).ok();
        send_reply(reply, respond).await;
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

fn ok_trailers() -> HeaderMap {
    [(
        HeaderName::from_static("grpc-status"),
        HeaderValue::from_static("0"),
    )]
    .into_iter()
    .collect()
}

/// Sends a reply until it is complete or the caller cancels the call. Errors are ignored, because they mean that the
/// caller has disconnected.
async fn send_reply(reply: Reply, mut respond: SendResponse<Bytes>) {
    let Some(reply) = wait_for_reply(reply, &mut respond).await else {
        return;
    };
    match reply {
        Reply::OnNotify(..) | Reply::AfterDelay(..) => {}
        Reply::Stall => drop(poll_fn(|cx| respond.poll_reset(cx)).await),
        Reply::Reset(reason) => respond.send_reset(reason),
        Reply::Status(code, headers) => send_status(&mut respond, code, headers),
        Reply::Http(status, headers, body) => send_http(&mut respond, status, &headers, body),
        Reply::Ok(data) => send_message(&mut respond, &data, ok_trailers()),
        Reply::NoStatus(data) => send_message(&mut respond, &data, HeaderMap::new()),
        Reply::HeadersOnly => {
            if let Ok(mut stream) = respond.send_response(grpc_head(), false) {
                poll_fn(|cx| stream.poll_reset(cx)).await.ok();
            }
        }
        Reply::MessageThenReset(data, reason) => {
            if let Ok(mut stream) = respond.send_response(grpc_head(), false) {
                stream.send_data(message(&data), false).ok();
                // Without a pause, the reset would overtake data that has not been sent yet.
                tokio::time::sleep(Duration::from_millis(20)).await;
                stream.send_reset(reason);
            }
        }
        Reply::Stream(data, count, notify) => {
            send_stream(&mut respond, &data, count, &notify).await
        }
    }
}

/// Waits for the notification or time that delays a reply, and returns the inner reply; `None` if the caller cancels
/// the call meanwhile.
async fn wait_for_reply(mut reply: Reply, respond: &mut SendResponse<Bytes>) -> Option<Reply> {
    loop {
        reply = match reply {
            Reply::OnNotify(notify, then) => tokio::select! {
                _ = poll_fn(|cx| respond.poll_reset(cx)) => return None,
                () = notify.notified() => *then,
            },
            Reply::AfterDelay(wait, then) => tokio::select! {
                _ = poll_fn(|cx| respond.poll_reset(cx)) => return None,
                () = tokio::time::sleep(wait) => *then,
            },
            reply => return Some(reply),
        };
    }
}

fn send_status(
    respond: &mut SendResponse<Bytes>,
    code: u32,
    headers: Vec<(&'static str, &'static str)>,
) {
    let mut head = grpc_head();
    head.headers_mut().insert("grpc-status", code.into());
    for (name, value) in headers {
        let name = HeaderName::from_static(name);
        head.headers_mut()
            .insert(name, HeaderValue::from_static(value));
    }
    respond.send_response(head, true).ok();
}

fn send_http(
    respond: &mut SendResponse<Bytes>,
    status: u16,
    headers: &[(&'static str, &'static str)],
    body: Bytes,
) {
    if let Ok(mut stream) = respond.send_response(head(status, headers), body.is_empty())
        && !body.is_empty()
    {
        stream.send_data(body, true).ok();
    }
}

fn send_message(respond: &mut SendResponse<Bytes>, data: &[u8], trailers: HeaderMap) {
    if let Ok(mut stream) = respond.send_response(grpc_head(), false) {
        stream.send_data(message(data), false).ok();
        stream.send_trailers(trailers).ok();
    }
}

async fn send_stream(respond: &mut SendResponse<Bytes>, data: &[u8], count: u32, notify: &Notify) {
    let Ok(mut stream) = respond.send_response(grpc_head(), false) else {
        return;
    };
    for number in 0..count {
        if number > 0 {
            tokio::select! {
                _ = poll_fn(|cx| stream.poll_reset(cx)) => return,
                () = notify.notified() => {}
            }
        }
        if stream.send_data(message(data), false).is_err() {
            return;
        }
    }
    stream.send_trailers(ok_trailers()).ok();
}
