//! Proxies between sockets of this host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::timeout;
use woadstall_fault_proxy::{FaultProxy, LinkConditions, NodeId};

const A: NodeId = NodeId(1);
const B: NodeId = NodeId(2);
/// Far more than anything takes here.
const TIMEOUT: Duration = Duration::from_secs(30);

fn partitioned() -> LinkConditions {
    LinkConditions {
        partitioned: true,
        ..LinkConditions::default()
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Both ends of a stream through a proxy.
async fn connect(listener: &TcpListener, through: SocketAddr) -> (TcpStream, TcpStream) {
    let near = TcpStream::connect(through).await.unwrap();
    let (far, _) = timeout(TIMEOUT, listener.accept())
        .await
        .expect("a stream")
        .unwrap();
    (near, far)
}

async fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    timeout(TIMEOUT, stream.read_exact(&mut bytes))
        .await
        .expect("bytes")
        .unwrap();
    bytes
}

/// Numbers in sequence, so that bytes that are invented, duplicated or reordered show.
fn numbers(from: u32, count: u32) -> Vec<u8> {
    (from..from + count).flat_map(u32::to_be_bytes).collect()
}

/// 2,000 streams over a link partitioned in one direction: the other direction goes on, and after
/// healing each has all that was written, in order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partition_in_one_direction_keeps_the_other_and_loses_nothing() {
    let (listener, target) = listener().await;
    let proxy = FaultProxy::new(3);
    let through = proxy.proxy_tcp(A, B, target).await.unwrap();
    let mut all = Vec::new();
    for _ in 0..2_000 {
        all.push(connect(&listener, through).await);
    }
    for (near, far) in &mut all {
        near.write_all(&numbers(0, 8)).await.unwrap();
        assert_eq!(read(far, 32).await, numbers(0, 8));
    }
    proxy.set_conditions(A, B, partitioned());
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
            "something came over the partitioned link"
        );
    }
    for (near, _) in &mut all {
        near.write_all(&numbers(72, 8)).await.unwrap();
        near.shutdown().await.unwrap();
    }
    proxy.set_conditions(A, B, LinkConditions::default());
    for (_, far) in &mut all {
        let mut rest = Vec::new();
        timeout(TIMEOUT, far.read_to_end(&mut rest))
            .await
            .expect("the end")
            .unwrap();
        assert!(
            rest == numbers(8, 72),
            "{} bytes, or not in order",
            rest.len()
        );
    }
    assert_eq!(proxy.counts().streams_opened, 2_000);
}

/// Over a partition in either direction no stream comes up, nor is it refused; after healing it
/// does.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn over_a_partition_no_stream_comes_up() {
    let (listener, target) = listener().await;
    let proxy = FaultProxy::new(3);
    let through = proxy.proxy_tcp(A, B, target).await.unwrap();
    drop(connect(&listener, through).await);
    for (from, to) in [(A, B), (B, A)] {
        proxy.set_conditions(from, to, partitioned());
        tokio::time::sleep(Duration::from_millis(100)).await; // the proxy's backlog is full by then
        let mut attempts = JoinSet::new();
        for _ in 0..5 {
            attempts.spawn(timeout(
                Duration::from_millis(300),
                TcpStream::connect(through),
            ));
        }
        while let Some(attempt) = attempts.join_next().await {
            assert!(attempt.unwrap().is_err(), "it came up, or was refused");
        }
        let waiting = tokio::spawn(timeout(TIMEOUT, TcpStream::connect(through)));
        tokio::time::sleep(Duration::from_millis(50)).await;
        proxy.set_conditions(from, to, LinkConditions::default());
        assert!(
            waiting
                .await
                .unwrap()
                .expect("it comes up once healed")
                .is_ok()
        );
        drop(connect(&listener, through).await);
    }
}

