//! Fault injection between sockets on this host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::timeout;
use woadstall_fault_proxy::{FaultProxy, LinkConditions, NodeId};

const A: NodeId = NodeId(1);
const B: NodeId = NodeId(2);
/// Time limit of socket operations, far above their normal duration.
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

/// Opens a stream through a proxy and returns the client end and the server end.
async fn connect(listener: &TcpListener, proxy_address: SocketAddr) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(proxy_address).await.unwrap();
    let (server, _) = timeout(TIMEOUT, listener.accept())
        .await
        .expect("the server accepts a stream")
        .unwrap();
    (client, server)
}

async fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    timeout(TIMEOUT, stream.read_exact(&mut bytes))
        .await
        .expect("the bytes arrive")
        .unwrap();
    bytes
}

/// Encodes consecutive numbers, so that inserted, duplicated or reordered bytes are detected.
fn numbers(from: u32, count: u32) -> Vec<u8> {
    (from..from + count).flat_map(u32::to_be_bytes).collect()
}

/// 2,000 streams over a link that is partitioned in one direction: the opposite direction keeps
/// working, and after the partition every stream delivers all written bytes in order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_way_partition_loses_no_bytes() {
    let (listener, target) = listener().await;
    let proxy = FaultProxy::new(3);
    let proxy_address = proxy.proxy_tcp(A, B, target).await.unwrap();
    let mut streams = Vec::new();
    for _ in 0..2_000 {
        streams.push(connect(&listener, proxy_address).await);
    }
    for (client, server) in &mut streams {
        client.write_all(&numbers(0, 8)).await.unwrap();
        assert_eq!(read(server, 32).await, numbers(0, 8));
    }
    proxy.set_conditions(A, B, partitioned());
    for (client, server) in &mut streams {
        client.write_all(&numbers(8, 64)).await.unwrap();
        server.write_all(&numbers(100, 64)).await.unwrap();
    }
    for (client, server) in &mut streams {
        assert_eq!(read(client, 256).await, numbers(100, 64));
        let nothing = server.try_read(&mut [0; 16]).map_err(|error| error.kind());
        assert_eq!(
            nothing,
            Err(std::io::ErrorKind::WouldBlock),
            "bytes were delivered over the partitioned link"
        );
    }
    for (client, _) in &mut streams {
        client.write_all(&numbers(72, 8)).await.unwrap();
        client.shutdown().await.unwrap();
    }
    proxy.set_conditions(A, B, LinkConditions::default());
    for (_, server) in &mut streams {
        let mut rest = Vec::new();
        timeout(TIMEOUT, server.read_to_end(&mut rest))
            .await
            .expect("the end of the stream arrives")
            .unwrap();
        assert!(
            rest == numbers(8, 72),
            "{} bytes, or not in order",
            rest.len()
        );
    }
    assert_eq!(proxy.counts().streams_opened, 2_000);
}

/// During a partition in either direction, new streams are neither established nor refused. After
/// the partition, a waiting stream is established.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partitions_prevent_new_streams() {
    let (listener, target) = listener().await;
    let proxy = FaultProxy::new(3);
    let proxy_address = proxy.proxy_tcp(A, B, target).await.unwrap();
    drop(connect(&listener, proxy_address).await);
    for (from, to) in [(A, B), (B, A)] {
        proxy.set_conditions(from, to, partitioned());
        tokio::time::sleep(Duration::from_millis(100)).await; // time for the proxy to fill its backlog
        let mut attempts = JoinSet::new();
        for _ in 0..5 {
            attempts.spawn(timeout(
                Duration::from_millis(300),
                TcpStream::connect(proxy_address),
            ));
        }
        while let Some(attempt) = attempts.join_next().await {
            assert!(
                attempt.unwrap().is_err(),
                "the stream was established or refused during the partition"
            );
        }
        let waiting = tokio::spawn(timeout(TIMEOUT, TcpStream::connect(proxy_address)));
        tokio::time::sleep(Duration::from_millis(50)).await;
        proxy.set_conditions(from, to, LinkConditions::default());
        assert!(
            waiting
                .await
                .unwrap()
                .expect("the stream is established after the partition")
                .is_ok()
        );
        drop(connect(&listener, proxy_address).await);
    }
}

