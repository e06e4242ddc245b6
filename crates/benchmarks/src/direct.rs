//! An HTTP/2 client without load balancing, buffering or retries.

use crate::error::BenchmarkError;
use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tower_service::Service;
use woadstall_socket_options::set_nodelay;

/// Error of a call that did not end with a response.
#[derive(Debug, thiserror::Error)]
#[error("the call ended without a complete response")]
pub struct CallFailed;

/// A client with one HTTP/2 connection, which clones share.
#[derive(Clone)]
pub struct DirectClient {
    sender: SendRequest<Bytes>,
    address: SocketAddr,
}

impl DirectClient {
    /// Opens the connection.
    ///
    /// # Errors
    ///
    /// Returns [`BenchmarkError::Io`] or [`BenchmarkError::Http2`] if the upstream cannot be reached.
    pub async fn connect(address: SocketAddr) -> Result<Self, BenchmarkError> {
        let tcp = TcpStream::connect(address).await?;
        set_nodelay(&tcp);
        let (sender, connection) = h2::client::handshake(tcp).await?;
        tokio::spawn(connection);
        Ok(Self { sender, address })
    }

    /// Sends a request and reads the response to its end. Returns the last chunk of the body, or `None` if the call
    /// failed.
    pub async fn send(self, mut request: Request<()>) -> Option<Bytes> {
        let Self {
            mut sender,
            address,
        } = self;
        *request.uri_mut() = format!("http://{address}{}", request.uri().path())
            .parse()
            .ok()?;
        let (response, _) = sender.send_request(request, true).ok()?;
        let mut body = response.await.ok()?.into_body();
        let mut last_chunk = Bytes::new();
        while let Some(chunk) = body.data().await {
            last_chunk = chunk.ok()?;
            body.flow_control()
                .release_capacity(last_chunk.len())
                .ok()?;
        }
        Some(last_chunk)
    }
}

impl Service<Request<()>> for DirectClient {
    type Response = Bytes;
    type Error = CallFailed;
    type Future = Pin<Box<dyn Future<Output = Result<Bytes, CallFailed>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CallFailed>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<()>) -> Self::Future {
        let response = self.clone().send(request);
        Box::pin(async { response.await.ok_or(CallFailed) })
    }
}
