//! Durations as scenarios write them: a number with its unit, as in `"250 ms"` or `"1m 30s"`.

use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use std::fmt;
use woadstall_engine::Time;

/// Nanoseconds in a millisecond.
pub const MS: Time = 1_000_000;
/// Nanoseconds in a second.
pub const SECOND: Time = 1_000 * MS;
/// Longest duration in a scenario; a longer one is refused as a probable typing error.
const MAX_SPAN: Time = 7 * 24 * 3600 * SECOND;

/// A duration in nanoseconds, written with its unit in scenarios.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Time);

impl Span {
    /// Duration in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / SECOND as f64
    }

    /// Converts seconds; a negative value becomes 0.
    pub fn from_seconds(seconds: f64) -> Self {
        Self((seconds.max(0.0) * SECOND as f64) as Time)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = Span;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a time with its unit, such as \"250 ms\" or \"1m 30s\"")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Span, E> {
                let time = humantime::parse_duration(text).map_err(|error| {
                    E::custom(format!("{text:?} is no time with a unit: {error}"))
                })?;
                match Time::try_from(time.as_nanos()) {
                    Ok(nanos) if nanos <= MAX_SPAN => Ok(Span(nanos)),
                    _ => Err(E::custom(format!("{text:?} is longer than a week"))),
                }
            }
        }
        deserializer.deserialize_str(Text)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(
            std::time::Duration::from_nanos(self.0),
        ))
    }
}
