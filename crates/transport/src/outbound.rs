//! A request that may have to be sent more than once.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Request};
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;
use tokio::time::Instant;

/// Why the caller's body ended before its end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// What is still to come of a body.
pub(crate) type Rest = UnsyncBoxBody<Bytes, BodyError>;

/// A request on its way out.
pub struct Outbound {
    pub(crate) head: Parts,
    pub(crate) body: Held,
    pub(crate) grpc: bool,
    /// When a body that is passed on as it comes must have ended.
    pub(crate) body_deadline: Option<Instant>,
}

/// A body: whole and so as often as need be, or once.
pub(crate) enum Held {
    Whole(Replay),
    Once(Option<Replay>),
}

impl Held {
    pub fn take(&mut self) -> Option<Replay> {
        match self {
            Self::Whole(Replay { data, trailers, .. }) => Some(Replay {
                data: data.clone(),
                trailers: trailers.clone(),
                rest: None,
            }),
            Self::Once(body) => body.take(),
        }
    }
}

/// What is sent on one stream.
pub(crate) struct Replay {
    pub data: Vec<Bytes>,
    pub trailers: Option<HeaderMap>,
    pub rest: Option<Rest>,
}

impl Replay {
    pub fn is_empty(&self) -> bool {
        self.data.is_empty() && self.trailers.is_none() && self.rest.is_none()
    }
}

impl Outbound {
    /// Holds as much of a body as it may take to send it again: `most` bytes. A body whose length is told is
    /// waited for; of one that is not, only what is there already is taken, as the other end may answer before
    /// it ends. The error is the body's own.
    pub async fn hold<B>(
        request: Request<B>,
        most: usize,
        grpc: bool,
        body_deadline: Option<Instant>,
    ) -> Result<Self, BodyError>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BodyError>,
    {
        let (head, body) = request.into_parts();
        let waits = body
            .size_hint()
            .exact()
            .is_some_and(|length| length <= most as u64);
        let (mut data, mut trailers, mut length) = (Vec::new(), None, 0);
        let mut body = Box::pin(body);
        let whole = loop {
            if body.is_end_stream() {
                break true;
            }
            let mut next = pin!(body.frame());
            let next = poll_fn(|cx| match next.as_mut().poll(cx) {
                Poll::Pending if !waits => Poll::Ready(None),
                other => other.map(Some),
            });
            match next.await {
                None => break false,
                Some(None) => break true,
                Some(Some(Err(error))) => return Err(error.into()),
                Some(Some(Ok(frame))) => match frame.into_data() {
                    Ok(part) => {
                        length += part.len();
                        if !part.is_empty() {
                            data.push(part);
                        }
                        if length > most {
                            break false;
                        }
                    }
                    Err(frame) => trailers = frame.into_trailers().ok(),
                },
            }
        };
        let body = match whole {
            true => Held::Whole(Replay {
                data,
                trailers,
                rest: None,
            }),
            false => {
                let rest = Rest::new(PinnedBody(body).map_err(Into::into));
                Held::Once(Some(Replay {
                    data,
                    trailers: None,
                    rest: Some(rest),
                }))
            }
        };
        Ok(Self {
            head,
            body,
            grpc,
            body_deadline,
        })
    }

    /// Most attempts that can be made with it.
    pub fn attempts(&self) -> u32 {
        match self.body {
            Held::Whole(_) => u32::MAX,
            Held::Once(_) => 1,
        }
    }

    /// The request with its body in one piece; `None` if that is not held whole.
    pub fn whole(&self) -> Option<Request<Bytes>> {
        let Held::Whole(Replay { data, .. }) = &self.body else {
            return None;
        };
        let body = match data.as_slice() {
            [] => Bytes::new(),
            [one] => one.clone(),
            parts => parts.concat().into(),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        Some(request)
    }
}

/// A body on the heap, which can be moved.
struct PinnedBody<B>(Pin<Box<B>>);

impl<B: Body> Body for PinnedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<B::Data>, B::Error>>> {
        self.0.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.0.size_hint()
    }
}
