//! Relays between sockets of this machine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::timeout;
use woadstall_fault_proxy::{Fabric, Party, Way};

const A: Party = Party(1);
const B: Party = Party(2);
/// Far more than anything takes here.
const PATIENCE: Duration = Duration::from_secs(30);

fn cut() -> Way {
    Way {
        cut: true,
        ..Way::default()
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A pair of ends that are connected through a relay.
async fn ends(listener: &TcpListener, through: SocketAddr) -> (TcpStream, TcpStream) {
    let near = TcpStream::connect(through).await.unwrap();
    let (far, _) = timeout(PATIENCE, listener.accept())
        .await
        .expect("a stream")
        .unwrap();
    (near, far)
}

async fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    timeout(PATIENCE, stream.read_exact(&mut bytes))
        .await
        .expect("bytes")
        .unwrap();
    bytes
}

/// Numbers that tell their place, so that what is invented, doubled or in another order shows.
fn numbers(from: u32, count: u32) -> Vec<u8> {
    (from..from + count).flat_map(u32::to_be_bytes).collect()
}

/// 2,000 streams cut one way: the other way goes on, and after healing each has all that was written, in order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_of_one_way_keeps_the_other_and_loses_nothing() {
    let (listener, target) = listener().await;
    let fabric = Fabric::new(3);
    let through = fabric.tcp(A, B, target).await.unwrap();
    let mut all = Vec::new();
    for _ in 0..2_000 {
        all.push(ends(&listener, through).await);
    }
    for (near, far) in &mut all {
        near.write_all(&numbers(0, 8)).await.unwrap();
        assert_eq!(read(far, 32).await, numbers(0, 8));
    }
    fabric.set(A, B, cut());
    for (near, far) in &mut all {
        near.write_all(&numbers(8, 64)).await.unwrap();
        far.write_all(&numbers(100, 64)).await.unwrap();
    }
    for (near, far) in &mut all {
        assert_eq!(read(near, 256).await, numbers(100, 64));
        let nothing = far.try_read(&mut [0; 16]).map_err(|error| error.kind());
        assert_eq!(
            nothing,
            Err(std::io::ErrorKind::WouldBlock),
            "something came over the cut"
        );
    }
    for (near, _) in &mut all {
        near.write_all(&numbers(72, 8)).await.unwrap();
        near.shutdown().await.unwrap();
    }
    fabric.set(A, B, Way::default());
    for (_, far) in &mut all {
        let mut rest = Vec::new();
        timeout(PATIENCE, far.read_to_end(&mut rest))
            .await
            .expect("the end")
            .unwrap();
        assert!(
            rest == numbers(8, 72),
            "{} bytes, or not in order",
            rest.len()
        );
    }
    assert_eq!(fabric.counts().streams, 2_000);
}

/// Over a cut of either way nothing comes up, nor is anything refused; after healing it does.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn over_a_cut_no_stream_comes_up() {
    let (listener, target) = listener().await;
    let fabric = Fabric::new(3);
    let through = fabric.tcp(A, B, target).await.unwrap();
    drop(ends(&listener, through).await);
    for (from, to) in [(A, B), (B, A)] {
        fabric.set(from, to, cut());
        tokio::time::sleep(Duration::from_millis(100)).await; // the relay's queue is full by then
        let mut tries = JoinSet::new();
        for _ in 0..5 {
            tries.spawn(timeout(
                Duration::from_millis(300),
                TcpStream::connect(through),
            ));
        }
        while let Some(tried) = tries.join_next().await {
            assert!(tried.unwrap().is_err(), "it came up, or was refused");
        }
        let waiting = tokio::spawn(timeout(PATIENCE, TcpStream::connect(through)));
        tokio::time::sleep(Duration::from_millis(50)).await;
        fabric.set(from, to, Way::default());
        assert!(
            waiting
                .await
                .unwrap()
                .expect("it comes up once healed")
                .is_ok()
        );
        drop(ends(&listener, through).await);
    }
}

