//! Limits of frame queues.

use super::{SendError, frame_queue};
use bytes::Bytes;

fn frame(size: usize) -> Bytes {
    Bytes::from(vec![0; size])
}

#[tokio::test]
async fn the_limit_of_bytes_counts_queued_frames_only() {
    let (sender, mut receiver) = frame_queue(100, 1_000);
    assert_eq!(sender.send(frame(600)), Ok(()));
    assert_eq!(sender.send(frame(500)), Err(SendError::Full));
    assert_eq!(sender.send(frame(400)), Ok(()));
    assert_eq!(receiver.receive().await.map(|frame| frame.len()), Some(600));
    assert_eq!(sender.send(frame(500)), Ok(()));
    receiver.clear();
    assert_eq!(sender.send(frame(1_000)), Ok(()));
}

#[test]
fn the_limit_of_frames_is_enforced() {
    let (sender, _receiver) = frame_queue(3, 1_000);
    let accepted = (0..10)
        .take_while(|_| sender.send(frame(1)).is_ok())
        .count();
    assert_eq!(accepted, 3);
}

#[test]
fn an_empty_queue_accepts_any_frame_and_a_closed_one_none() {
    let (sender, receiver) = frame_queue(3, 10);
    assert_eq!(sender.send(frame(5_000)), Ok(()));
    drop(receiver);
    let (sender, receiver) = frame_queue(3, 10);
    drop(receiver);
    assert_eq!(sender.send(frame(1)), Err(SendError::Closed));
}
