//! Calls of operators to a balancer at its admin address.

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
/// Most bytes of a response: a row for each of a few thousand members.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A call failed at an address.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {source}")]
pub struct CallError {
    address: SocketAddr,
    source: CallFailure,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallFailure {
    /// There was no response in time.
    #[error("no answer in time")]
    TimedOut,
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
    /// The balancer does not have the call, for this reason.
    #[error("{0}")]
    Absent(&'static str),
    /// The balancer rejects the call.
    #[error("answered {status}: {text}")]
    Rejected {
        /// The status.
        status: StatusCode,
        /// The text that comes with it.
        text: String,
    },
}

/// Makes a call, and returns the body of its response. `absent` says why the balancer may not have such a call.
///
/// # Errors
///
/// Fails if there is no response in time, or one that is no success.
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
