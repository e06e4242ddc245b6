//! Binding of the member's address for datagrams and streams.

use crate::log::LogSink;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;
use tokio::time::sleep;
use woadstall_socket_options::{set_receive_buffer, set_reuse_address};

/// Receive buffer size for datagrams in bytes, large enough for simultaneous answers of a whole
/// fleet.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;
/// Backlog of streams that the system holds until they are accepted.
const BACKLOG: i32 = 128;
/// Interval between attempts to bind an address that another process holds, as a predecessor does
/// during an upgrade.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The sockets of a member, which share one port.
pub struct Sockets {
    /// Socket for datagrams.
    pub datagrams: UdpSocket,
    /// Listener for streams.
    pub streams: TcpListener,
    /// Address to which both sockets are bound.
    pub address: SocketAddr,
}

impl Sockets {
    /// Binds both sockets to the same address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, for example if another process holds the address.
    pub fn bind(listen: SocketAddr) -> io::Result<Self> {
        let domain = Domain::for_address(listen);
        let streams = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
        set_reuse_address(&streams);
        streams.set_nonblocking(true)?;
        streams.bind(&listen.into())?;
        streams.listen(BACKLOG)?;
        let streams = TcpListener::from(streams);
        let address = streams.local_addr()?;
        let datagrams = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
        set_receive_buffer(&datagrams, RECEIVE_BUFFER_BYTES);
        datagrams.set_nonblocking(true)?;
        datagrams.bind(&address.into())?;
        Ok(Self {
            datagrams: datagrams.into(),
            streams,
            address,
        })
    }

    /// Binds both sockets once the process that holds the address has ended.
    pub async fn bind_when_free(listen: SocketAddr, log: &LogSink) -> Self {
        let mut is_logged = false;
        loop {
            sleep(BIND_RETRY_INTERVAL).await;
            match Self::bind(listen) {
                Ok(sockets) => return sockets,
                Err(error) if error.kind() != io::ErrorKind::AddrInUse && !is_logged => {
                    is_logged = true;
                    log(format_args!(
                        "membership: bind failed listen={listen} error=\"{error}\""
                    ));
                }
                Err(_) => {}
            }
        }
    }
}
