//! A listener whose connections are not established until a test allows it.

use crate::http1::TEST_TIMEOUT;
use socket2::{Domain, SockAddr, Socket, Type};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// State of a dialling socket in `/proc/net/tcp`.
const SYN_SENT: &str = "02";
/// How often `/proc/net/tcp` is polled.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Connections that fill the backlog of the listener: more than it accepts.
const FILLERS: usize = 4;

/// A listener with a full backlog: the kernel drops further SYNs, and the connecting side retransmits them after a second.
pub struct StalledListener {
    listener: Socket,
    address: SocketAddr,
    fillers: Vec<Socket>,
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
        let fillers = (0..FILLERS)
            .map(|_| Self::filler(&address.into()))
            .collect();
        Self {
            listener,
            address,
            fillers,
        }
    }

    fn filler(address: &SockAddr) -> Socket {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        filler.set_nonblocking(true).unwrap();
        filler.connect(address).unwrap_or(());
        filler
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sockets that are connecting now, without those that fill the backlog.
    fn dialling(&self) -> usize {
        let port = |address: &SocketAddr| format!(":{:04X}", address.port());
        let own: Vec<String> = self
            .fillers
            .iter()
            .map(|filler| port(&filler.local_addr().unwrap().as_socket().unwrap()))
            .collect();
        let sockets = fs::read_to_string("/proc/net/tcp").unwrap();
        let dials_it = |line: &&str| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let [local, remote, state] = [fields[1], fields[2], fields[3]];
            remote.ends_with(&port(&self.address))
                && state == SYN_SENT
                && !own.iter().any(|own| local.ends_with(own.as_str()))
        };
        sockets.lines().skip(1).filter(dials_it).count()
    }

    /// Waits until a connection is being established.
    pub fn wait_until_connecting(&self) {
        self.until("nobody dials", TEST_TIMEOUT, || self.dialling() > 0);
    }

    /// Waits until no connection is being established, at most `within`.
    pub fn wait_until_connect_abandoned(&self, within: Duration) {
        self.until("somebody still dials", within, || self.dialling() == 0);
    }

    fn until(&self, otherwise: &str, within: Duration, there: impl Fn() -> bool) {
        let began = Instant::now();
        while !there() {
            assert!(began.elapsed() < within, "{otherwise}");
            std::thread::sleep(LOOK_EVERY);
        }
    }

    /// Frees the backlog, and returns the next connection that is not one of its own; `None` if there is none within this
    /// time.
    pub fn accept(&mut self, within: Duration) -> Option<TcpStream> {
        let own: Vec<SockAddr> = self
            .fillers
            .drain(..)
            .map(|filler| filler.local_addr().unwrap())
            .collect();
        self.listener.set_nonblocking(true).unwrap();
        let began = Instant::now();
        while began.elapsed() < within {
            match self.listener.accept() {
                Ok((stream, peer))
                    if !own.iter().any(|own| own.as_socket() == peer.as_socket()) =>
                {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                    return Some(stream.into());
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    std::thread::sleep(LOOK_EVERY)
                }
                Err(error) => panic!("{error}"),
            }
        }
        None
    }
}
