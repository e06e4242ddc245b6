//! The settings of a deployment in their JSON form, as the platform writes them for the daemon and a service's owner
//! for a plug-in, and how they change while requests are in flight.
//!
//! Times are in nanoseconds, rates in requests a second. Nothing is decided here.

mod active;
mod error;
mod json;
mod names;

pub use active::{ActiveSettings, MAX_CLASSES, SettingsChange};
pub use error::{ChangeError, ParseError};
pub use json::parse_settings;
pub use names::{Names, parse_names};
