//! Addresses and ports for the processes of balancers.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;

/// FaultKind a port of a balancer is for. The value is the first of [`CANDIDATES`] ports that are tried. They lie under the
/// ephemeral ports of the system: an outgoing connection could take a port while the balancer's process is down.
#[derive(Clone, Copy, Debug)]
pub enum Port {
    /// Callers call it.
    Calls = 20_000,
    /// Operators call it.
    Operators = 22_000,
    /// Other balancers find it as a member.
    Members = 24_000,
}

/// How many ports are tried.
const CANDIDATES: u16 = 1_000;

/// A free address for the calls of a balancer, with an IP address of its own.
///
/// # Errors
///
/// As [`free_port`].
pub async fn balancer_address(number: u32) -> io::Result<SocketAddr> {
    let [_, _, high, low] = number.to_be_bytes();
    // Several runs on one machine have different ones, so that a free port stays free until it is taken.
    let run = 80 + (std::process::id() % 170) as u8;
    let ip = Ipv4Addr::new(127, run, high, low.wrapping_add(1));
    free_port(IpAddr::V4(ip), Port::Calls).await
}

/// A free port at an IP address.
///
/// # Errors
///
/// Where no port is free, or the address cannot be bound for another reason.
pub async fn free_port(ip: IpAddr, port: Port) -> io::Result<SocketAddr> {
    let first = port as u16 + (std::process::id() % u32::from(CANDIDATES)) as u16;
    for candidate in first..first + CANDIDATES {
        match TcpListener::bind((ip, candidate)).await {
            Ok(listener) => return listener.local_addr(),
            Err(error) if error.kind() != io::ErrorKind::AddrInUse => return Err(error),
            Err(_) => {}
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