/// A stopped node refuses new streams. After a restart, the node is reachable at the same address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_node_refuses_streams_until_it_runs_again() {
    let (listener, target) = listener().await;
    let proxy = FaultProxy::new(3);
    let proxy_address = proxy.proxy_tcp(A, B, target).await.unwrap();
    drop(connect(&listener, proxy_address).await);
    proxy.set_running(B, false);
    let refused = timeout(TIMEOUT, async {
        while TcpStream::connect(proxy_address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    refused.await.expect("the stream is refused");
    proxy.set_running(B, true);
    let reconnected = timeout(TIMEOUT, async {
        loop {
            match TcpStream::connect(proxy_address).await {
                Ok(stream) => break stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    });
    reconnected.await.expect("the restarted node is reachable");
}

/// A reset on one side of a stream reaches the other side as a reset, not as a regular end of
/// stream, which would claim that all bytes were delivered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resets_are_forwarded_as_resets() {
    let (listener, target) = listener().await;
    let proxy = FaultProxy::new(3);
    let proxy_address = proxy.proxy_tcp(A, B, target).await.unwrap();
    let (mut client, server) = connect(&listener, proxy_address).await;
    server.set_zero_linger().unwrap();
    drop(server);
    let read_result = timeout(TIMEOUT, client.read(&mut [0; 8]))
        .await
        .expect("the read ends before the time-out");
    assert!(read_result.is_err(), "{read_result:?}");
    let (mut client, mut server) = connect(&listener, proxy_address).await;
    client.write_all(b"before").await.unwrap();
    assert_eq!(read(&mut server, 6).await, b"before");
    proxy.reset_streams(A, B);
    assert!(
        timeout(TIMEOUT, client.read(&mut [0; 8]))
            .await
            .expect("the reset arrives")
            .is_err()
    );
    assert!(
        timeout(TIMEOUT, server.read(&mut [0; 8]))
            .await
            .expect("the reset arrives")
            .is_err()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delay_and_bandwidth_apply_to_their_own_direction() {
    let (listener, target) = listener().await;
    let proxy = FaultProxy::new(3);
    let proxy_address = proxy.proxy_tcp(A, B, target).await.unwrap();
    let (mut client, mut server) = connect(&listener, proxy_address).await;
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
    client.write_all(b"there").await.unwrap();
    read(&mut server, 5).await;
    assert!(began.elapsed() >= Duration::from_millis(60));
    let began = Instant::now();
    server.write_all(&[0; 20_000]).await.unwrap();
    read(&mut client, 20_000).await;
    assert!(
        began.elapsed() >= Duration::from_millis(195),
        "{:?}",
        began.elapsed()
    );
}

/// UDP sockets of two nodes, and the proxy addresses at which the nodes reach each other.
struct UdpPair {
    proxy: FaultProxy,
    first_socket: UdpSocket,
    second_socket: UdpSocket,
    first_proxy_address: SocketAddr,
    second_proxy_address: SocketAddr,
}

impl UdpPair {
    async fn new() -> Self {
        let first_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let second_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let proxy = FaultProxy::new(3);
        let first_node = (A, first_socket.local_addr().unwrap());
        let second_node = (B, second_socket.local_addr().unwrap());
        let (first_proxy_address, second_proxy_address) =
            proxy.proxy_udp(first_node, second_node).await.unwrap();
        Self {
            proxy,
            first_socket,
            second_socket,
            first_proxy_address,
            second_proxy_address,
        }
    }
}

/// Receives the next datagram and the address of its sender.
async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let received = timeout(TIMEOUT, socket.recv_from(&mut buffer)).await;
    let (length, from) = received.expect("a datagram arrives").unwrap();
    (buffer[..length].to_vec(), from)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn datagrams_arrive_from_the_reply_address() {
    let pair = UdpPair::new().await;
    pair.first_socket
        .send_to(b"one", pair.first_proxy_address)
        .await
        .unwrap();
    let (datagram, from) = receive(&pair.second_socket).await;
    assert_eq!(
        (&datagram[..], from),
        (&b"one"[..], pair.second_proxy_address)
    );
    pair.second_socket.send_to(b"other", from).await.unwrap();
    let (datagram, from) = receive(&pair.first_socket).await;
    assert_eq!(
        (&datagram[..], from),
        (&b"other"[..], pair.first_proxy_address)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_way_partition_drops_datagrams_in_one_direction() {
    let pair = UdpPair::new().await;
    pair.proxy.set_conditions(A, B, partitioned());
    pair.first_socket
        .send_to(b"lost", pair.first_proxy_address)
        .await
        .unwrap();
    let reply = b"not lost";
    pair.second_socket
        .send_to(reply, pair.second_proxy_address)
        .await
        .unwrap();
    assert_eq!(receive(&pair.first_socket).await.0, reply);
    let duplicating = LinkConditions {
        duplication: 1.0,
        ..LinkConditions::default()
    };
    pair.proxy.set_conditions(A, B, duplicating);
    pair.first_socket
        .send_to(b"twice", pair.first_proxy_address)
        .await
        .unwrap();
    for _ in 0..2 {
        assert_eq!(receive(&pair.second_socket).await.0, b"twice");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn datagrams_from_unknown_senders_are_ignored() {
    let pair = UdpPair::new().await;
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    unknown_sender
        .send_to(b"stranger", pair.first_proxy_address)
        .await
        .unwrap();
    pair.first_socket
        .send_to(b"known", pair.first_proxy_address)
        .await
        .unwrap();
    assert_eq!(receive(&pair.second_socket).await.0, b"known");
}
