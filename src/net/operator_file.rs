//! The daemon's part of the operator file: membership among load balancers, and evacuation.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;
use woadstall_membership::{Name, NameError, Settings};
use woadstall_membership_net::MembershipConfig;
use woadstall_operator_config::{EvacuationConfig, MAX_FILE_BYTES, OperatorConfig};

/// Minimum duration of a process pause after which the member disregards its own observations.
const MIN_PAUSE_THRESHOLD_MS: u64 = 1_000;
/// Maximum time for which a refused connection is taken into account.
const MAX_REFUSAL_TIMEOUT_MS: u64 = 1_000;
/// Placeholder for the configuration's zone while an operator file is checked on its own.
const PLACEHOLDER_ZONE: &str = "zone";

/// The error of an invalid operator file. The message is a single line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The text of the file is invalid.
    #[error(transparent)]
    Invalid(#[from] woadstall_operator_config::ConfigError),
    /// A name is not valid for a member, zone or region.
    #[error("`instances.{field}` {text:?}: {source}")]
    InvalidName {
        /// Key of the name.
        field: &'static str,
        /// The configured value.
        text: String,
        /// The violated rule.
        source: NameError,
    },
    /// Neither the operator file nor the configuration contains the zone.
    #[error("`instances.zone` is missing")]
    MissingZone,
    /// The membership section is inconsistent, or its key or seeds file cannot be read.
    #[error("`instances`: {0}")]
    Membership(#[from] woadstall_membership_net::ConfigError),
}

/// The sections of an operator file that the daemon uses.
pub struct OperatorFile {
    /// Configuration of the membership among load balancers; `None` without an `[instances]` section.
    pub membership: Option<MembershipConfig>,
    /// Configuration of evacuation; `None` without an `[evacuation]` section.
    pub evacuation: Option<EvacuationConfig>,
}

impl OperatorFile {
    /// Reads an operator file. `zone` and `name` come from the load balancer's configuration and are used if the file
    /// does not contain them.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is invalid.
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

    /// Checks an operator file and the key and seeds files that it refers to.
    ///
    /// # Errors
    ///
    /// Fails if any of these files cannot be read or is invalid.
    pub fn check(path: &Path) -> Result<(), OperatorFileError> {
        // A file without a zone is valid, since the configuration may contain the zone.
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
        // Relative paths are resolved against the directory of the operator file.
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
