//! The protocol's time-outs and limits.

use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// The most relays of a probe.
const MAX_INDIRECT_PROBES: usize = 16;
/// What a multiplier may be.
const MULTIPLIERS: RangeInclusive<f64> = 1.0..=100.0;
const PROBE_INTERVALS: RangeInclusive<Duration> =
    Duration::from_millis(10)..=Duration::from_secs(60);
/// Bytes that a datagram may be limited to.
const DATAGRAM_BYTES: RangeInclusive<usize> = 512..=65_000;
const MEMBERS: RangeInclusive<usize> = 2..=100_000;

/// The protocol's time-outs and limits. Operators know some of them by other names, which the
/// messages of [`SettingsError`] use.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time from one probe to the next (operators' `period`).
    pub probe_interval: Duration,
    /// Time after which an unanswered probe is sent through relays (operators' `patience`).
    pub probe_timeout: Duration,
    /// Relays that are asked to probe a member that does not answer.
    pub indirect_probes: usize,
    /// The shortest suspicion, multiplied by the decimal logarithm of the fleet's size where that
    /// is over 1 (operators' `suspicion`). Longer than the pauses that members are to survive.
    pub suspicion_timeout: Duration,
    /// How long a member is suspected whose host refuses connections.
    pub refusal_timeout: Duration,
    /// A suspicion that nobody confirms lasts this many times as long.
    pub unconfirmed_multiplier: f64,
    /// Confirmations that bring a suspicion down to its shortest.
    pub confirmations: usize,
    /// A member whose own tick comes later than this was paused.
    pub pause_threshold: Duration,
    /// The most bytes of a datagram.
    pub max_datagram_bytes: usize,
    /// An update is sent this many times the decimal logarithm of the fleet's size.
    pub retransmit_multiplier: f64,
    /// How long members that are dead or left are remembered.
    pub member_retention: Duration,
    /// Time from one anti-entropy exchange to the next.
    pub sync_interval: Duration,
    /// The most members that are known; updates of further ones are counted and dropped.
    pub max_members: usize,
    /// The most records of all owners together.
    pub max_records: usize,
    /// The most records of one owner.
    pub max_records_per_owner: usize,
    /// The most bytes of a record's value.
    pub max_record_bytes: usize,
    /// Bytes a second that are sent for records.
    pub record_bytes_per_second: u32,
    /// How long records outlive their owner.
    pub record_retention: Duration,
    /// SWIM as it was published, to compare with: no local health, suspicions of one length, no
    /// directions, and nothing that defers a verdict.
    pub plain_swim: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(200),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(6),
            refusal_timeout: Duration::from_secs(1),
            unconfirmed_multiplier: 2.0,
            confirmations: 3,
            pause_threshold: Duration::from_millis(1_000),
            max_datagram_bytes: 1_200,
            retransmit_multiplier: 4.0,
            member_retention: Duration::from_secs(600),
            sync_interval: Duration::from_secs(10),
            max_members: 4_096,
            max_records: 4_096,
            max_records_per_owner: 64,
            max_record_bytes: 256,
            record_bytes_per_second: 1_024,
            record_retention: Duration::from_secs(30),
            plain_swim: false,
        }
    }
}

/// The setting at fault, by the name that operators know, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// [`Settings::probe_interval`] is out of range.
    #[error("`period` is not from 10 ms to 60 s")]
    ProbeInterval,
    /// [`Settings::probe_timeout`] leaves no time for the relays.
    #[error("`patience` is zero, or over half of `period`: a probe has to be over before the next")]
    ProbeTimeout,
    /// [`Settings::suspicion_timeout`] is too short.
    #[error("`suspicion` is shorter than `period`: nobody could contradict it")]
    SuspicionTimeout,
    /// [`Settings::refusal_timeout`] is too long.
    #[error("`refused` is longer than `suspicion`")]
    RefusalTimeout,
    /// [`Settings::pause_threshold`] is too short.
    #[error("`stall` is shorter than `period`: each turn would look late")]
    PauseThreshold,
    /// [`Settings::unconfirmed_multiplier`] or [`Settings::retransmit_multiplier`] is out of range.
    #[error("`unconfirmed` or `spread` is not from 1 to 100")]
    Multipliers,
    /// [`Settings::max_datagram_bytes`] is out of range.
    #[error("`datagram` is not from 512 to 65,000 bytes")]
    DatagramBytes,
    /// [`Settings::max_record_bytes`] does not leave room in a datagram.
    #[error("`fact-bytes` is over half of `datagram`")]
    RecordBytes,
    /// [`Settings::max_members`] is out of range, or [`Settings::indirect_probes`] too many.
    #[error("`members` is not from 2 to 100,000, or `helpers` over 16")]
    Members,
}

impl Settings {
    /// Checks that the protocol can work with these settings.
    ///
    /// # Errors
    ///
    /// The first setting at fault.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_timeouts()?;
        self.check_limits()
    }

    fn check_timeouts(&self) -> Result<(), SettingsError> {
        if !PROBE_INTERVALS.contains(&self.probe_interval) {
            return Err(SettingsError::ProbeInterval);
        }
        if self.probe_timeout.is_zero() || self.probe_timeout * 2 > self.probe_interval {
            return Err(SettingsError::ProbeTimeout);
        }
        if self.suspicion_timeout < self.probe_interval {
            return Err(SettingsError::SuspicionTimeout);
        }
        if self.refusal_timeout > self.suspicion_timeout {
            return Err(SettingsError::RefusalTimeout);
        }
        if self.pause_threshold < self.probe_interval {
            return Err(SettingsError::PauseThreshold);
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        let multipliers = [self.unconfirmed_multiplier, self.retransmit_multiplier];
        if !multipliers
            .iter()
            .all(|multiplier| MULTIPLIERS.contains(multiplier))
        {
            return Err(SettingsError::Multipliers);
        }
        if !DATAGRAM_BYTES.contains(&self.max_datagram_bytes) {
            return Err(SettingsError::DatagramBytes);
        }
        if self.max_record_bytes > self.max_datagram_bytes / 2 {
            return Err(SettingsError::RecordBytes);
        }
        if !MEMBERS.contains(&self.max_members) || self.indirect_probes > MAX_INDIRECT_PROBES {
            return Err(SettingsError::Members);
        }
        Ok(())
    }
}
