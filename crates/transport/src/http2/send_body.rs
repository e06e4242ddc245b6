//! Sending a request body on a stream.

use crate::outbound_request::{BodyToSend, RemainingBody};
use bytes::Bytes;
use h2::SendStream;
use http_body::Frame;
use http_body_util::BodyExt;
use std::future::poll_fn;
use tokio::task::AbortHandle;

/// The task that sends the part of a body that is not buffered, if there is one. Dropping the sender stops the task.
pub(super) struct BodySender(Option<AbortHandle>);

impl Drop for BodySender {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

/// Sends a body on a stream. The buffered part is handed to `h2`, which respects the peer's flow-control window. A task
/// sends the rest while it arrives, as the window allows.
pub(super) fn send_body(body: &mut BodyToSend, mut stream: SendStream<Bytes>) -> BodySender {
    let ends_with_data = body.remaining.is_none() && body.trailers.is_none();
    let chunks = body.data.len();
    for (position, data) in body.data.iter().enumerate() {
        let is_last = ends_with_data && position + 1 == chunks;
        if stream.send_data(data.clone(), is_last).is_err() {
            return BodySender(None); // the stream has ended, which the response reports
        }
    }
    if let Some(trailers) = body.trailers.clone() {
        stream.send_trailers(trailers).ok();
    }
    let remaining = body.remaining.take();
    BodySender(
        remaining.map(|remaining| tokio::spawn(send_remaining(remaining, stream)).abort_handle()),
    )
}

/// Sends the rest of a body while it arrives, as fast as the peer's flow-control window allows.
async fn send_remaining(mut remaining: RemainingBody, mut stream: SendStream<Bytes>) {
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
            // The caller's body failed, so the upstream must not take the part that was sent for a complete request.
            Some(Err(_)) => stream.send_reset(h2::Reason::CANCEL),
        }
        return;
    }
}

/// Sends one chunk as the flow-control window allows; `None` if the stream has ended.
async fn send_chunk(mut data: Bytes, stream: &mut SendStream<Bytes>) -> Option<()> {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await?.ok()?;
        let chunk = data.split_to(capacity.min(data.len()));
        stream.send_data(chunk, false).ok()?;
    }
    Some(())
}
