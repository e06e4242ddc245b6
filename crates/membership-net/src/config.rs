//! Configuration of a member, and the key and seed files that it names.

use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;
use woadstall_membership::{Name, Settings, SettingsError};
use woadstall_message_auth::{KeyFileError, KeyRing};

/// Maximum length of a key file or seeds file in bytes.
const MAX_FILE_BYTES: u64 = 64 << 10;
/// Maximum number of seeds, which bounds the requests sent while no member is known.
const MAX_SEEDS: usize = 64;
/// Character that begins a comment in a seeds file.
const COMMENT_MARKER: char = '#';

/// Configuration of a member. The fields are named as in the operators' configuration file.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Name of the member, unique in the fleet.
    pub name: Name,
    /// Availability zone of the member.
    pub zone: Name,
    /// Region of the zone, if the zone belongs to one.
    pub region: Option<Name>,
    /// Address to bind for datagrams and streams.
    pub listen: SocketAddr,
    /// Address at which other members reach this member, if different from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of members that are contacted while no member is known.
    pub seeds: Vec<SocketAddr>,
    /// File with further seeds, one address per line.
    pub seeds_file: Option<PathBuf>,
    /// File with the keys that the fleet shares.
    pub key_file: Option<PathBuf>,
    /// Whether the member may run without a key.
    pub insecure: bool,
    /// Time-outs and limits of the protocol.
    pub settings: Settings,
}

/// An invalid configuration, or an error in a file that the configuration names. The message is a
/// single line that names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A time-out or limit is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A key file is configured although the member may run without a key.
    #[error("`insecure` is true beside a `key_file`")]
    InsecureWithKey,
    /// No key file is configured although the member may not run without a key.
    #[error("`key_file` is missing, and `insecure` is not true")]
    NoKeyFile,
    /// The member listens on all addresses, and no address is configured for other members to use.
    #[error("`advertise` is missing, and `listen` is all addresses")]
    NoAdvertise,
    /// Other members cannot reach the configured address.
    #[error("`advertise` is no address at which it is found: {0}")]
    Advertise(SocketAddr),
    /// `seeds` lists too many addresses.
    #[error("`seeds` has more than {MAX_SEEDS}")]
    TooManySeeds,
    /// The key file cannot be read or is invalid.
    #[error("`key_file` {}: {source}", path.display())]
    KeyFile {
        /// Path of the file.
        path: PathBuf,
        /// The cause of the error.
        source: LoadKeysError,
    },
    /// The seeds file cannot be read or is invalid.
    #[error("`seeds_file` {}: {source}", path.display())]
    SeedsFile {
        /// Path of the file.
        path: PathBuf,
        /// The cause of the error.
        source: LoadSeedsError,
    },
}

/// An error in reading a key file.
#[derive(Debug, Error)]
pub enum LoadKeysError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] ReadFileError),
    /// The file holds no valid keys.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
}

/// An error in reading a seeds file.
#[derive(Debug, Error)]
pub enum LoadSeedsError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] ReadFileError),
    /// The line with this number, counted from 1, is not an address with a port.
    #[error("line {0}: not an address with a port")]
    Line(usize),
    /// The file and the configuration together list too many seeds.
    #[error("more than {MAX_SEEDS} with `seeds`")]
    TooMany,
}

/// The reason why a file cannot be read.
#[derive(Debug, Error)]
pub enum ReadFileError {
    /// Error of the operating system.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file exceeds the length limit.
    #[error("over {MAX_FILE_BYTES} bytes")]
    TooLong,
}

impl MembershipConfig {
    /// Checks that a member can run with this configuration, without reading any files.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.settings.check()?;
        match (self.insecure, self.key_file.is_some()) {
            (true, true) => return Err(ConfigError::InsecureWithKey),
            (false, false) => return Err(ConfigError::NoKeyFile),
            _ => {}
        }
        match self.advertise {
            None if self.listen.ip().is_unspecified() => return Err(ConfigError::NoAdvertise),
            Some(address) if address.ip().is_unspecified() || address.port() == 0 => {
                return Err(ConfigError::Advertise(address));
            }
            _ => {}
        }
        if self.seeds.len() > MAX_SEEDS {
            return Err(ConfigError::TooManySeeds);
        }
        Ok(())
    }

    /// Loads the keys of the key file, or `None` if no key file is configured.
    ///
    /// # Errors
    ///
    /// [`ConfigError::KeyFile`] if the file cannot be read or holds no valid keys.
    pub fn load_keys(&self) -> Result<Option<KeyRing>, ConfigError> {
        let Some(path) = &self.key_file else {
            return Ok(None);
        };
        let keys = load_keys(path).map_err(|source| ConfigError::KeyFile {
            path: path.clone(),
            source,
        })?;
        Ok(Some(keys))
    }

    /// Loads all seeds, including those of the seeds file.
    ///
    /// # Errors
    ///
    /// [`ConfigError::SeedsFile`] if the file cannot be read, a line is not an address, or there
    /// are too many seeds.
    pub fn load_seeds(&self) -> Result<Vec<SocketAddr>, ConfigError> {
        let mut seeds = self.seeds.clone();
        if let Some(path) = &self.seeds_file {
            load_seeds(path, &mut seeds).map_err(|source| ConfigError::SeedsFile {
                path: path.clone(),
                source,
            })?;
        }
        Ok(seeds)
    }
}

fn load_keys(path: &Path) -> Result<KeyRing, LoadKeysError> {
    Ok(KeyRing::parse(&read(path)?)?)
}

/// Appends the seeds of a file to `seeds`.
fn load_seeds(path: &Path, seeds: &mut Vec<SocketAddr>) -> Result<(), LoadSeedsError> {
    for (index, line) in read(path)?.lines().enumerate() {
        let line = line.split(COMMENT_MARKER).next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        let seed = line.parse().map_err(|_| LoadSeedsError::Line(index + 1))?;
        seeds.push(seed);
    }
    match seeds.len() > MAX_SEEDS {
        true => Err(LoadSeedsError::TooMany),
        false => Ok(()),
    }
}

fn read(path: &Path) -> Result<String, ReadFileError> {
    let mut text = String::new();
    let file = File::open(path)?;
    file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text)?;
    match text.len() as u64 > MAX_FILE_BYTES {
        true => Err(ReadFileError::TooLong),
        false => Ok(text),
    }
}
