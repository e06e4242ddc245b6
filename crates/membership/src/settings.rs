//! Time-outs and limits of the protocol.

use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Maximum number of relays per probe.
const MAX_INDIRECT_PROBES: usize = 16;
/// Valid range of the multipliers.
const MULTIPLIER_RANGE: RangeInclusive<f64> = 1.0..=100.0;
/// Valid range of the probe interval.
const PROBE_INTERVAL_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(10)..=Duration::from_secs(60);
/// Valid range of the datagram size limit in bytes.
const DATAGRAM_BYTES_RANGE: RangeInclusive<usize> = 512..=65_000;
/// Valid range of the maximum number of members.
const MAX_MEMBERS_RANGE: RangeInclusive<usize> = 2..=100_000;

/// Time-outs and limits of the protocol. Some settings have other names in the operators'
/// configuration file; the messages of [`SettingsError`] use the latter names.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Interval between the starts of two probes (`period` in the configuration file).
    pub probe_interval: Duration,
    /// Time after which an unanswered direct probe is sent through relays (`patience` in the
    /// configuration file).
    pub probe_timeout: Duration,
    /// Number of relays that are asked to probe an unresponsive member.
    pub indirect_probes: usize,
    /// Minimum duration of a suspicion, multiplied by the decimal logarithm of the fleet size if
    /// that exceeds 1 (`suspicion` in the configuration file). The duration should exceed the
    /// process pauses that members are expected to survive.
    pub suspicion_timeout: Duration,
    /// Duration of a suspicion of a member whose host refuses connections.
    pub refusal_timeout: Duration,
    /// Factor by which a suspicion without confirmations lasts longer.
    pub unconfirmed_multiplier: f64,
    /// Number of confirmations that reduce a suspicion to its minimum duration.
    pub confirmations: usize,
    /// Delay of the local member's own tick beyond which the process counts as paused.
    pub pause_threshold: Duration,
    /// Maximum length of a datagram in bytes.
    pub max_datagram_bytes: usize,
    /// Number of transmissions of an update, as a multiple of the decimal logarithm of the fleet
    /// size.
    pub retransmit_multiplier: f64,
    /// Time for which dead members and members that left are remembered.
    pub member_retention: Duration,
    /// Mean interval between two anti-entropy exchanges.
    pub sync_interval: Duration,
    /// Maximum number of known members. Updates of further members are counted and dropped.
    pub max_members: usize,
    /// Maximum number of records of all owners together.
    pub max_records: usize,
    /// Maximum number of records of a single owner.
    pub max_records_per_owner: usize,
    /// Maximum length of a record's value in bytes.
    pub max_record_bytes: usize,
    /// Maximum rate at which records are sent, in bytes per second.
    pub record_bytes_per_second: u32,
    /// Time for which records are kept after the death or leave of their owner.
    pub record_retention: Duration,
    /// Runs the original SWIM protocol for comparison: without local health, dynamic suspicion
    /// time-outs, path directions and deferred verdicts.
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

/// The invalid setting and the reason, under the name in the operators' configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// [`Settings::probe_interval`] is out of range.
    #[error("`period` is not from 10 ms to 60 s")]
    ProbeInterval,
    /// [`Settings::probe_timeout`] leaves no time for indirect probes.
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
    /// [`Settings::max_record_bytes`] leaves no room for other parts of a datagram.
    #[error("`fact-bytes` is over half of `datagram`")]
    RecordBytes,
    /// [`Settings::max_members`] or [`Settings::indirect_probes`] is out of range.
    #[error("`members` is not from 2 to 100,000, or `helpers` over 16")]
    Members,
}

impl Settings {
    /// Checks that all settings are in range and consistent with each other.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_timeouts()?;
        self.check_limits()
    }

    fn check_timeouts(&self) -> Result<(), SettingsError> {
        if !PROBE_INTERVAL_RANGE.contains(&self.probe_interval) {
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
            .all(|multiplier| MULTIPLIER_RANGE.contains(multiplier))
        {
            return Err(SettingsError::Multipliers);
        }
        if !DATAGRAM_BYTES_RANGE.contains(&self.max_datagram_bytes) {
            return Err(SettingsError::DatagramBytes);
        }
        if self.max_record_bytes > self.max_datagram_bytes / 2 {
            return Err(SettingsError::RecordBytes);
        }
        if !MAX_MEMBERS_RANGE.contains(&self.max_members)
            || self.indirect_probes > MAX_INDIRECT_PROBES
        {
            return Err(SettingsError::Members);
        }
        Ok(())
    }
}
