//! The wire protocol between the processes of the control plane: typed packets in the binary
//! encoding of `nanoserde`, sent in frames with a version, a length and a checksum.

mod frame;
mod packet;

pub use frame::{
    HEADER_BYTES, MAX_FRAME_BYTES, VERSION, WireError, decode_frame, decode_split_frame,
    encode_frame, payload_length,
};
pub use packet::{CallId, MachineInfo, Packet, Renewal, SubscribeRequest, ZoneBalancers};
pub use woadstall_consensus::LeaderTime;
