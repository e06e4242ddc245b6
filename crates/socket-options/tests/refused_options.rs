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
struct StoringLogger {
    lines: Mutex<Vec<String>>,
}

static LOGGER: StoringLogger = StoringLogger {
    lines: Mutex::new(Vec::new()),
};

impl Log for StoringLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.lines.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// A single test covers all options, since failure counts and the logger are shared by the whole process.
#[test]
fn a_refused_option_is_counted_logged_once_and_leaves_the_socket_usable() {
    log::set_logger(&LOGGER).unwrap();
    log::set_max_level(LevelFilter::Warn);

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp_stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    set_nodelay(&tcp_stream);
    set_receive_buffer(&tcp_stream, 1 << 16);
    set_reuse_address(&tcp_stream);
    set_reuse_port(&tcp_stream);
    enable_dead_peer_detection(&tcp_stream, Duration::from_secs(2));
    assert!(tcp_stream.nodelay().unwrap());
    for option in SocketOption::ALL {
        assert_eq!(failures(option), 0, "{option:?}");
    }
    assert!(LOGGER.lines.lock().unwrap().is_empty());

    let (mut unix_stream, mut peer) = UnixStream::pair().unwrap();
    for _ in 0..3 {
        set_nodelay(&unix_stream);
        enable_dead_peer_detection(&unix_stream, Duration::from_secs(2));
    }
    assert_eq!(failures(SocketOption::NoDelay), 3);
    assert_eq!(failures(SocketOption::UserTimeout), 3);
    let lines = LOGGER.lines.lock().unwrap().clone();
    let nodelay_lines: Vec<_> = lines
        .iter()
        .filter(|line| line.starts_with("socket_option_failed option=nodelay error=\""))
        .collect();
    assert_eq!(nodelay_lines.len(), 1, "{lines:?}");

    unix_stream.write_all(b"still usable").unwrap();
    let mut received = [0; 12];
    peer.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"still usable");
}

/// The names of the options serve as metric labels and must be unique.
#[test]
fn option_names_are_unique() {
    let names: std::collections::BTreeSet<_> = SocketOption::ALL
        .map(SocketOption::name)
        .into_iter()
        .collect();
    assert_eq!(names.len(), SocketOption::ALL.len());
}
