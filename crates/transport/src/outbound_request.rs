//! A request whose body is buffered, as far as a limit allows, so that it can be retried.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Request};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use tokio::time::Instant;

/// The error with which the request body ended prematurely.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The part of a request body that has not been read yet.
pub(crate) type RemainingBody = UnsyncBoxBody<Bytes, BodyError>;

/// A request to be sent to upstreams.
pub struct OutboundRequest {
    pub(crate) head: Parts,
    pub(crate) body: OutboundBody,
    pub(crate) is_grpc: bool,
    /// Time by which a streamed response body must have ended.
    pub(crate) response_deadline: Option<Instant>,
}

/// The body of a request.
pub(crate) enum OutboundBody {
    /// The whole body is buffered and can be sent any number of times.
    Buffered(BodyToSend),
    /// The body can be sent once; `None` after it has been taken.
    Once(Option<BodyToSend>),
}

impl OutboundBody {
    /// The body for the next attempt; `None` if an earlier attempt has taken a body that can be sent only once.
    pub fn take(&mut self) -> Option<BodyToSend> {
        match self {
            Self::Buffered(BodyToSend { data, trailers, .. }) => Some(BodyToSend {
                data: data.clone(),
                trailers: trailers.clone(),
                remaining: None,
            }),
            Self::Once(body) => body.take(),
        }
    }
}

/// The body that one attempt sends.
pub(crate) struct BodyToSend {
    pub data: Vec<Bytes>,
    pub trailers: Option<HeaderMap>,
    pub remaining: Option<RemainingBody>,
}

impl BodyToSend {
    pub fn is_empty(&self) -> bool {
        self.data.is_empty() && self.trailers.is_none() && self.remaining.is_none()
    }
}

/// The buffered beginning of a body.
#[derive(Default)]
struct BodyPrefix {
    data: Vec<Bytes>,
    trailers: Option<HeaderMap>,
    /// Length of `data` in bytes.
    length: usize,
    /// The prefix is the whole body.
    is_complete: bool,
}

impl BodyPrefix {
    fn push(&mut self, frame: Frame<Bytes>) {
        match frame.into_data() {
            Ok(data) => {
                self.length += data.len();
                if !data.is_empty() {
                    self.data.push(data);
                }
            }
            Err(frame) => self.trailers = frame.into_trailers().ok(),
        }
    }
}

impl OutboundRequest {
    /// Buffers up to `limit` bytes of the body, so that a body within the limit can be sent again. Waits for a body
    /// whose length is known to be within the limit. Of any other body, only the frames that are already available are
    /// buffered, because the upstream may respond before the body ends.
    ///
    /// `response_deadline` is the time by which a streamed response body must have ended.
    ///
    /// # Errors
    ///
    /// Returns the error of the body.
    pub async fn buffer<B>(
        request: Request<B>,
        limit: usize,
        is_grpc: bool,
        response_deadline: Option<Instant>,
    ) -> Result<Self, BodyError>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BodyError>,
    {
        let (head, body) = request.into_parts();
        let mut body = Box::pin(body);
        let prefix = read_prefix(&mut body, limit).await.map_err(Into::into)?;
        let BodyPrefix {
            data,
            trailers,
            is_complete,
            ..
        } = prefix;
        let body = if is_complete {
            OutboundBody::Buffered(BodyToSend {
                data,
                trailers,
                remaining: None,
            })
        } else {
            let remaining = RemainingBody::new(BoxedBody(body).map_err(Into::into));
            OutboundBody::Once(Some(BodyToSend {
                data,
                trailers: None,
                remaining: Some(remaining),
            }))
        };
        Ok(Self {
            head,
            body,
            is_grpc,
            response_deadline,
        })
    }

    /// The maximum number of attempts: 1 if the body is not fully buffered, else unlimited.
    pub fn max_attempts(&self) -> u32 {
        match self.body {
            OutboundBody::Buffered(_) => u32::MAX,
            OutboundBody::Once(_) => 1,
        }
    }

    /// The request with its body in one piece; `None` if the body is not fully buffered.
    pub fn to_buffered(&self) -> Option<Request<Bytes>> {
        let OutboundBody::Buffered(BodyToSend { data, .. }) = &self.body else {
            return None;
        };
        let body = match data.as_slice() {
            [] => Bytes::new(),
            [only] => only.clone(),
            chunks => chunks.concat().into(),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        Some(request)
    }
}

/// Reads the beginning of a body. Stops after the first frame that exceeds the limit.
async fn read_prefix<B>(body: &mut Pin<Box<B>>, limit: usize) -> Result<BodyPrefix, B::Error>
where
    B: Body<Data = Bytes>,
{
    let is_short = |length: u64| length <= limit as u64;
    let waits_for_frames = body.size_hint().exact().is_some_and(is_short);
    let mut prefix = BodyPrefix::default();
    while !body.is_end_stream() {
        let mut frame = pin!(body.frame());
        let next = poll_fn(|cx| match frame.as_mut().poll(cx) {
            Poll::Pending if !waits_for_frames => Poll::Ready(None),
            polled => polled.map(Some),
        });
        match next.await {
            None => return Ok(prefix),
            Some(None) => break,
            Some(Some(frame)) => prefix.push(frame?),
        }
        if prefix.length > limit {
            return Ok(prefix);
        }
    }
    prefix.is_complete = true;
    Ok(prefix)
}

/// A body pinned on the heap, so that the wrapper is `Unpin`.
struct BoxedBody<B>(Pin<Box<B>>);

impl<B: Body> Body for BoxedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        self.0.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size_hint()
    }
}
