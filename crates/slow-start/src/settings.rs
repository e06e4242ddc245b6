//! How fast a pace grows, and how long what was leased holds.

use std::fmt;
use woadstall_decisions::api::Duration;

const MS: Duration = 1_000_000;

/// See the fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// What came of calls is counted over this time, in nanoseconds; a pace changes once in it.
    pub window: Duration,
    /// A sender may send so many times what it had answered in time in the last window.
    pub growth: f64,
    /// Part of the answers that may be late; beyond it a pace shrinks instead.
    pub late: f64,
    /// What a pace that shrinks is of what was answered in time.
    pub back: f64,
    /// Calls a second with which all senders together try what has proven nothing.
    pub trying: f64,
    /// A lease holds for so long from when it was given.
    pub lease: Duration,
    /// By so much longer its giver does without: the most by which a message's age may be wrong.
    pub margin: Duration,
    /// Each lease is of this many calls a second at least: less is not worth its bytes.
    pub least: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: 500 * MS,
            growth: 2.0,
            late: 0.3,
            back: 0.7,
            trying: 10.0,
            lease: 2_000 * MS,
            margin: 1_000 * MS,
            least: 0.5,
        }
    }
}

/// The field that is at fault, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(&'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Refuses what cannot work.
    pub fn check(&self) -> Result<(), SettingsError> {
        let wrong = |text| Err(SettingsError(text));
        if self.window == 0 || self.lease < self.window {
            return wrong(
                "`window` is 0, or longer than `lease`: a lease would be over before it was used",
            );
        }
        if !(1.0..=2.5).contains(&self.growth) {
            return wrong("`growth` is not from 1 to 2.5: more would push over what is cold");
        }
        if !(0.0..=1.0).contains(&self.late) || !(0.0..=1.0).contains(&self.back) {
            return wrong("`late` or `back` is not from 0 to 1");
        }
        if !self.trying.is_finite() || self.trying <= 0.0 {
            return wrong("`trying` is not over 0: nothing would ever be proven");
        }
        if !self.least.is_finite() || self.least < 0.0 {
            return wrong("`least` is under 0");
        }
        Ok(())
    }
}
