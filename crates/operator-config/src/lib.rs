//! `deploy/operator.toml`: what operators decide, beside the configuration that the platform writes. All of it may
//! be left out, and so may the file. What is not known or not sound is refused whole, in one line that names it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod evacuation;
mod instances;

pub use evacuation::Evacuation;
pub use instances::Instances;

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;

/// Largest file that is read, in bytes: guards the memory against a path that names something else.
pub const MOST_BYTES: usize = 1 << 20;
const MOST_METHODS: usize = 10_000;

/// What is wrong with the file, in one line that names the field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault(String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

/// The whole file, checked.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Section `[plugin]`: the decisions inside callers' processes.
    pub plugin: Plugin,
    /// Section `[instances]`: membership among balancers. Absent, there is none of it.
    pub instances: Option<Instances>,
    /// Section `[evacuation]`: leaving places as a fleet. Absent, there is none of it.
    pub evacuation: Option<Evacuation>,
}

/// Section `[plugin]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plugin {
    /// What upstreams speak to plug-ins.
    pub protocol: Protocol,
    /// How much of a request's body is held so that it can be sent again, in bytes.
    pub replay_limit: usize,
    /// Most connections, as the plug-in's builder counts them.
    pub connections: usize,
    /// Paths of methods, each with the name of its class. What is not named here must never run twice.
    pub methods: BTreeMap<String, String>,
}

impl Default for Plugin {
    fn default() -> Self {
        let methods = BTreeMap::new();
        Self {
            protocol: Protocol::default(),
            replay_limit: 64 << 10,
            connections: 4,
            methods,
        }
    }
}

/// A protocol towards upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge, as gRPC uses it.
    #[default]
    Http2,
}

