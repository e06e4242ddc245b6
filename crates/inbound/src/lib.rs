//! Sockets of clients, shared by the balancer and the system's front: a gate that passes on one request at a time,
//! connections that are closed without losing what was written last, and the memory of request bodies.

mod body_memory;
mod connection_state;
mod lingering;
mod listen;
mod request_gate;
mod request_head;

pub use body_memory::BodyMemory;
pub use connection_state::ConnectionState;
pub use lingering::LingeringConnections;
pub use listen::listen;
pub use request_gate::RequestGate;
pub use request_head::MAX_HEAD_BYTES;
pub use woadstall_transport::lock;
