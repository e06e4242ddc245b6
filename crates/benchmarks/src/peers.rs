//! The plain peers: an upstream that answers at once, and a proxy that decides nothing.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use std::convert::Infallible;
use std::error::Error;
use std::io::BufRead;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::{TcpListener, TcpStream};

type Outcome = Result<(), Box<dyn Error + Send + Sync>>;

/// A peer in a process of its own; it ends with this.
pub struct Peer {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Peer {
    /// Starts a program that says where it listens at the end of its first line.
    pub fn start(
        command: &mut Command,
        on_stderr: bool,
    ) -> Result<Self, Box<dyn Error + Send + Sync>> {
        let command = command.stdin(Stdio::null());
        let command = if on_stderr {
            command.stderr(Stdio::piped())
        } else {
            command.stdout(Stdio::piped())
        };
        let mut child = command.spawn()?;
        let mut line = String::new();
        match (child.stdout.take(), child.stderr.take()) {
            (Some(out), _) => std::io::BufReader::new(out).read_line(&mut line)?,
            (None, Some(err)) => std::io::BufReader::new(err).read_line(&mut line)?,
            (None, None) => 0,
        };
        let address = line.trim().rsplit(' ').next().unwrap_or_default().parse();
        match address {
            Ok(address) => Ok(Self { child, address }),
            Err(_) => {
                child.kill().ok();
                Err(format!("no address in {line:?}").into())
            }
        }
    }

    /// One of this program's own.
    pub fn own(arguments: &[String]) -> Result<Self, Box<dyn Error + Send + Sync>> {
        Self::start(
            Command::new(std::env::current_exe()?).args(arguments),
            false,
        )
    }

    /// Its number among the processes.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

async fn listen() -> Result<TcpListener, std::io::Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("listening on {}", listener.local_addr()?);
    Ok(listener)
}

/// Answers everything at once, over HTTP/1.1 and HTTP/2; ends when it is killed.
pub fn upstream() -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let listener = listen().await?;
        loop {
            let (tcp, _) = listener.accept().await?;
            tcp.set_nodelay(true)?;
            tokio::spawn(async move {
                let service = service_fn(|request: Request<Incoming>| async {
                    request.into_body().collect().await.ok();
                    Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"done"))))
                });
                let server = auto::Builder::new(TokioExecutor::new());
                server
                    .serve_connection(TokioIo::new(tcp), service)
                    .await
                    .ok();
            });
        }
    })
}

/// The floor: hyper on both sides, one upstream, kept connections, and no decision at all.
pub fn proxy(upstream: SocketAddr) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let listener = listen().await?;
        let idle: Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>> = Arc::default();
        loop {
            let (tcp, _) = listener.accept().await?;
            tcp.set_nodelay(true)?;
            let idle = idle.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| pass(request, &idle, upstream));
                let server = hyper::server::conn::http1::Builder::new();
                server
                    .serve_connection(TokioIo::new(tcp), service)
                    .await
                    .ok();
            });
        }
    })
}

async fn pass(
    request: Request<Incoming>,
    idle: &Mutex<Vec<SendRequest<Full<Bytes>>>>,
    upstream: SocketAddr,
) -> Result<Response<Full<Bytes>>, Box<dyn Error + Send + Sync>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let kept = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let mut sender = match kept.filter(|sender| !sender.is_closed()) {
        Some(sender) => sender,
        None => {
            let tcp = TcpStream::connect(upstream).await?;
            tcp.set_nodelay(true)?;
            let (sender, connection) = handshake(TokioIo::new(tcp)).await?;
            tokio::spawn(connection);
            sender
        }
    };
    let answer = sender
        .send_request(Request::from_parts(head, Full::new(body)))
        .await?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    if sender.ready().await.is_ok() {
        idle.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
    }
    Ok(Response::from_parts(head, Full::new(body)))
}
