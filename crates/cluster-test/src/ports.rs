//! Addresses and ports of the balancer processes.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;

/// Purpose of a balancer's port. The value is the lower end of the range of [`CANDIDATE_PORTS`] ports to try. The ranges
/// lie below the ephemeral ports of the system, since an outgoing connection could take an ephemeral port while the
/// balancer's process is stopped.
#[derive(Clone, Copy, Debug)]
pub enum PortPurpose {
    /// Requests of callers.
    Calls = 20_000,
    /// The operators' interface.
    Operators = 22_000,
    /// The membership protocol.
    Members = 24_000,
}

/// Number of ports to try for each purpose.
const CANDIDATE_PORTS: u16 = 1_000;

/// Returns a free listen address for the requests of a balancer. Each balancer has its own loopback IP address.
///
/// # Errors
///
/// See [`free_port`].
pub async fn balancer_address(number: u32) -> io::Result<SocketAddr> {
    let [_, _, high, low] = number.to_be_bytes();
    // Concurrent runs on one machine use different IP addresses, so that no other run takes a free port before the
    // balancer binds it.
    let run_octet = 80 + (std::process::id() % 170) as u8;
    let ip = Ipv4Addr::new(127, run_octet, high, low.wrapping_add(1));
    free_port(IpAddr::V4(ip), PortPurpose::Calls).await
}

/// Returns an address with a free port at an IP address.
///
/// # Errors
///
/// If no port is free, or the address cannot be bound for another reason.
pub async fn free_port(ip: IpAddr, purpose: PortPurpose) -> io::Result<SocketAddr> {
    let first_port = purpose as u16 + (std::process::id() % u32::from(CANDIDATE_PORTS)) as u16;
    for port in first_port..first_port + CANDIDATE_PORTS {
        match TcpListener::bind((ip, port)).await {
            Ok(listener) => return listener.local_addr(),
            Err(error) if error.kind() != io::ErrorKind::AddrInUse => return Err(error),
            Err(_) => {}
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
