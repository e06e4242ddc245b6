//! The form of what is handed over. Everything goes by name, and times are lengths: the two processes have
//! positions and clocks of their own.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use woadstall_decisions::api::{Duration, Learned, LearnedLatency, LearnedServer, ServerId, Time};

/// The form that is written, and the only one that is read: what another one means is not guessed.
const VERSION: u32 = 1;
/// Largest document: some 20,000 upstreams. Guards the memory.
pub const MOST_BYTES: usize = 4 << 20;

/// What a process has learned, in the form that it is handed over in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    version: u32,
    classes: BTreeMap<String, Latency>,
    overall: Latency,
    /// Answers a second.
    rate: f64,
    /// Answers counted lately, and requests held meanwhile, each as one over its aim, over the same time.
    answers: f64,
    held: f64,
    /// Part of the attempts that fail.
    failing: f64,
    upstreams: BTreeMap<String, Upstream>,
}

/// In nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Latency {
    mean: f64,
    deviation: f64,
    calm: f64,
    calls: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Upstream {
    /// When its process started, in Unix nanoseconds: what is known of another one does not hold.
    #[serde(skip_serializing_if = "Option::is_none")]
    started: Option<Time>,
    slowness: f64,
    /// How often its breaker opened lately, and for how much longer it is open.
    opens: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    open_for: Option<Duration>,
}

impl From<LearnedLatency> for Latency {
    fn from(told: LearnedLatency) -> Self {
        Self {
            mean: told.mean,
            deviation: told.dev,
            calm: told.calm,
            calls: told.calls,
        }
    }
}

impl From<Latency> for LearnedLatency {
    fn from(told: Latency) -> Self {
        Self {
            mean: told.mean,
            dev: told.deviation,
            calm: told.calm,
            calls: told.calls,
        }
    }
}