impl Operator {
    /// Reads the file's text.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        if text.len() > MOST_BYTES {
            return Err(Fault(format!("the file is over {MOST_BYTES} bytes")));
        }
        let one_line = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
        let source = toml::Deserializer::parse(text).map_err(|error| {
            let before = error.span().map_or(0, |span| span.start).min(text.len());
            let at = 1 + text.as_bytes()[..before]
                .iter()
                .filter(|byte| **byte == b'\n')
                .count();
            Fault(format!("line {at}: {}", one_line(error.message())))
        })?;
        let file: Self = serde_path_to_error::deserialize(source).map_err(|error| {
            Fault(format!(
                "`{}`: {}",
                error.path(),
                one_line(error.inner().message())
            ))
        })?;
        file.check()?;
        Ok(file)
    }

    fn check(&self) -> Result<(), Fault> {
        let Plugin {
            replay_limit,
            connections,
            methods,
            ..
        } = &self.plugin;
        let within = |field: &str, value: usize, least: usize, most: usize| match (least..=most)
            .contains(&value)
        {
            true => Ok(()),
            false => Err(Fault(format!(
                "`plugin.{field}` is {value}, not between {least} and {most}"
            ))),
        };
        if let Some(instances) = &self.instances {
            instances
                .check()
                .map_err(|fault| Fault(format!("`instances.{}` {}", fault.0, fault.1)))?;
        }
        if let Some(evacuation) = &self.evacuation {
            evacuation
                .check()
                .map_err(|fault| Fault(format!("`evacuation.{}` {}", fault.0, fault.1)))?;
            if self.instances.is_none() {
                return Err(Fault(
                    "`evacuation`: there is no `[instances]`, so nobody tells anything".to_owned(),
                ));
            }
        }
        within("replay_limit", *replay_limit, 0, 64 << 20)?;
        within("connections", *connections, 1, 1_000)?;
        if methods.len() > MOST_METHODS {
            return Err(Fault(format!(
                "`plugin.methods` has {} entries, over {MOST_METHODS}",
                methods.len()
            )));
        }
        match methods
            .iter()
            .find(|(path, class)| !path.starts_with('/') || class.is_empty())
        {
            Some((path, class)) => {
                let what = if class.is_empty() {
                    "names no class"
                } else {
                    "is not a path from `/` on"
                };
                Err(Fault(format!("`plugin.methods.{path:?}` {what}")))
            }
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_says_what_it_says_and_nothing_else_by_default() {
        assert_eq!(Operator::parse("").unwrap(), Operator::default());
        let file = "[plugin]\nprotocol = \"http1\"\nreplay_limit = 1000\n\
                    [plugin.methods]\n\"/p.P/Load\" = \"cargo-lectura\"\n";
        let plugin = Operator::parse(file).unwrap().plugin;
        assert_eq!(
            (plugin.protocol, plugin.replay_limit, plugin.connections),
            (Protocol::Http1, 1000, 4)
        );
        assert_eq!(plugin.methods["/p.P/Load"], "cargo-lectura");
    }

    #[test]
    fn the_file_in_the_repository_is_sound() {
        Operator::parse(include_str!("../../../deploy/operator.toml")).unwrap();
    }

    /// One line for each fault, which names the field.
    #[test]
    fn faults_are_named_in_one_line() {
        let cases = [
            ("[plugins]", "`plugins`: unknown field `plugins`"),
            (
                "[plugin]\nconections = 3",
                "`plugin.conections`: unknown field `conections`",
            ),
            (
                "[plugin]\nconnections = \"3\"",
                "`plugin.connections`: invalid type: string",
            ),
            (
                "[plugin]\nconnections = 0",
                "`plugin.connections` is 0, not between 1 and 1000",
            ),
            (
                "[plugin]\nconnections = -1",
                "`plugin.connections`: invalid value: integer `-1`",
            ),
            (
                "[plugin]\nreplay_limit = 99999999999",
                "`plugin.replay_limit` is 99999999999",
            ),
            (
                "[plugin]\nprotocol = \"h3\"",
                "`plugin.protocol`: unknown variant `h3`",
            ),
            (
                "[plugin.methods]\n\"p.P/Load\" = \"x\"",
                "`plugin.methods.\"p.P/Load\"` is not a path",
            ),
            (
                "[plugin.methods]\n\"/p.P/Load\" = \"\"",
                "`plugin.methods.\"/p.P/Load\"` names no class",
            ),
            (
                "[plugin.methods]\n\"/a\" = \"x\"\n\"/a\" = \"y\"",
                "line 3: duplicate key",
            ),
            ("[plugin]\nconnections = ", "line 2: "),
            ("[plugin\n", "line 1: "),
            ("é = \u{1}", "line 1: "),
            ("[instances]", "`instances`: missing field `listen`"),
            (
                "[instances]\nlisten = \"here\"",
                "`instances.listen`: invalid socket address",
            ),
            (
                "[instances]\nlisten = \"1.2.3.4:5\"",
                "`instances.key_file` is missing, and `insecure` is not true",
            ),
            (
                "[instances]\nlisten = \"1.2.3.4:5\"\nkey_file = \"k\"\ninsecure = true",
                "`instances.insecure` is true beside a `key_file`",
            ),
            (
                "[instances]\nlisten = \"0.0.0.0:5\"\nkey_file = \"k\"",
                "`instances.advertise` is missing, and `listen` is all addresses",
            ),
            (
                "[instances]\nlisten = \"1.2.3.4:5\"\ninsecure = true\nzone = \"a b\"",
                "`instances.zone` is not 1 to 64 bytes without blanks",
            ),
            (
                "[instances]\nlisten = \"1.2.3.4:5\"\ninsecure = true\nperiod_ms = 5",
                "`instances.period_ms` is 5, not between 10 and 60000",
            ),
            (
                "[instances]\nlisten = \"1.2.3.4:5\"\ninsecure = true\npatience_ms = 300",
                "`instances.patience_ms` is over half of `period_ms`",
            ),
            (
                "[instances]\nlisten = \"1.2.3.4:5\"\ninsecure = true\nsuspicion_ms = 100",
                "`instances.suspicion_ms` is less than `period_ms`",
            ),
            ("[evacuation]", "`evacuation`: there is no `[instances]`"),
            (
                "[evacuation]\nevery_ms = 1",
                "`evacuation.every_ms` is 1, not between 20 and 5000",
            ),
            (
                "[evacuation]\nevry_ms = 1",
                "`evacuation.evry_ms`: unknown field",
            ),
            (
                "[evacuation.regions]\nnorte = \"\"",
                "`evacuation.regions` has an empty name",
            ),
        ];
        for (text, expected) in cases {
            let fault = Operator::parse(text).unwrap_err().to_string();
            assert!(
                fault.starts_with(expected) && fault.lines().count() == 1,
                "{text:?}: {fault}"
            );
        }
        let large = "#".repeat(MOST_BYTES + 1);
        assert!(
            Operator::parse(&large)
                .unwrap_err()
                .to_string()
                .contains("over")
        );
    }
}
