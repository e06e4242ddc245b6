//! Section `[instances]`: membership among balancers.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

const LONGEST_NAME: usize = 64;

/// Section `[instances]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instances {
    /// Where the balancer listens for the others, for datagrams and streams. Port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where the others find it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Its name, that of no other; the environment's `LB_NAME` if absent, or else its address.
    pub name: Option<String>,
    /// Its zone; that of its configuration if absent.
    pub zone: Option<String>,
    /// The zone's region.
    pub region: Option<String>,
    /// Whom to ask while it knows nobody.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// A file of more of them, an address a line; read again at SIGHUP.
    pub seeds_file: Option<PathBuf>,
    /// The file of the keys that the fleet shares; read again at SIGHUP.
    pub key_file: Option<PathBuf>,
    /// Whether it may go without a key.
    #[serde(default)]
    pub insecure: bool,
    /// One other is probed each time this is over, in milliseconds.
    #[serde(default = "period")]
    pub period_ms: u64,
    /// How long a probe waits before others are asked, in milliseconds.
    #[serde(default = "patience")]
    pub patience_ms: u64,
    /// How long one that nobody hears is suspected at least, in milliseconds: longer than the pauses to be borne.
    #[serde(default = "suspicion")]
    pub suspicion_ms: u64,
}

fn period() -> u64 {
    500
}

fn patience() -> u64 {
    200
}

fn suspicion() -> u64 {
    6_000
}

impl Instances {
    /// The field at fault, and what is wrong with it.
    pub(crate) fn check(&self) -> Result<(), (&'static str, String)> {
        let names = [
            ("name", &self.name),
            ("zone", &self.zone),
            ("region", &self.region),
        ];
        for (field, name) in names {
            let sound = |name: &String| {
                !name.is_empty()
                    && name.len() <= LONGEST_NAME
                    && !name.contains(char::is_whitespace)
            };
            if !name.as_ref().is_none_or(sound) {
                return Err((
                    field,
                    format!("is not 1 to {LONGEST_NAME} bytes without blanks"),
                ));
            }
        }
        if self.insecure && self.key_file.is_some() {
            return Err(("insecure", "is true beside a `key_file`".to_owned()));
        }
        if !self.insecure && self.key_file.is_none() {
            return Err((
                "key_file",
                "is missing, and `insecure` is not true".to_owned(),
            ));
        }
        match self.advertise {
            None if self.listen.ip().is_unspecified() => {
                return Err((
                    "advertise",
                    "is missing, and `listen` is all addresses".to_owned(),
                ));
            }
            Some(at) if at.ip().is_unspecified() || at.port() == 0 => {
                return Err(("advertise", format!("is {at}, where nobody is found")));
            }
            _ => {}
        }
        let within = |field: &'static str, value: u64, least: u64, most: u64| match (least..=most)
            .contains(&value)
        {
            true => Ok(()),
            false => Err((field, format!("is {value}, not between {least} and {most}"))),
        };
        within("period_ms", self.period_ms, 10, 60_000)?;
        within("patience_ms", self.patience_ms, 1, 30_000)?;
        within("suspicion_ms", self.suspicion_ms, 1, 3_600_000)?;
        if self.patience_ms * 2 > self.period_ms {
            return Err(("patience_ms", "is over half of `period_ms`".to_owned()));
        }
        match self.suspicion_ms < self.period_ms {
            true => Err(("suspicion_ms", "is less than `period_ms`".to_owned())),
            false => Ok(()),
        }
    }
}
