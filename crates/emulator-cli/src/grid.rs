//! What is run: scenario files, with keys set to other values, policies and seeds.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::path::Path;
use toml::{Table, Value};
use woadstall_emulator::{Policy, Scenario};

/// Keys and the values they are set to, as given.
pub type Set = BTreeMap<String, String>;

/// A scenario as a file has it, before anything is set.
pub struct Source {
    table: Table,
    name: String,
}

/// One run.
#[derive(Clone)]
pub struct Job {
    /// What is played.
    pub scenario: Scenario,
    /// As in its key.
    pub digest: String,
    /// What was set in it.
    pub set: Set,
    /// Who decides.
    pub policy: Policy,
    /// Of all random numbers.
    pub seed: u64,
}

/// What tells runs apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct Key {
    /// The scenario's name.
    pub scenario: String,
    /// Of the scenario with what is set: 16 digits of its SHA-256.
    pub digest: String,
    /// What was set in it.
    pub set: Set,
    /// Who decided.
    pub policy: String,
    /// Of all random numbers.
    pub seed: u64,
}

impl Job {
    /// What tells its row from others.
    pub fn key(&self) -> Key {
        Key {
            scenario: self.scenario.name.clone(),
            digest: self.digest.clone(),
            set: self.set.clone(),
            policy: self.policy.to_string(),
            seed: self.seed,
        }
    }
}

impl Source {
    /// Reads a file; the error names it, and what is at fault in it.
    pub fn read(path: &Path) -> Result<Self, String> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
        Scenario::read(&text).map_err(|error| format!("{name}: {error}"))?;
        let table = text.parse().map_err(|error| format!("{name}: {error}"))?;
        Ok(Self { table, name })
    }

    /// The scenario with keys set to other values, and its digest.
    pub fn with(&self, set: &Set) -> Result<(Scenario, String), String> {
        let mut table = self.table.clone();
        for (key, value) in set {
            put(&mut table, key, value)
                .map_err(|error| format!("{}: {key}: {error}", self.name))?;
        }
        let text = toml::to_string(&table).map_err(|error| format!("{}: {error}", self.name))?;
        let scenario = Scenario::read(&text).map_err(|error| format!("{}: {error}", self.name))?;
        // Of what it means, so that a comment or the order of keys makes no other scenario.
        let meaning =
            toml::to_string(&scenario).map_err(|error| format!("{}: {error}", self.name))?;
        let digest = Sha256::digest(meaning.as_bytes());
        let digest = digest
            .iter()
            .take(8)
            .map(|byte| format!("{byte:02x}"))
            .collect();
        Ok((scenario, digest))
    }
}

/// Sets a key, as in `limits.attempts` or `tier.0.nodos`. Tables on the way are made where they are missing.
fn put(table: &mut Table, key: &str, value: &str) -> Result<(), String> {
    // A value that is no TOML stands for itself, so that times need no quotes.
    let parsed = format!("value = {value}")
        .parse::<Table>()
        .ok()
        .and_then(|mut table| table.remove("value"));
    let value = parsed.unwrap_or_else(|| Value::String(value.to_owned()));
    let mut parts: Vec<&str> = key.split('.').collect();
    let last = parts
        .pop()
        .filter(|last| !last.is_empty())
        .ok_or("no key")?;
    let mut at = table;
    let mut parts = parts.into_iter().peekable();
    while let Some(part) = parts.next() {
        let next = at.entry(part).or_insert_with(|| Value::Table(Table::new()));
        at = match next {
            Value::Table(table) => table,
            Value::Array(list) => {
                let number = parts.next().unwrap_or(last);
                let count = list.len();
                let item = number
                    .parse::<usize>()
                    .ok()
                    .and_then(|number| list.get_mut(number));
                match item {
                    Some(Value::Table(table)) => table,
                    _ => {
                        return Err(format!(
                            "`{part}` has {count} entries, and none is `{number}`"
                        ));
                    }
                }
            }
            _ => return Err(format!("`{part}` holds no further keys")),
        };
    }
    at.insert(last.to_owned(), value);
    Ok(())
}

/// `key=value`.
pub fn pair(text: &str) -> Result<(String, String), String> {
    match text.split_once('=') {
        Some((key, value)) if !key.trim().is_empty() => {
            Ok((key.trim().to_owned(), value.trim().to_owned()))
        }
        _ => Err("not of the form KEY=VALUE".to_owned()),
    }
}

/// `3`, or `1..10` with both ends, or several of these behind commas.
pub fn seeds(text: &str) -> Result<Vec<u64>, String> {
    let mut seeds = Vec::new();
    for part in text.split(',') {
        let number = |text: &str| {
            text.trim()
                .parse::<u64>()
                .map_err(|_| format!("{text:?} is no seed"))
        };
        match part.split_once("..") {
            Some((first, last)) => {
                let (first, last) = (number(first)?, number(last)?);
                if first > last || last - first >= 10_000 {
                    return Err(format!("{part:?} is no range of 10,000 seeds at most"));
                }
                seeds.extend(first..=last);
            }
            None => seeds.push(number(part)?),
        }
    }
    Ok(seeds)
}

/// All combinations of what varies, in the order in which it is given; the last varies fastest.
pub fn combinations(fixed: &Set, varied: &[(String, String)]) -> Vec<Set> {
    let mut sets = vec![fixed.clone()];
    for (key, values) in varied {
        let with = |set: &Set, value: &str| {
            let mut set = set.clone();
            set.insert(key.clone(), value.trim().to_owned());
            set
        };
        sets = sets
            .iter()
            .flat_map(|set| values.split(',').map(|value| with(set, value)))
            .collect();
    }
    sets
}

/// All runs of a sweep, in order.
pub fn jobs(
    sources: &[Source],
    sets: &[Set],
    policies: &[Policy],
    seeds: &[u64],
) -> Result<Vec<Job>, String> {
    let mut jobs = Vec::new();
    for source in sources {
        for set in sets {
            let (scenario, digest) = source.with(set)?;
            for &policy in policies {
                for &seed in seeds {
                    let (scenario, digest, set) = (scenario.clone(), digest.clone(), set.clone());
                    jobs.push(Job {
                        scenario,
                        digest,
                        set,
                        policy,
                        seed,
                    });
                }
            }
        }
    }
    Ok(jobs)
}

#[cfg(test)]
mod tests;
