//! What a member is started with, and the files that it names.

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use woadstall_membership::{Name, Settings};
use woadstall_message_auth::KeyRing;

/// Bytes of a file of keys or seeds at most.
const MOST_BYTES: u64 = 64 << 10;
/// Seeds at most: each is asked while nobody is known.
const MOST_SEEDS: usize = 64;

/// See the fields.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The member's name, that of no other.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// The zone's region.
    pub region: Option<Name>,
    /// Where it listens, for datagrams and streams.
    pub listen: SocketAddr,
    /// Where others find it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Whom to ask while it knows nobody.
    pub seeds: Vec<SocketAddr>,
    /// A file of more of them, an address a line.
    pub seeds_file: Option<PathBuf>,
    /// The file of the keys that the fleet shares.
    pub key_file: Option<PathBuf>,
    /// Whether it may go without a key.
    pub insecure: bool,
    /// How often, how long, how much.
    pub settings: Settings,
}

impl Setup {
    /// Refuses what cannot work, in one line that names the field. Reads no files.
    pub fn check(&self) -> Result<(), String> {
        self.settings.check().map_err(|error| error.to_string())?;
        if self.key_file.is_some() == self.insecure {
            let both = "`insecure` is true beside a `key_file`";
            let none = "`key_file` is missing, and `insecure` is not true";
            return Err(if self.insecure { both } else { none }.to_owned());
        }
        if self.advertise.is_none() && self.listen.ip().is_unspecified() {
            return Err("`advertise` is missing, and `listen` is all addresses".to_owned());
        }
        match self.advertise {
            Some(at) if at.ip().is_unspecified() || at.port() == 0 => Err(format!(
                "`advertise` is no address at which it is found: {at}"
            )),
            _ if self.seeds.len() > MOST_SEEDS => {
                Err(format!("`seeds` has more than {MOST_SEEDS}"))
            }
            _ => Ok(()),
        }
    }

    /// The keys in force, if there are any to be.
    pub fn keys(&self) -> Result<Option<KeyRing>, String> {
        let Some(path) = &self.key_file else {
            return Ok(None);
        };
        let failed = |error: String| format!("`key_file` {}: {error}", path.display());
        let text = read(path).map_err(failed)?;
        KeyRing::parse(&text)
            .map(Some)
            .map_err(|error| failed(error.to_string()))
    }

    /// All seeds, those of the file as well.
    pub fn all_seeds(&self) -> Result<Vec<SocketAddr>, String> {
        let mut seeds = self.seeds.clone();
        let Some(path) = &self.seeds_file else {
            return Ok(seeds);
        };
        let failed = |error: String| format!("`seeds_file` {}: {error}", path.display());
        for (at, line) in read(path).map_err(failed)?.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let seed = line
                .parse()
                .map_err(|_| failed(format!("line {}: not an address with a port", at + 1)))?;
            seeds.push(seed);
        }
        match seeds.len() > MOST_SEEDS {
            true => Err(failed(format!("more than {MOST_SEEDS} with `seeds`"))),
            false => Ok(seeds),
        }
    }
}

fn read(path: &Path) -> Result<String, String> {
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(|error| error.to_string())?;
    file.take(MOST_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(|error| error.to_string())?;
    if text.len() as u64 > MOST_BYTES {
        Err(format!("over {MOST_BYTES} bytes"))
    } else {
        Ok(text)
    }
}
