//! A listener whose incoming connections are not established until a test permits it.

use crate::http1::TEST_TIMEOUT;
use socket2::{Domain, SockAddr, Socket, Type};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Code of the state SYN_SENT in `/proc/net/tcp`.
const SYN_SENT: &str = "02";
/// Interval at which `/proc/net/tcp` and the listener are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of connections that fill the listener's backlog. It exceeds the number that the backlog holds.
const BACKLOG_CONNECTIONS: usize = 4;

/// A listener with a full backlog. The kernel drops further SYNs, which the connecting side retransmits after one
/// second.
pub struct StalledListener {
    listener: Socket,
    address: SocketAddr,
    backlog: Vec<Socket>,
}

impl StalledListener {
    /// Listens on a free loopback port and fills its backlog.
    pub fn start() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let backlog = (0..BACKLOG_CONNECTIONS)
            .map(|_| Self::connect_to_backlog(&address.into()))
            .collect();
        Self {
            listener,
            address,
            backlog,
        }
    }

    fn connect_to_backlog(address: &SockAddr) -> Socket {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        filler.set_nonblocking(true).unwrap();
        filler.connect(address).unwrap_or(());
        filler
    }

    /// The listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of sockets in the state SYN_SENT towards this listener, without the sockets that fill the backlog.
    fn connecting_sockets(&self) -> usize {
        let port = |address: &SocketAddr| format!(":{:04X}", address.port());
        let filler_ports: Vec<String> = self
            .backlog
            .iter()
            .map(|filler| port(&filler.local_addr().unwrap().as_socket().unwrap()))
            .collect();
        let sockets = fs::read_to_string("/proc/net/tcp").unwrap();
        let is_connecting = |line: &&str| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let [local, remote, state] = [fields[1], fields[2], fields[3]];
            remote.ends_with(&port(&self.address))
                && state == SYN_SENT
                && !filler_ports
                    .iter()
                    .any(|port| local.ends_with(port.as_str()))
        };
        sockets.lines().skip(1).filter(is_connecting).count()
    }

    /// Waits until a socket is connecting to this listener.
    pub fn wait_until_connecting(&self) {
        self.wait_until("no socket is connecting", TEST_TIMEOUT, || {
            self.connecting_sockets() > 0
        });
    }

    /// Waits until no socket is connecting to this listener. Panics after `timeout`.
    pub fn wait_until_connect_abandoned(&self, timeout: Duration) {
        self.wait_until("a socket is still connecting", timeout, || {
            self.connecting_sockets() == 0
        });
    }

    fn wait_until(&self, failure: &str, timeout: Duration, holds: impl Fn() -> bool) {
        let began = Instant::now();
        while !holds() {
            assert!(began.elapsed() < timeout, "{failure}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Empties the backlog, and accepts the next connection that the listener did not open itself; `None` if there is
    /// none within `timeout`.
    pub fn accept(&mut self, timeout: Duration) -> Option<TcpStream> {
        let filler_addresses: Vec<SockAddr> = self
            .backlog
            .drain(..)
            .map(|filler| filler.local_addr().unwrap())
            .collect();
        self.listener.set_nonblocking(true).unwrap();
        let began = Instant::now();
        while began.elapsed() < timeout {
            match self.listener.accept() {
                Ok((stream, peer))
                    if !filler_addresses
                        .iter()
                        .any(|filler| filler.as_socket() == peer.as_socket()) =>
                {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                    return Some(stream.into());
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    std::thread::sleep(POLL_INTERVAL)
                }
                Err(error) => panic!("{error}"),
            }
        }
        None
    }
}
