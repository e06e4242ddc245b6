//! Who of the balancers is there, through pauses, lost messages and ways that are cut on one side; and small facts
//! that all of them are told.
//!
//! SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnations, Lifeguard's three parts (Dadgar, Phillips, Currey
//! 2017), and on top: helpers from several zones, the two directions between members told apart, and no deaths where a
//! third of the fleet vanishes at once or this member has reason to doubt itself. Nothing here does input or output or
//! reads a clock: [`Node`] is handed times in nanoseconds of one clock that does not go back, datagrams and a seed. The
//! design, with what was considered, is in `docs/membership.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod card;
mod claim;
mod cuts;
mod facts;
mod health;
mod judge;
mod member;
pub mod message;
mod node;
mod probe;
mod reach;
mod settings;
mod spread;
mod state;
mod suspicion;
mod view;

pub use card::{Generation, MemberMetadata, Name, NameError};
pub use claim::{MemberState, MemberStatus};
pub use cuts::{PARTITIONS_KEY, PathCounts};
pub use facts::{PublishError, Record};
pub use message::{Message, MessageError};
pub use node::{Counters, Event, Node, OutgoingMessage};
pub use reach::PathState;
pub use settings::{Settings, SettingsError};
pub use view::{Confidence, FleetSize, Observation, Verdict};