/// Where no process runs, streams are refused at once; the next one is reached at the same address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_node_refuses_streams_until_it_runs_again() {
    let (listener, target) = listener().await;
    let proxy = FaultProxy::new(3);
    let through = proxy.proxy_tcp(A, B, target).await.unwrap();
    drop(connect(&listener, through).await);
    proxy.set_running(B, false);
    let refused = timeout(TIMEOUT, async {
        while TcpStream::connect(through).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    refused.await.expect("it is refused");
    proxy.set_running(B, true);
    let found = timeout(TIMEOUT, async {
        loop {
            match TcpStream::connect(through).await {
                Ok(found) => break found,
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    });
    found.await.expect("it is found");
}

/// A stream that is reset on one side is reset on the other: it does not end there as if all had
/// been delivered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resets_are_forwarded_as_resets() {
    let (listener, target) = listener().await;
    let proxy = FaultProxy::new(3);
    let through = proxy.proxy_tcp(A, B, target).await.unwrap();
    let (mut near, far) = connect(&listener, through).await;
    far.set_zero_linger().unwrap();
    drop(far);
    let broken = timeout(TIMEOUT, near.read(&mut [0; 8]))
        .await
        .expect("the reset");
    assert!(broken.is_err(), "{broken:?}");
    let (mut near, mut far) = connect(&listener, through).await;
    near.write_all(b"before").await.unwrap();
    assert_eq!(read(&mut far, 6).await, b"before");
    proxy.reset_streams(A, B);
    assert!(
        timeout(TIMEOUT, near.read(&mut [0; 8]))
            .await
            .expect("the reset")
            .is_err()
    );
    assert!(
        timeout(TIMEOUT, far.read(&mut [0; 8]))
            .await
            .expect("the reset")
            .is_err()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delay_and_bandwidth_apply_to_their_own_direction() {
    let (listener, target) = listener().await;
    let proxy = FaultProxy::new(3);
    let through = proxy.proxy_tcp(A, B, target).await.unwrap();
    let (mut near, mut far) = connect(&listener, through).await;
    proxy.set_conditions(
        A,
        B,
        LinkConditions {
            delay: Duration::from_millis(60),
            ..LinkConditions::default()
        },
    );
    proxy.set_conditions(
        B,
        A,
        LinkConditions {
            bytes_per_second: 100_000,
            ..LinkConditions::default()
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

/// A UDP socket at each of two nodes, and the addresses at which they reach each other.
struct UdpPair {
    proxy: FaultProxy,
    one: UdpSocket,
    other: UdpSocket,
    for_one: SocketAddr,
    for_other: SocketAddr,
}

impl UdpPair {
    async fn new() -> Self {
        let one = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let proxy = FaultProxy::new(3);
        let at_one = (A, one.local_addr().unwrap());
        let at_other = (B, other.local_addr().unwrap());
        let (for_one, for_other) = proxy.proxy_udp(at_one, at_other).await.unwrap();
        Self {
            proxy,
            one,
            other,
            for_one,
            for_other,
        }
    }
}

/// The next datagram that a socket receives, and its sender.
async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let received = timeout(TIMEOUT, socket.recv_from(&mut buffer)).await;
    let (length, from) = received.expect("a datagram").unwrap();
    (buffer[..length].to_vec(), from)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn datagrams_come_from_the_address_that_replies_go_to() {
    let pair = UdpPair::new().await;
    pair.one.send_to(b"one", pair.for_one).await.unwrap();
    let (datagram, from) = receive(&pair.other).await;
    assert_eq!((&datagram[..], from), (&b"one"[..], pair.for_other));
    pair.other.send_to(b"other", from).await.unwrap();
    let (datagram, from) = receive(&pair.one).await;
    assert_eq!((&datagram[..], from), (&b"other"[..], pair.for_one));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn datagrams_over_a_partitioned_link_are_lost_and_those_back_are_not() {
    let pair = UdpPair::new().await;
    pair.proxy.set_conditions(A, B, partitioned());
    pair.one.send_to(b"lost", pair.for_one).await.unwrap();
    let back = b"not lost";
    pair.other.send_to(back, pair.for_other).await.unwrap();
    assert_eq!(receive(&pair.one).await.0, back);
    let duplicating = LinkConditions {
        duplication: 1.0,
        ..LinkConditions::default()
    };
    pair.proxy.set_conditions(A, B, duplicating);
    pair.one.send_to(b"twice", pair.for_one).await.unwrap();
    for _ in 0..2 {
        assert_eq!(receive(&pair.other).await.0, b"twice");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn datagrams_of_strangers_are_ignored() {
    let pair = UdpPair::new().await;
    let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    stranger.send_to(b"stranger", pair.for_one).await.unwrap();
    pair.one.send_to(b"known", pair.for_one).await.unwrap();
    assert_eq!(receive(&pair.other).await.0, b"known");
}
