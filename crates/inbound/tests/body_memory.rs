//! Tests of the accounting of memory for bodies.

use bytes::Bytes;
use http_body::{Body, Frame};
use http_body_util::Full;
use rstest::rstest;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use woadstall_inbound::{BodyBudget, BodyMemory, ReadBodyError, read_body};

const LIMIT: usize = 1_000;

/// Returns the output of a future that never has to wait.
fn ready<T>(future: impl Future<Output = T>) -> T {
    let mut future = std::pin::pin!(future);
    match future
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
    {
        Poll::Ready(output) => output,
        Poll::Pending => panic!("the future waits"),
    }
}

/// Reads a body that consists of frames of these sizes. Its length is known in advance if `has_length`.
fn read(
    frames: &[usize],
    has_length: bool,
    max_bytes: usize,
    budget: &Arc<BodyBudget>,
) -> Result<Bytes, ReadBodyError> {
    if has_length {
        let data = Bytes::from(vec![b'b'; frames.iter().sum()]);
        return ready(read_body(Full::new(data), max_bytes, budget));
    }
    let frames = frames.iter().map(|&bytes| Bytes::from(vec![b'b'; bytes]));
    let body = Frames(frames.collect::<Vec<_>>().into_iter());
    ready(read_body(body, max_bytes, budget))
}

/// A body of unknown length whose frames are all available.
struct Frames(std::vec::IntoIter<Bytes>);

impl Body for Frames {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.0.next().map(|data| Ok(Frame::data(data))))
    }
}

/// Guards against a limit that counts a body only as long as its request lives, while a connection still holds the body.
#[test]
fn a_reservation_is_released_with_the_last_clone_of_its_body() {
    let budget = BodyBudget::new(LIMIT);
    let body = read(&[600], true, LIMIT, &budget).expect("the body fits");
    let tail = body.slice(599..);
    let clone = body.clone();
    drop(body);
    assert_eq!(budget.reserved(), 600);
    assert_eq!(
        read(&[600], true, LIMIT, &budget),
        Err(ReadBodyError::OutOfMemory)
    );
    drop(clone);
    assert_eq!(budget.reserved(), 600, "a slice keeps the whole body");
    drop(tail);
    assert_eq!(budget.reserved(), 0);
    read(&[LIMIT], true, LIMIT, &budget).expect("the whole budget is free again");
}

#[rstest]
#[case::in_one_frame(&[LIMIT])]
#[case::in_many_frames(&[1; 333])]
#[case::empty(&[])]
fn a_body_that_was_read_occupies_its_size(
    #[case] frames: &[usize],
    #[values(true, false)] has_length: bool,
) {
    let budget = BodyBudget::new(LIMIT);
    let size: usize = frames.iter().sum();
    let body = read(frames, has_length, LIMIT, &budget).expect("the body fits");
    assert_eq!((body.len(), budget.reserved()), (size, size));
}

#[rstest]
fn a_body_that_was_not_read_occupies_nothing(#[values(true, false)] has_length: bool) {
    let budget = BodyBudget::new(LIMIT);
    assert_eq!(
        read(&[400, 101], has_length, 500, &budget),
        Err(ReadBodyError::TooLarge)
    );
    assert_eq!(
        read(&[400, 601], has_length, 2 * LIMIT, &budget),
        Err(ReadBodyError::OutOfMemory)
    );
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn a_reservation_that_fails_reserves_nothing() {
    let budget = BodyBudget::new(LIMIT);
    let mut memory = BodyMemory::new(&budget);
    assert!(memory.reserve(LIMIT));
    assert!(!memory.reserve(1));
    assert!(!memory.reserve(usize::MAX));
    assert_eq!((memory.bytes(), budget.reserved()), (LIMIT, LIMIT));
    memory.shrink_to(400);
    assert_eq!((memory.bytes(), budget.reserved()), (400, 400));
    drop(memory);
    assert_eq!(budget.reserved(), 0);
}
