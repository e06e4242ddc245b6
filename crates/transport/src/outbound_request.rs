//! A request that may have to be sent more than once.

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

/// Why the caller's body ended before its end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// What is still to come of a body.
pub(crate) type RemainingBody = UnsyncBoxBody<Bytes, BodyError>;

/// A request on its way to an upstream.
pub struct OutboundRequest {
    pub(crate) head: Parts,
    pub(crate) body: OutboundBody,
    pub(crate) is_grpc: bool,
    /// When a body that is passed on as it comes must have ended.
    pub(crate) body_deadline: Option<Instant>,
}

/// The body of a request.
pub(crate) enum OutboundBody {
    /// All of it is buffered: it can be sent as often as need be.
    Buffered(BodyToSend),
    /// It can be sent once, until it is taken.
    Once(Option<BodyToSend>),
}

impl OutboundBody {
    /// The body for the next attempt; `None` if it was sent and cannot be sent again.
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

/// What is sent on one stream.
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

/// The beginning of a body.
#[derive(Default)]
struct BodyPrefix {
    data: Vec<Bytes>,
    trailers: Option<HeaderMap>,
    length: usize,
    /// It is the whole body.
    is_complete: bool,
}

impl BodyPrefix {
    /// Takes a frame in.
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
    /// Buffers as much of a body as it may take to send it again: `limit` bytes. A body whose length is known is waited
    /// for; of one whose length is not, only what is there already is taken, as the other end may respond before it ends.
    ///
    /// # Errors
    ///
    /// Fails if the body does.
    pub async fn buffer<B>(
        request: Request<B>,
        limit: usize,
        is_grpc: bool,
        body_deadline: Option<Instant>,
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
            body_deadline,
        })
    }

    /// Most attempts that can be made with it.
    pub fn max_attempts(&self) -> u32 {
        match self.body {
            OutboundBody::Buffered(_) => u32::MAX,
            OutboundBody::Once(_) => 1,
        }
    }

    /// The request with its body in one piece; `None` if that is not buffered to its end.
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

/// Reads the beginning of a body, up to one frame over the limit.
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

/// A body on the heap, which can be moved.
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
