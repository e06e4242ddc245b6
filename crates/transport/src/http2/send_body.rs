//! Sending the body of a request on a stream.

use crate::outbound_request::{BodyToSend, RemainingBody};
use bytes::Bytes;
use h2::SendStream;
use http_body::Frame;
use http_body_util::BodyExt;
use std::future::poll_fn;
use tokio::task::AbortHandle;

/// The task that sends the rest of a body that is not buffered to its end. Dropping it stops that.
pub(super) struct BodyPump(Option<AbortHandle>);

impl Drop for BodyPump {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

/// Sends a body on a stream. What is buffered is left to `h2`, which minds the peer's window; the rest of a body that is
/// still to come goes out as the window allows.
pub(super) fn send_body(body: &mut BodyToSend, mut stream: SendStream<Bytes>) -> BodyPump {
    let ends_with_data = body.remaining.is_none() && body.trailers.is_none();
    let chunks = body.data.len();
    for (position, data) in body.data.iter().enumerate() {
        let is_last = ends_with_data && position + 1 == chunks;
        if stream.send_data(data.clone(), is_last).is_err() {
            return BodyPump(None); // the stream is over, as its response tells
        }
    }
    if let Some(trailers) = body.trailers.clone() {
        stream.send_trailers(trailers).ok();
    }
    let remaining = body.remaining.take();
    BodyPump(remaining.map(|remaining| tokio::spawn(pump(remaining, stream)).abort_handle()))
}

/// Sends what comes of a body, as fast as the peer takes it.
async fn pump(mut remaining: RemainingBody, mut stream: SendStream<Bytes>) {
    loop {
        let frame = tokio::select! {
            frame = remaining.frame() => frame,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return,
        };
        match frame.map(|frame| frame.map(Frame::into_data)) {
            None => drop(stream.send_data(Bytes::new(), true)),
            Some(Ok(Ok(data))) => match send_chunk(data, &mut stream).await {
                Some(()) => continue,
                None => return,
            },
            Some(Ok(Err(frame))) => {
                if let Ok(trailers) = frame.into_trailers() {
                    stream.send_trailers(trailers).ok();
                }
            }
            // The caller's own body broke: what was sent of it is no request.
            Some(Err(_)) => stream.send_reset(h2::Reason::CANCEL),
        }
        return;
    }
}

/// Sends one chunk as the window allows; `None` if the stream is over.
async fn send_chunk(mut data: Bytes, stream: &mut SendStream<Bytes>) -> Option<()> {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await?.ok()?;
        let chunk = data.split_to(capacity.min(data.len()));
        stream.send_data(chunk, false).ok()?;
    }
    Some(())
}
