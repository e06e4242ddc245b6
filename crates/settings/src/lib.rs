//! Settings of the load balancer: their JSON form, and changes while requests are in flight.
//!
//! The platform writes the settings file of the daemon, and the owner of a service writes the settings file of a
//! plug-in. Times are in nanoseconds and rates in requests per second. This crate only reads and combines settings;
//! the decision module acts on them.

mod active;
mod error;
mod json;
mod names;

pub use active::{ActiveSettings, MAX_CLASSES, SettingsChange};
pub use error::{ChangeError, ParseError};
pub use json::parse_settings;
pub use names::{Names, parse_names};
