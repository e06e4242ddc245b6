//! What a member is started with, and the files of keys and seeds that it names.

use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;
use woadstall_membership::{Name, Settings, SettingsError};
use woadstall_message_auth::{KeyFileError, KeyRing};

/// The most bytes of a file of keys or seeds.
const MAX_FILE_BYTES: u64 = 64 << 10;
/// The most seeds: each is asked while no member is known.
const MAX_SEEDS: usize = 64;
/// What begins a remark in a file of seeds.
const REMARK: char = '#';

/// What a member is started with. The fields have the names of the operators' file.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The member's name, that of no other.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// The zone's region.
    pub region: Option<Name>,
    /// The address for datagrams and streams.
    pub listen: SocketAddr,
    /// The address at which others reach it, if that is another one.
    pub advertise: Option<SocketAddr>,
    /// Members that are asked while none is known.
    pub seeds: Vec<SocketAddr>,
    /// A file of more seeds, an address a line.
    pub seeds_file: Option<PathBuf>,
    /// The file of the keys that the fleet shares.
    pub key_file: Option<PathBuf>,
    /// Whether it may run without a key.
    pub insecure: bool,
    /// Time-outs and limits.
    pub settings: Settings,
}

/// What is wrong with a configuration or a file that it names, in one line that names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A time-out or limit is at fault.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// There is a key file, though the member may run without a key.
    #[error("`insecure` is true beside a `key_file`")]
    InsecureWithKey,
    /// There is no key file, and the member may not run without a key.
    #[error("`key_file` is missing, and `insecure` is not true")]
    NoKeyFile,
    /// The member listens at all addresses, and others are told none.
    #[error("`advertise` is missing, and `listen` is all addresses")]
    NoAdvertise,
    /// Nobody can reach the address that others are told.
    #[error("`advertise` is no address at which it is found: {0}")]
    Advertise(SocketAddr),
    /// There are too many seeds.
    #[error("`seeds` has more than {MAX_SEEDS}")]
    TooManySeeds,
    /// The key file is at fault.
    #[error("`key_file` {}: {source}", path.display())]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: KeyFileFault,
    },
    /// The file of seeds is at fault.
    #[error("`seeds_file` {}: {source}", path.display())]
    SeedsFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: SeedsFileFault,
    },
}

/// What is wrong with a key file.
#[derive(Debug, Error)]
pub enum KeyFileFault {
    /// It cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// It holds no valid keys.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
}

/// What is wrong with a file of seeds.
#[derive(Debug, Error)]
pub enum SeedsFileFault {
    /// It cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// A line, counted from 1, is no address.
    #[error("line {0}: not an address with a port")]
    Line(usize),
    /// There are too many seeds, those of the configuration included.
    #[error("more than {MAX_SEEDS} with `seeds`")]
    TooMany,
}

/// Why a file cannot be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The system's error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is too long.
    #[error("over {MAX_FILE_BYTES} bytes")]
    TooLong,
}

impl MembershipConfig {
    /// Checks that a member can run with it. Reads no files.
    ///
    /// # Errors
    ///
    /// The first field at fault.
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

    /// The keys of the key file; `None` where there is no such file.
    ///
    /// # Errors
    ///
    /// [`ConfigError::KeyFile`] where the file cannot be read or holds no valid keys.
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

    /// All seeds, those of the file of seeds included.
    ///
    /// # Errors
    ///
    /// [`ConfigError::SeedsFile`] where the file cannot be read, a line is no address, or there are
    /// too many.
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

fn load_keys(path: &Path) -> Result<KeyRing, KeyFileFault> {
    Ok(KeyRing::parse(&read(path)?)?)
}

/// Adds the seeds of a file to others.
fn load_seeds(path: &Path, seeds: &mut Vec<SocketAddr>) -> Result<(), SeedsFileFault> {
    for (index, line) in read(path)?.lines().enumerate() {
        let line = line.split(REMARK).next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        let seed = line.parse().map_err(|_| SeedsFileFault::Line(index + 1))?;
        seeds.push(seed);
    }
    match seeds.len() > MAX_SEEDS {
        true => Err(SeedsFileFault::TooMany),
        false => Ok(()),
    }
}

fn read(path: &Path) -> Result<String, ReadError> {
    let mut text = String::new();
    let file = File::open(path)?;
    file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text)?;
    match text.len() as u64 > MAX_FILE_BYTES {
        true => Err(ReadError::TooLong),
        false => Ok(text),
    }
}
