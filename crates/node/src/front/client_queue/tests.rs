//! Tests of the queue of a stream's data.

use super::{ClientDisconnected, ClientQueue, MAX_QUEUED_CHUNKS};
use bytes::Bytes;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use woadstall_inbound::BodyBudget;

const CHUNK: &[u8] = &[0; 100];

/// Polls a future once; `None` if it waits.
fn poll<T>(future: impl Future<Output = T>) -> Option<T> {
    match pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(output) => Some(output),
        Poll::Pending => None,
    }
}

fn send(queue: &ClientQueue) -> Option<Result<(), ClientDisconnected>> {
    poll(queue.send(Bytes::from_static(CHUNK)))
}

/// Guards against queues for clients that do not read, which were bounded for each client but not in their sum.
#[test]
fn data_that_waits_for_all_clients_is_limited() {
    let budget = BodyBudget::new(3 * CHUNK.len());
    let (first, mut first_data) = ClientQueue::new(&budget);
    let (second, mut second_data) = ClientQueue::new(&budget);
    for _ in 0..3 {
        assert_eq!(send(&first), Some(Ok(())));
    }
    assert_eq!(send(&first), None, "the budget is exhausted");
    assert_eq!(send(&second), Some(Ok(())), "one chunk is always accepted");
    assert_eq!(
        send(&second),
        None,
        "the next one waits until the client has read"
    );
    let chunk = second_data.try_recv().expect("a chunk").expect("data");
    assert_eq!(&chunk[..], CHUNK);
    assert_eq!(send(&second), Some(Ok(())));
    drop(first_data.try_recv().expect("a chunk"));
    assert_eq!(send(&first), Some(Ok(())), "the client has read a chunk");
    assert_eq!(budget.reserved(), 3 * CHUNK.len());
    drop((first_data, second_data));
    assert_eq!(budget.reserved(), 0);
    assert_eq!(send(&first), Some(Err(ClientDisconnected)));
    assert_eq!(send(&second), Some(Err(ClientDisconnected)));
}

#[test]
fn a_queue_holds_a_limited_number_of_chunks() {
    let budget = BodyBudget::new(usize::MAX);
    let (queue, mut data) = ClientQueue::new(&budget);
    for _ in 0..MAX_QUEUED_CHUNKS {
        assert_eq!(send(&queue), Some(Ok(())));
    }
    assert_eq!(send(&queue), None);
    drop(data.try_recv().expect("a chunk"));
    assert_eq!(send(&queue), Some(Ok(())));
}
