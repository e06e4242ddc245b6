//! Membership among balancers, as the operators' file has it. Absent there, nothing of it is started.

use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use woadstall_membership::{Name, Settings};
use woadstall_membership_net::{Membership, MembershipConfig};
use woadstall_operator_config::{EvacuationConfig, MAX_FILE_BYTES, OperatorConfig};

/// How often the calls' thread says that it goes on. The member stands still a second after it last did.
const BEAT: Duration = Duration::from_millis(200);

/// Reads the operators' file for a balancer of this zone and name, as far as it was told them. The error is one line
/// that names the field.
pub fn read(
    path: &Path,
    zone: Option<&str>,
    name: Option<&str>,
) -> Result<(Option<MembershipConfig>, Option<EvacuationConfig>), String> {
    let mut text = String::new();
    let file = File::open(path).map_err(|error| error.to_string())?;
    file.take(MAX_FILE_BYTES as u64 + 1)
        .read_to_string(&mut text)
        .map_err(|error| error.to_string())?;
    let operator = OperatorConfig::parse(&text).map_err(|error| error.to_string())?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let setup = operator
        .membership
        .map(|file| setup(file, folder, zone, name))
        .transpose()?;
    Ok((setup, operator.evacuation))
}

fn setup(
    file: woadstall_operator_config::MembershipConfig,
    folder: &Path,
    zone: Option<&str>,
    name: Option<&str>,
) -> Result<MembershipConfig, String> {
    let named = |field: &str, text: &str| {
        Name::new(text).map_err(|error| format!("`instances.{field}` {text:?}: {error}"))
    };
    let at = file.advertise.unwrap_or(file.listen).to_string();
    let name = named("name", file.name.as_deref().or(name).unwrap_or(&at))?;
    let zone = file
        .zone
        .as_deref()
        .or(zone)
        .ok_or("`instances.zone` is missing")?;
    let millis = Duration::from_millis;
    let setup = MembershipConfig {
        name,
        zone: named("zone", zone)?,
        region: file
            .region
            .as_deref()
            .map(|region| named("region", region))
            .transpose()?,
        listen: file.listen,
        advertise: file.advertise,
        seeds: file.seeds,
        // Beside the file that names them, unless they say where.
        seeds_file: file.seeds_file.map(|path| folder.join(path)),
        key_file: file.key_file.map(|path| folder.join(path)),
        insecure: file.insecure,
        settings: Settings {
            probe_interval: millis(file.probe_period_ms),
            probe_timeout: millis(file.probe_timeout_ms),
            suspicion_timeout: millis(file.suspicion_timeout_ms),
            pause_threshold: millis(file.probe_period_ms.saturating_mul(2).max(1_000)),
            refusal_timeout: millis(file.suspicion_timeout_ms.min(1_000)),
            ..Settings::default()
        },
    };
    setup
        .check()
        .map_err(|error| format!("`instances`: {error}"))?;
    Ok(setup)
}

/// Starts it, and has it told that calls go on for as long as they do.
pub fn start(setup: MembershipConfig) -> Result<Membership, String> {
    let instances =
        Membership::start(setup, Arc::new(super::log)).map_err(|e| format!("instances: {e}"))?;
    let heartbeats = instances.clone();
    tokio::spawn(async move {
        loop {
            heartbeats.heartbeat();
            sleep(BEAT).await;
        }
    });
    Ok(instances)
}

/// Whether what it names, too, is sound.
pub fn check(path: &Path) -> Result<(), String> {
    // The zone may be the configuration's.
    let (setup, _) = read(path, Some("zone"), None)?;
    let files = |setup: MembershipConfig| {
        setup
            .load_keys()
            .and_then(|_| setup.load_seeds())
            .map(|_: Vec<SocketAddr>| ())
    };
    setup.map_or(Ok(()), |setup| {
        files(setup).map_err(|error| format!("`instances`: {error}"))
    })
}
