//! Bounds of the queues of frames.

use super::{Overflow, queue};
use bytes::Bytes;

fn frame(size: usize) -> Bytes {
    Bytes::from(vec![0; size])
}

#[tokio::test]
async fn a_queue_holds_so_many_bytes_and_has_room_again_once_they_are_taken() {
    let (sender, mut receiver) = queue(100, 1_000);
    assert_eq!(sender.send(frame(600)), Ok(()));
    assert_eq!(sender.send(frame(500)), Err(Overflow));
    assert_eq!(sender.send(frame(400)), Ok(()));
    assert_eq!(receiver.receive().await.map(|frame| frame.len()), Some(600));
    assert_eq!(sender.send(frame(500)), Ok(()));
    receiver.clear();
    assert_eq!(sender.send(frame(1_000)), Ok(()));
}

#[test]
fn a_queue_holds_so_many_frames() {
    let (sender, _receiver) = queue(3, 1_000);
    let taken = (0..10)
        .take_while(|_| sender.send(frame(1)).is_ok())
        .count();
    assert_eq!(taken, 3);
}

#[test]
fn one_frame_always_fits_and_a_closed_queue_takes_none() {
    let (sender, receiver) = queue(3, 10);
    assert_eq!(sender.send(frame(5_000)), Ok(()));
    drop(receiver);
    let (sender, receiver) = queue(3, 10);
    drop(receiver);
    assert_eq!(sender.send(frame(1)), Err(Overflow));
}