impl State {
    /// What was learned, under the names of classes and upstreams. What has none is left out.
    pub fn new<'a>(
        learned: &Learned,
        class: impl Fn(usize) -> Option<&'a str>,
        upstream: impl Fn(ServerId) -> Option<String>,
    ) -> Self {
        let classes = learned.classes.iter();
        let upstreams = learned.servers.iter().filter_map(|told| {
            let LearnedServer {
                server,
                started,
                slowness,
                opens,
                open_for,
            } = *told;
            Some((
                upstream(server)?,
                Upstream {
                    started,
                    slowness,
                    opens,
                    open_for,
                },
            ))
        });
        Self {
            version: VERSION,
            classes: classes
                .filter_map(|(at, told)| Some((class(*at)?.to_owned(), (*told).into())))
                .collect(),
            overall: learned.overall.into(),
            rate: learned.rate,
            answers: learned.answers,
            held: learned.held,
            failing: learned.failing,
            upstreams: upstreams.collect(),
        }
    }

    /// What was learned, of the classes and upstreams that are known here.
    pub fn learned(
        &self,
        class: impl Fn(&str) -> Option<usize>,
        upstream: impl Fn(&str) -> Option<ServerId>,
    ) -> Learned {
        let upstreams = self.upstreams.iter().filter_map(|(name, told)| {
            let Upstream {
                started,
                slowness,
                opens,
                open_for,
            } = *told;
            Some(LearnedServer {
                server: upstream(name)?,
                started,
                slowness,
                opens,
                open_for,
            })
        });
        Learned {
            classes: self
                .classes
                .iter()
                .filter_map(|(name, told)| Some((class(name)?, (*told).into())))
                .collect(),
            overall: self.overall.into(),
            rate: self.rate,
            answers: self.answers,
            held: self.held,
            failing: self.failing,
            servers: upstreams.collect(),
        }
    }

    /// As a document.
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default() // no map here has keys that are not text
    }

    /// Reads a document. The error is one line that names what is wrong; nothing of it is used then.
    pub fn read(text: &[u8]) -> Result<Self, String> {
        #[derive(Deserialize)]
        struct Version {
            version: u32,
        }
        let error = |error: &dyn std::fmt::Display| format!("state: {error}");
        let Version { version } = serde_json::from_slice(text).map_err(|e| error(&e))?;
        if version != VERSION {
            return Err(error(&format_args!(
                "`version` is {version}, and only {VERSION} can be read"
            )));
        }
        let mut text = serde_json::Deserializer::from_slice(text);
        let state: Self = serde_path_to_error::deserialize(&mut text).map_err(|e| error(&e))?;
        state.check().map_err(|text| error(&text))?;
        Ok(state)
    }

    fn check(&self) -> Result<(), String> {
        let latencies = self
            .classes
            .iter()
            .map(|(name, told)| (format!("classes.{name}"), told));
        let latencies = latencies
            .chain([("overall".to_owned(), &self.overall)])
            .flat_map(|(name, told)| {
                [
                    ("mean", told.mean),
                    ("deviation", told.deviation),
                    ("calm", told.calm),
                ]
                .map(|(field, figure)| (format!("{name}.{field}"), figure))
            });
        let slowness = self
            .upstreams
            .iter()
            .map(|(name, told)| (format!("upstreams.{name}.slowness"), told.slowness));
        let rest = [
            ("rate", self.rate),
            ("answers", self.answers),
            ("held", self.held),
        ];
        let rest = rest.map(|(field, figure)| (field.to_owned(), figure));
        let mut figures = latencies.chain(slowness).chain(rest);
        if let Some((field, figure)) =
            figures.find(|(_, figure)| !(figure.is_finite() && *figure >= 0.0))
        {
            return Err(format!("`{field}` is {figure}"));
        }
        match self.failing {
            0.0..=1.0 => Ok(()),
            failing => Err(format!("`failing` is {failing}, not between 0 and 1")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn learned() -> Learned {
        let latency = LearnedLatency {
            mean: 2e8,
            dev: 5e7,
            calm: 1.5e8,
            calls: 40,
        };
        let server = |server, open_for| LearnedServer {
            server: ServerId(server),
            started: Some(7),
            slowness: 1.5,
            opens: 2,
            open_for,
        };
        Learned {
            classes: vec![(0, latency), (1, latency)],
            overall: latency,
            rate: 12.5,
            answers: 30.0,
            held: 11.0,
            failing: 0.25,
            servers: vec![server(1, None), server(2, Some(9))],
        }
    }

    fn state() -> State {
        let class = |at: usize| ["look", "pay"].get(at).copied();
        State::new(&learned(), class, |server| Some(format!("s-{}", server.0)))
    }

    #[test]
    fn comes_back_under_other_positions_and_without_what_is_not_known_there() {
        let read = State::read(&state().write()).unwrap();
        let upstream = |name: &str| (name == "s-2").then_some(ServerId(5));
        let back = read.learned(|name| (name == "pay").then_some(7), upstream);
        let told = learned();
        assert_eq!(back.classes, [(7, told.classes[1].1)]);
        assert_eq!(
            back.servers,
            [LearnedServer {
                server: ServerId(5),
                ..told.servers[1]
            }]
        );
        assert_eq!(
            (back.rate, back.answers, back.held, back.failing),
            (12.5, 30.0, 11.0, 0.25)
        );
    }

    #[test]
    fn what_is_wrong_is_named_and_nothing_is_used() {
        let text = String::from_utf8(state().write()).unwrap();
        let cases = [
            (
                text.replace("\"version\":1", "\"version\":2"),
                "`version` is 2",
            ),
            (text.replace("\"rate\":12.5", "\"rate\":-1"), "`rate` is -1"),
            (
                text.replace("\"failing\":0.25", "\"failing\":2"),
                "`failing` is 2",
            ),
            (
                text.replace("\"slowness\":1.5", "\"slowness\":\"slow\""),
                "upstreams.s-1.slowness",
            ),
            (
                text.replace("\"mean\":200000000.0", "\"mean\":-1"),
                "classes.look.mean",
            ),
            (text[..text.len() / 2].to_owned(), "EOF"),
            (String::new(), "EOF"),
        ];
        for (text, what) in cases {
            let error = State::read(text.as_bytes()).expect_err(what);
            assert!(
                error.contains(what) && error.lines().count() == 1,
                "{error}"
            );
        }
    }

    proptest! {
        /// Guards the start of a process: whatever a predecessor says, it is read or refused.
        #[test]
        fn torn_and_twisted_documents_are_read_or_refused(
            cut in 0usize..2000, at in 0usize..2000, byte in any::<u8>(),
        ) {
            let mut text = state().write();
            text.truncate(cut.max(1));
            let at = at % text.len();
            text[at] = byte;
            if let Ok(state) = State::read(&text) {
                prop_assert_eq!(State::read(&state.write()).ok(), Some(state));
            }
        }
    }
}