/// Where no process runs, streams are refused at once; its next one is found at the same address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_party_refuses_and_is_found_again() {
    let (listener, target) = listener().await;
    let fabric = Fabric::new(3);
    let through = fabric.tcp(A, B, target).await.unwrap();
    drop(ends(&listener, through).await);
    fabric.set_up(B, false);
    let refused = timeout(PATIENCE, async {
        while TcpStream::connect(through).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    refused.await.expect("it is refused");
    fabric.set_up(B, true);
    let found = timeout(PATIENCE, async {
        loop {
            match TcpStream::connect(through).await {
                Ok(found) => break found,
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    });
    found.await.expect("it is found");
}

/// A stream that breaks on one side breaks on the other: it does not end there as if all had come.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resets_are_passed_on_as_resets() {
    let (listener, target) = listener().await;
    let fabric = Fabric::new(3);
    let through = fabric.tcp(A, B, target).await.unwrap();
    let (mut near, far) = ends(&listener, through).await;
    far.set_zero_linger().unwrap();
    drop(far);
    let broken = timeout(PATIENCE, near.read(&mut [0; 8]))
        .await
        .expect("the reset");
    assert!(broken.is_err(), "{broken:?}");
    let (mut near, mut far) = ends(&listener, through).await;
    near.write_all(b"before").await.unwrap();
    assert_eq!(read(&mut far, 6).await, b"before");
    fabric.reset(A, B);
    assert!(
        timeout(PATIENCE, near.read(&mut [0; 8]))
            .await
            .expect("the reset")
            .is_err()
    );
    assert!(
        timeout(PATIENCE, far.read(&mut [0; 8]))
            .await
            .expect("the reset")
            .is_err()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delays_add_up_and_rates_hold() {
    let (listener, target) = listener().await;
    let fabric = Fabric::new(3);
    let through = fabric.tcp(A, B, target).await.unwrap();
    let (mut near, mut far) = ends(&listener, through).await;
    fabric.set(
        A,
        B,
        Way {
            delay: Duration::from_millis(60),
            ..Way::default()
        },
    );
    fabric.set(
        B,
        A,
        Way {
            rate: 100_000,
            ..Way::default()
        },
    );
    let began = Instant::now();
    near.write_all(b"there").await.unwrap();
    read(&mut far, 5).await;
    assert!(began.elapsed() >= Duration::from_millis(60));
    let began = Instant::now();
    far.write_all(&[0; 20_000]).await.unwrap();
    read(&mut near, 20_000).await;
    assert!(
        began.elapsed() >= Duration::from_millis(195),
        "{:?}",
        began.elapsed()
    );
}

/// Each hears the other from where it sends to, and a cut of one way keeps the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn datagrams_go_both_ways_and_over_no_cut() {
    let (one, other) = (
        UdpSocket::bind("127.0.0.1:0").await.unwrap(),
        UdpSocket::bind("127.0.0.1:0").await.unwrap(),
    );
    let fabric = Fabric::new(3);
    let (for_one, for_other) = fabric
        .udp(
            (A, one.local_addr().unwrap()),
            (B, other.local_addr().unwrap()),
        )
        .await
        .unwrap();
    let mut buffer = [0; 64];
    one.send_to(b"one", for_one).await.unwrap();
    let (length, from) = timeout(PATIENCE, other.recv_from(&mut buffer))
        .await
        .expect("it")
        .unwrap();
    assert_eq!((&buffer[..length], from), (&b"one"[..], for_other));
    other.send_to(b"other", from).await.unwrap();
    let (length, from) = timeout(PATIENCE, one.recv_from(&mut buffer))
        .await
        .expect("it")
        .unwrap();
    assert_eq!((&buffer[..length], from), (&b"other"[..], for_one));
    fabric.set(A, B, cut());
    one.send_to(b"lost", for_one).await.unwrap();
    other.send_to(b"not lost", for_other).await.unwrap();
    let (length, _) = timeout(PATIENCE, one.recv_from(&mut buffer))
        .await
        .expect("it")
        .unwrap();
    assert_eq!(&buffer[..length], b"not lost");
    fabric.set(
        A,
        B,
        Way {
            doubled: 1.0,
            ..Way::default()
        },
    );
    one.send_to(b"twice", for_one).await.unwrap();
    for _ in 0..2 {
        let (length, _) = timeout(PATIENCE, other.recv_from(&mut buffer))
            .await
            .expect("it")
            .unwrap();
        assert_eq!(&buffer[..length], b"twice");
    }
    // A stranger that finds the relay is not taken for the one.
    let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    stranger.send_to(b"stranger", for_one).await.unwrap();
    one.send_to(b"known", for_one).await.unwrap();
    let (length, _) = timeout(PATIENCE, other.recv_from(&mut buffer))
        .await
        .expect("it")
        .unwrap();
    assert_eq!(&buffer[..length], b"known");
}
