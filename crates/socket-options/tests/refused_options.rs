//! Tests options that the kernel refuses, by setting TCP options on Unix domain sockets.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::Mutex;
use std::time::Duration;
use woadstall_socket_options::{
    SocketOption, enable_dead_peer_detection, failures, set_nodelay, set_receive_buffer,
    set_reuse_address, set_reuse_port,
};

/// A logger that stores all log lines.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// A single test covers all options, since failure counts and the logger are shared by the whole process.
#[test]
fn a_refused_option_is_counted_logged_once_and_leaves_the_socket_usable() {
    log::set_logger(&LINES).unwrap();
    log::set_max_level(LevelFilter::Warn);

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    set_nodelay(&stream);
    set_receive_buffer(&stream, 1 << 16);
    set_reuse_address(&stream);
    set_reuse_port(&stream);
    enable_dead_peer_detection(&stream, Duration::from_secs(2));
    assert!(stream.nodelay().unwrap());
    for option in SocketOption::ALL {
        assert_eq!(failures(option), 0, "{option:?}");
    }
    assert!(LINES.0.lock().unwrap().is_empty());

    let (mut here, mut there) = UnixStream::pair().unwrap();
    for _ in 0..3 {
        set_nodelay(&here);
        enable_dead_peer_detection(&here, Duration::from_secs(2));
    }
    assert_eq!(failures(SocketOption::NoDelay), 3);
    assert_eq!(failures(SocketOption::UserTimeout), 3);
    let lines = LINES.0.lock().unwrap().clone();
    let nodelay_lines: Vec<_> = lines
        .iter()
        .filter(|line| line.starts_with("socket_option_failed option=nodelay error=\""))
        .collect();
    assert_eq!(nodelay_lines.len(), 1, "{lines:?}");

    here.write_all(b"still usable").unwrap();
    let mut received = [0; 12];
    there.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"still usable");
}

/// Names serve as metric labels and must be unique.
#[test]
fn names_differ() {
    let names: std::collections::BTreeSet<_> = SocketOption::ALL
        .map(SocketOption::name)
        .into_iter()
        .collect();
    assert_eq!(names.len(), SocketOption::ALL.len());
}
