//! The interface of the decisions: their settings, events and actions.
//!
//! Nothing here decides anything and nothing here knows a wire format. All times are nanoseconds of
//! one monotonic clock; where it starts does not matter.

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

/// A point on the clock, in nanoseconds.
pub type Time = u64;
/// A length of time, in nanoseconds.
pub type Duration = u64;
