//! The operators' file as the daemon takes it: membership among balancers, and evacuation.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;
use woadstall_membership::{Name, NameError, Settings};
use woadstall_membership_net::MembershipConfig;
use woadstall_operator_config::{EvacuationConfig, MAX_FILE_BYTES, OperatorConfig};

/// Shortest pause of the process after which the member does not trust its own observations.
const MIN_PAUSE_THRESHOLD_MS: u64 = 1_000;
/// Longest time that a refused connection is taken into account.
const MAX_REFUSAL_TIMEOUT_MS: u64 = 1_000;
/// Stands for the zone of the configuration where that is not known.
const PLACEHOLDER_ZONE: &str = "zone";

/// What is wrong with an operators' file, in one line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// It cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// Its text is not valid.
    #[error(transparent)]
    Invalid(#[from] woadstall_operator_config::ConfigError),
    /// A name is not one that a member can have.
    #[error("`instances.{field}` {text:?}: {source}")]
    InvalidName {
        /// The field.
        field: &'static str,
        /// Its value.
        text: String,
        /// What is wrong with it.
        source: NameError,
    },
    /// Neither the file nor the configuration names the zone.
    #[error("`instances.zone` is missing")]
    MissingZone,
    /// The membership cannot run so, or the files that it names cannot be read.
    #[error("`instances`: {0}")]
    Membership(#[from] woadstall_membership_net::ConfigError),
}

/// What the daemon takes of an operators' file.
pub struct OperatorFile {
    /// Membership among balancers, where the file has it.
    pub membership: Option<MembershipConfig>,
    /// Evacuation, where the file has it.
    pub evacuation: Option<EvacuationConfig>,
}

impl OperatorFile {
    /// Reads the file for a balancer of this zone and name, as far as its configuration has them.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not valid.
    pub fn read(
        path: &Path,
        zone: Option<&str>,
        name: Option<&str>,
    ) -> Result<Self, OperatorFileError> {
        let mut text = String::new();
        File::open(path)?
            .take(MAX_FILE_BYTES as u64 + 1)
            .read_to_string(&mut text)?;
        let config = OperatorConfig::parse(&text)?;
        let directory = path.parent().unwrap_or(Path::new(""));
        let membership = config
            .membership
            .map(|section| membership_config(section, directory, zone, name))
            .transpose()?;
        Ok(Self {
            membership,
            evacuation: config.evacuation,
        })
    }

    /// Checks a file, and the files that it names.
    ///
    /// # Errors
    ///
    /// Fails if any of them cannot be read or is not valid.
    pub fn check(path: &Path) -> Result<(), OperatorFileError> {
        // The zone may be the configuration's.
        let file = Self::read(path, Some(PLACEHOLDER_ZONE), None)?;
        if let Some(membership) = file.membership {
            membership.load_keys()?;
            membership.load_seeds()?;
        }
        Ok(())
    }
}

fn membership_config(
    section: woadstall_operator_config::MembershipConfig,
    directory: &Path,
    zone: Option<&str>,
    name: Option<&str>,
) -> Result<MembershipConfig, OperatorFileError> {
    let address = section.advertise.unwrap_or(section.listen).to_string();
    let name = member_name("name", section.name.as_deref().or(name).unwrap_or(&address))?;
    let zone = section
        .zone
        .as_deref()
        .or(zone)
        .ok_or(OperatorFileError::MissingZone)?;
    let region = section
        .region
        .as_deref()
        .map(|region| member_name("region", region));
    let pause_threshold_ms = section
        .probe_period_ms
        .saturating_mul(2)
        .max(MIN_PAUSE_THRESHOLD_MS);
    let refusal_timeout_ms = section.suspicion_timeout_ms.min(MAX_REFUSAL_TIMEOUT_MS);
    let config = MembershipConfig {
        name,
        zone: member_name("zone", zone)?,
        region: region.transpose()?,
        listen: section.listen,
        advertise: section.advertise,
        seeds: section.seeds,
        // Beside the file that names them, unless they say where.
        seeds_file: section.seeds_file.map(|path| directory.join(path)),
        key_file: section.key_file.map(|path| directory.join(path)),
        insecure: section.insecure,
        settings: Settings {
            probe_interval: Duration::from_millis(section.probe_period_ms),
            probe_timeout: Duration::from_millis(section.probe_timeout_ms),
            suspicion_timeout: Duration::from_millis(section.suspicion_timeout_ms),
            pause_threshold: Duration::from_millis(pause_threshold_ms),
            refusal_timeout: Duration::from_millis(refusal_timeout_ms),
            ..Settings::default()
        },
    };
    config.check()?;
    Ok(config)
}

fn member_name(field: &'static str, text: &str) -> Result<Name, OperatorFileError> {
    Name::new(text).map_err(|source| OperatorFileError::InvalidName {
        field,
        text: text.to_owned(),
        source,
    })
}
