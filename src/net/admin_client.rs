//! HTTP client for the admin address of a load balancer.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response, in bytes; enough for one row for each of a few thousand members.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The error of a failed call, with the address that was called.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {source}")]
pub struct CallError {
    address: SocketAddr,
    source: CallFailure,
}

/// The cause of a failed call.
#[derive(Debug, thiserror::Error)]
pub enum CallFailure {
    /// The call exceeded its time limit.
    #[error("no answer in time")]
    TimedOut,
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
    /// The load balancer does not provide the call; the text gives the probable reason.
    #[error("{0}")]
    Absent(&'static str),
    /// The load balancer rejected the call.
    #[error("answered {status}: {text}")]
    Rejected {
        /// Status of the response.
        status: StatusCode,
        /// Body of the response, trimmed.
        text: String,
    },
}

/// Makes a call and returns the body of its response. `absent` is the reason reported if the load balancer does not
/// provide the call.
///
/// # Errors
///
/// Fails if the call exceeds its time limit, if the connection breaks, or if the status of the response is not 200.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    absent: &'static str,
) -> Result<Bytes, CallError> {
    let exchange = timeout(CALL_TIMEOUT, exchange(address, method, path, absent));
    let response = exchange.await.unwrap_or(Err(CallFailure::TimedOut));
    response.map_err(|source| CallError { address, source })
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    absent: &'static str,
) -> Result<Bytes, CallFailure> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body.map_err(CallFailure::Body)?.to_bytes();
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::NOT_FOUND => Err(CallFailure::Absent(absent)),
        status => {
            let text = String::from_utf8_lossy(&body).trim().to_owned();
            Err(CallFailure::Rejected { status, text })
        }
    }
}
