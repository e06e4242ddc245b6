//! Cluster membership by gossip, without input or output: failure detection through pauses, lost
//! messages and one-way partitions, and small records that each member publishes to all others.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnations, the three parts
//! of Lifeguard (Dadgar, Phillips, Currey 2017), and three additions: indirect probes go through
//! several zones, the two directions between two members are told apart, and no member is declared
//! dead where a third of the fleet vanishes at once or the local member has reason to doubt itself.
//!
//! [`Node`] is a state machine: it is handed times in nanoseconds of one monotonic clock, datagrams
//! and a random seed, and gives back messages and events. The design, with the alternatives that
//! were considered, is in `docs/membership.md`.
//!
//! | module | owns |
//! |---|---|
//! | `metadata` | names, generations and what does not change about a member |
//! | `status` | the total order of what is said about a member |
//! | `message` | the messages and their encoding |
//! | `member`, `paths`, `suspicion` | what the node keeps of one other member |
//! | `records` | the published records |
//! | `gossip_queue` | what is still to be piggybacked, and how often |
//! | `local_health` | Lifeguard's local health |
//! | `probe` | probes in flight |
//! | `node` | the state machine, one protocol concern a submodule |
//! | `view`, `event` | what callers read |
mod event;
mod gossip_queue;
mod local_health;
mod member;
pub mod message;
mod metadata;
mod node;
mod paths;
mod probe;
mod records;
mod settings;
mod status;
mod suspicion;
mod time;
mod view;

pub use event::{Counters, Event, OutgoingMessage};
pub use message::{Message, MessageError};
pub use metadata::{Generation, MemberMetadata, Name, NameError};
pub use node::Node;
pub use node::partitions::{PARTITIONS_KEY, PathCounts};
pub use paths::PathState;
pub use records::{PublishError, Record};
pub use settings::{Settings, SettingsError};
pub use status::{MemberState, MemberStatus};
pub use time::Timestamp;
pub use view::{Confidence, FleetSize, Observation, Verdict};
