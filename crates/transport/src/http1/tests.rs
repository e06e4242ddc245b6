//! Tests of what no peer can see.

use super::connection::{Progress, Socket};
use super::*;
use crate::stream::SharedStream;
use std::io::{Read, Write};
use std::net::TcpListener;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A connection that has had an answer, and its peer.
async fn used(listener: &TcpListener) -> (Connection, std::net::TcpStream) {
    let address = listener.local_addr().unwrap();
    let peer = listener.try_clone().unwrap();
    let peer = tokio::task::spawn_blocking(move || {
        let mut stream = peer.accept().unwrap().0;
        let mut got = Vec::new();
        while !got.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            got.push(byte[0]);
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        stream
    });
    let request = Request::new(Bytes::new());
    let connection = Connection::open(address, Arc::default()).await.unwrap();
    let sizes = Sizes {
        whole: 1 << 10,
        most: 1 << 10,
    };
    let Exchanged::Finished(finished) = exchange(request, connection, sizes).await else {
        panic!("an answer that goes on")
    };
    (
        finished.connection.expect("a connection to use again"),
        peer.await.unwrap(),
    )
}

/// Guards against a balancer that is held up: between the end of an idle connection and the runtime's
/// next look at its sockets, work would be written to it and lost.
#[tokio::test]
async fn an_end_shows_before_the_runtime_has_heard_of_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, peer) = used(&listener).await;
    assert!(connection.is_quiet());
    drop(peer);
    let asked = Instant::now();
    while connection.is_quiet() {
        assert!(asked.elapsed() < Duration::from_secs(30)); // no await: the runtime hears of nothing
    }
}

/// Guards rule 2: only a request whose last byte was not written is known not to have run.
#[tokio::test]
async fn written_is_what_has_left_to_the_last_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let progress = Arc::<Progress>::default();
    let stream = SharedStream::new(tcp).unwrap();
    let mut socket = Socket::new(stream, progress.clone(), Arc::default());
    let written = || progress.written.load(Ordering::Relaxed);
    socket.write_all(b"head").await.unwrap();
    assert!(!written(), "the body is still to come");
    progress.body_taken.store(true, Ordering::Relaxed);
    let most = socket.write(&vec![0; 64 << 20]).await.unwrap();
    assert!(
        most < 64 << 20 && !written(),
        "the peer's buffer holds a part only"
    );
    let mut peer = listener.accept().unwrap().0;
    std::thread::spawn(move || std::io::copy(&mut peer, &mut std::io::sink()));
    socket.write_all(b"the rest").await.unwrap();
    assert!(written());
}
