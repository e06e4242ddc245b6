//! Tests of connection states that cannot be observed through a peer.

use super::socket::Socket;
use super::*;
use crate::shared_stream::SharedStream;
use std::io::{Read, Write};
use std::net::TcpListener;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Returns an idle connection that has received a response, and the peer's end of it.
async fn used_connection(listener: &TcpListener) -> (Connection, std::net::TcpStream) {
    let address = listener.local_addr().unwrap();
    let peer = listener.try_clone().unwrap();
    let peer = tokio::task::spawn_blocking(move || {
        let mut stream = peer.accept().unwrap().0;
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            received.push(byte[0]);
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        stream
    });
    let request = Request::new(Bytes::new());
    let connection = Connection::open(address, Arc::default()).await.unwrap();
    let limits = SizeLimits {
        buffered: 1 << 10,
        max: 1 << 10,
    };
    let Exchange::Completed(completed) = exchange(request, connection, limits).await else {
        panic!("incomplete response")
    };
    (
        completed.connection.expect("a reusable connection"),
        peer.await.unwrap(),
    )
}

/// Guards against requests being written to a closed connection and lost: if the balancer is busy, some time passes
/// between the peer's close and the runtime's next poll of its sockets.
#[tokio::test]
async fn idle_connection_is_not_reusable_once_its_peer_has_closed_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, peer) = used_connection(&listener).await;
    assert!(connection.is_reusable());
    drop(peer);
    let started = Instant::now();
    while connection.is_reusable() {
        // Without an await, the runtime cannot report the close.
        assert!(started.elapsed() < Duration::from_secs(30));
    }
}

/// Guards against a request running twice: it may be retried as one that was not executed only if its last byte was not
/// written.
#[tokio::test]
async fn request_counts_as_written_once_its_last_byte_is() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let progress = Arc::<Progress>::default();
    let stream = SharedStream::new(tcp);
    let mut socket = Socket::new(stream, progress.clone(), Arc::default());
    let written = || progress.written.load(Ordering::Relaxed);
    socket.write_all(b"head").await.unwrap();
    assert!(!written(), "the body has not been taken yet");
    progress.body_taken.store(true, Ordering::Relaxed);
    let written_bytes = socket.write(&vec![0; 64 << 20]).await.unwrap();
    assert!(
        written_bytes < 64 << 20 && !written(),
        "the socket buffers must not hold the whole body"
    );
    let mut peer = listener.accept().unwrap().0;
    std::thread::spawn(move || std::io::copy(&mut peer, &mut std::io::sink()));
    socket.write_all(b"the rest").await.unwrap();
    assert!(written());
}
