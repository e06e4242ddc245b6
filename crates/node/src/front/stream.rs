//! Passes a stream on as it comes, and takes it up at another upstream where its route allows that.

use super::Front;
use super::attempt::{Attempted, Begun, Keep, Outbound, attempt, give_back};
use super::course::Course;
use super::events::EventBuffer;
use super::reply::ReplyBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{HeaderName, HeaderValue};
use std::io;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use woadstall_request_reports::{AttemptOutcome, Cause};
use woadstall_routing::Outcome;

/// The header with the id of the last event that a client has.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Pieces that wait for a client at most.
const QUEUE: usize = 16;

/// How a body has ended.
enum End {
    Complete,
    Broken,
    ClientLeft,
    TimedOut,
}

/// Passes on what has begun; the body of the answer.
pub(super) fn pass_on(
    front: &Arc<Front>,
    course: Course,
    outbound: Outbound,
    begun: Begun,
) -> ReplyBody {
    let (sender, receiver) = mpsc::channel(QUEUE);
    let front = front.clone();
    tokio::spawn(async move { run(&front, course, outbound, begun, &sender).await });
    ReplyBody::Stream(receiver)
}

async fn run(
    front: &Arc<Front>,
    mut course: Course,
    mut outbound: Outbound,
    mut begun: Begun,
    client: &mpsc::Sender<io::Result<Bytes>>,
) {
    let mut buffer = course.route.resumable.then(EventBuffer::default);
    loop {
        let keep = begun
            .parts
            .extensions
            .get::<Keep>()
            .copied()
            .unwrap_or(Keep::Closes);
        let end = copy(
            &mut begun,
            &mut course,
            outbound.deadline,
            &mut buffer,
            client,
        )
        .await;
        match end {
            End::Complete => {
                if let Some(rest) = buffer
                    .as_mut()
                    .map(EventBuffer::rest)
                    .filter(|rest| !rest.is_empty())
                {
                    client.send(Ok(rest)).await.ok();
                }
                give_back(front, begun.connection, &begun.held, keep);
                begun.held.end(Outcome::Answered);
                course.end_attempt(AttemptOutcome::Answered);
                course.answered();
                return;
            }
            End::ClientLeft => return,
            End::TimedOut => {
                begun.held.end(Outcome::TimedOut);
                course.end_attempt(AttemptOutcome::TimedOut);
                course.failed(Cause::TimedOut);
                client.send(Err(io::ErrorKind::TimedOut.into())).await.ok();
                return;
            }
            End::Broken => {
                log::info!("stream broken upstream={}", begun.held.target.id);
                begun.held.end(Outcome::ConnectionError);
                course.end_attempt(AttemptOutcome::BrokenOff);
            }
        }
        let Some(next) = resume(front, &mut course, &mut outbound, buffer.as_mut()).await else {
            course.failed(Cause::Failed);
            client
                .send(Err(io::ErrorKind::ConnectionReset.into()))
                .await
                .ok();
            return;
        };
        begun = next;
    }
}

/// Copies a body to the client until it ends.
async fn copy(
    begun: &mut Begun,
    course: &mut Course,
    deadline: Instant,
    buffer: &mut Option<EventBuffer>,
    client: &mpsc::Sender<io::Result<Bytes>>,
) -> End {
    loop {
        let frame = tokio::select! {
            biased;
            () = client.closed() => return End::ClientLeft,
            frame = timeout_at(deadline, begun.body.frame()) => frame,
        };
        let data = match frame {
            Err(_) => return End::TimedOut,
            Ok(None) => return End::Complete,
            Ok(Some(Err(_))) => return End::Broken,
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
        };
        begun.held.heard();
        course.heard();
        let data = match buffer {
            Some(buffer) => buffer.push(&data),
            None => data,
        };
        if data.is_empty() {
            continue;
        }
        match timeout_at(deadline, client.send(Ok(data))).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return End::ClientLeft,
            Err(_) => return End::TimedOut,
        }
    }
}

/// Takes the stream up behind its last whole event, at another upstream.
async fn resume(
    front: &Arc<Front>,
    course: &mut Course,
    outbound: &mut Outbound,
    buffer: Option<&mut EventBuffer>,
) -> Option<Begun> {
    let buffer = buffer?;
    buffer.rest();
    if let Some(id) = buffer.last_id() {
        outbound
            .head
            .headers
            .insert(LAST_EVENT_ID, HeaderValue::from_bytes(id).ok()?);
    }
    while let Ok(target) = course.next(front) {
        let attempted = attempt(front, outbound, target).await;
        course.attempted(&attempted);
        match attempted {
            Attempted::Begun(begun) => return Some(*begun),
            Attempted::TimedOut => return None,
            Attempted::NotSent | Attempted::Rejected | Attempted::Broken | Attempted::Whole(..) => {
            }
        }
    }
    None
}
