//! Client connections of the daemon and of the node's front: a gate that passes one request at a time to hyper, the state
//! of a connection from the beginning of a request to the end of its response, a lingering close that keeps the last
//! response from being lost, and the memory accounting of request bodies.

mod body_memory;
mod connection_state;
mod lingering;
mod listen;
mod read_body;
mod request_gate;
mod request_head;
mod request_stage;
mod tracked_body;

pub use body_memory::{BodyBudget, BodyMemory};
pub use connection_state::ConnectionState;
pub use lingering::LingeringConnections;
pub use listen::{close_listener, listen};
pub use read_body::{BodyBuffer, ReadBodyError, read_body};
pub use request_gate::RequestGate;
pub use request_head::MAX_HEAD_BYTES;
pub use request_stage::RequestStage;
pub use tracked_body::TrackedBody;
pub use woadstall_transport::lock;
