//! Cluster membership by gossip, without I/O. Failure detection tolerates process pauses, lost
//! messages and one-way partitions. Each member can also publish small records to all other
//! members.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnation numbers, the
//! three parts of Lifeguard (Dadgar, Phillips, Currey 2017), and three additions. Indirect probes
//! go through relays in several zones. The two directions between a pair of members are tracked
//! separately. No member is declared dead while a third of the fleet vanishes at once or while the
//! local member doubts its own health.
//!
//! [`Node`] is a state machine. The caller passes in datagrams, a random seed and times in
//! nanoseconds of one monotonic clock; the node returns messages and events. The design and its
//! alternatives are in `docs/membership.md`.
//!
//! | module | owns |
//! |---|---|
//! | `metadata` | names, generations and constant attributes of members |
//! | `status` | statuses of members and their total order |
//! | `message` | the messages and their encoding |
//! | `member`, `paths`, `suspicion` | the state kept for one other member |
//! | `records` | the published records |
//! | `gossip_queue` | updates to piggyback on messages |
//! | `local_health` | Lifeguard's local health |
//! | `probe` | probes in flight, own and relayed |
//! | `node` | the state machine, with one submodule per protocol concern |
//! | `view`, `event` | conclusions and events for callers |
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
