//! A keep-alive HTTP/1.1 connection to discovery.

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

/// Maximum size of a response body, in bytes; bounds memory use.
const MAX_LIST_BYTES: usize = 8 << 20;

/// The error of a failed call to discovery.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The call exceeded its time limit.
    #[error("no answer in time")]
    TimedOut,
    /// The connection was not established within the connect timeout.
    #[error("no connection in time")]
    ConnectTimedOut,
    /// An I/O error of the socket.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection broke, or the peer violated HTTP.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The body was truncated or exceeds the size limit.
    #[error(transparent)]
    Body(Box<dyn Error + Send + Sync>),
    /// The response has a status outside 2xx.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body is not a valid endpoint list.
    #[error(transparent)]
    List(#[from] serde_json::Error),
}

/// A connection to discovery that is reopened on demand.
pub struct Connection {
    address: SocketAddr,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl Connection {
    /// Creates a connection that is opened by the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Closes the connection; the next call opens a new one.
    pub fn close(&mut self) {
        self.sender = None;
    }

    /// Makes a call and returns the received list.
    ///
    /// # Errors
    ///
    /// Fails if the call exceeds its time limit, if the connection breaks, if the response is invalid, or if its status
    /// is outside 2xx.
    pub async fn call(&mut self, call: &Call) -> Result<EndpointList, CallError> {
        let exchanged = timeout(call.timeout, self.exchange(&call.path)).await;
        exchanged.map_err(|_| CallError::TimedOut)?
    }

    async fn exchange(&mut self, path: &str) -> Result<EndpointList, CallError> {
        let mut sender = match self.sender.take() {
            // The agent may have closed the connection since the last call.
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
