//! Interface of the decision module: settings, events and actions.
//!
//! These types contain no decision logic and depend on no wire format. All times are nanoseconds of
//! one monotonic clock with an arbitrary start.

mod action;
mod event;
mod ids;
mod learned;
mod server_list;
mod settings;

pub use action::Action;
pub use event::{
    AttemptEnd, Event, FailureDomain, HealthVerdict, LoadReport, Outcome, RequestParameters,
};
pub use ids::{RequestId, ServerId, ZoneId};
pub use learned::{LearnedLatency, LearnedServer, LearnedState};
pub use server_list::{Lifecycle, ServerEntry};
pub use settings::{Class, ClassSuccession, DedupScope, Effect, Settings, SettingsError, Tenant};

/// A point in time of the monotonic clock, in nanoseconds.
pub type Time = u64;
/// A length of time, in nanoseconds.
pub type Duration = u64;
