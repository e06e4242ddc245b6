//! One kept-alive connection to discovery, and calls on it.

use crate::EndpointList;
use crate::timing::{CONNECT_TIMEOUT, Call};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;
use woadstall_socket_options::set_nodelay;

/// Largest list, in bytes. Bounds the memory.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Why a call to discovery failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// It took longer than it may.
    #[error("no answer in time")]
    TimedOut,
    /// The connection was not established in time.
    #[error("no connection in time")]
    ConnectTimedOut,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection broke, or the peer does not keep to HTTP.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The body broke off, or is over the limit.
    #[error(transparent)]
    Body(Box<dyn Error + Send + Sync>),
    /// The status is no success.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body is no list of endpoints.
    #[error(transparent)]
    List(#[from] serde_json::Error),
}

/// A connection to discovery that is opened anew where it was closed.
pub struct Connection {
    address: SocketAddr,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl Connection {
    /// A connection that is opened with the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Drops the connection: the next call opens another one.
    pub fn close(&mut self) {
        self.sender = None;
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Fails if the call takes too long, if the connection or the response is broken, or if the status is no success.
    pub async fn call(&mut self, call: &Call) -> Result<EndpointList, CallError> {
        let exchanged = timeout(call.timeout, self.exchange(&call.path)).await;
        exchanged.map_err(|_| CallError::TimedOut)?
    }

    async fn exchange(&mut self, path: &str) -> Result<EndpointList, CallError> {
        let mut sender = match self.sender.take() {
            // The agent may have closed it since.
            Some(sender) if !sender.is_closed() => sender,
            _ => self.open().await?,
        };
        sender.ready().await?;
        let host = self.address.to_string();
        let request = Request::get(path)
            .header("Host", host)
            .body(Empty::<Bytes>::new())?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
            .collect()
            .await;
        let body = body.map_err(CallError::Body)?.to_bytes();
        if !status.is_success() {
            return Err(CallError::Status(status));
        }
        self.sender = Some(sender);
        Ok(serde_json::from_slice(&body)?)
    }

    async fn open(&self) -> Result<SendRequest<Empty<Bytes>>, CallError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let tcp = connected.map_err(|_| CallError::ConnectTimedOut)??;
        set_nodelay(&tcp);
        let (sender, connection) = handshake(TokioIo::new(tcp)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }
}
