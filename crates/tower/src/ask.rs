//! What a call asks for: its class, tenant, key and time.

use http::HeaderMap;
use http::request::Parts;
use std::collections::HashMap;
use std::time::Duration;
use woadstall_engine::Settings;
use woadstall_engine::decisions::{Class, Effect};
use woadstall_settings::Names;

/// No caller waits for longer, whatever it says.
pub(crate) const MOST_TIME: Duration = Duration::from_secs(3600);

/// What a caller may say of a call, as an extension of its request. What it leaves out is taken from the
/// method's path and the headers.
#[derive(Clone, Debug, Default)]
pub struct CallInfo {
    /// The class, by its name in the settings.
    pub class: Option<String>,
    /// The tenant, by its name in the settings; else the header `x-caller`.
    pub tenant: Option<String>,
    /// How long the caller waits. The least of this, `grpc-timeout` and `x-budget` counts.
    pub within: Option<Duration>,
    /// A guess at its work.
    pub work: Option<Duration>,
    /// The key by which servers drop its repeats; else the header `idempotency-key`.
    pub key: Option<String>,
    /// It must never run twice, whatever its class says.
    pub never_twice: bool,
}

/// The classes of the plug-in: those of the settings, then for each the same with an effect that must never
/// happen twice, then one for what no setting names.
pub(crate) struct Classes {
    names: Names,
    effects: Vec<Effect>,
    deadlines: Vec<Duration>,
    /// Paths of methods, with the class of each.
    methods: HashMap<String, usize>,
}

/// What is known of a call.
#[derive(Debug, PartialEq)]
pub(crate) struct Asked {
    pub class: usize,
    pub tenant: usize,
    pub work: Option<u64>,
    pub within: Duration,
    /// The caller has said itself how long it waits.
    pub told: bool,
}

impl Classes {
    /// Adds the classes to the settings. The error names what is at fault.
    pub fn new(
        settings: &mut Settings,
        names: Names,
        methods: &[(String, String)],
    ) -> Result<Self, String> {
        let mut by_path = HashMap::new();
        for (path, class) in methods {
            let Some(at) = names.class(class) else {
                return Err(format!(
                    "method {path}: the settings have no class {class:?}"
                ));
            };
            if by_path.insert(path.clone(), at).is_some() {
                return Err(format!("method {path} is there twice"));
            }
        }
        let given = settings.classes.clone();
        settings.classes.extend(given.iter().map(|class| Class {
            effect: Effect::Unsafe,
            ..class.clone()
        }));
        let longest = |time: fn(&Class) -> u64| given.iter().map(time).max().unwrap_or(1);
        let least = |figure: fn(&Class) -> f64| given.iter().map(figure).fold(f64::MAX, f64::min);
        settings.classes.push(Class {
            latency_target: longest(|class| class.latency_target),
            latency_target_stretch: 0.0,
            deadline: longest(|class| class.deadline),
            effect: Effect::Unsafe,
            late_value: least(|class| class.late_value),
            value: least(|class| class.value),
        });
        Ok(Self {
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            deadlines: settings
                .classes
                .iter()
                .map(|class| Duration::from_nanos(class.deadline))
                .collect(),
            names,
            methods: by_path,
        })
    }

    /// What a call asks for. Nothing that it says wrongly is an error: it only loses what that would have
    /// allowed it.
    pub fn ask(&self, head: &Parts) -> Asked {
        let none = CallInfo::default();
        let info = head.extensions.get::<CallInfo>().unwrap_or(&none);
        let (headers, path) = (&head.headers, head.uri.path());
        let by_path = || self.methods.get(path).copied();
        let by_segment = || self.names.class(path.split('/').nth(1)?);
        let named = match &info.class {
            Some(class) => self.names.class(class),
            None => by_path().or_else(by_segment),
        };
        let unknown = self.effects.len() - 1;
        let keyed = info
            .key
            .as_deref()
            .or(text(headers, "idempotency-key"))
            .is_some_and(|key| !key.is_empty());
        let class = match named {
            Some(class) if info.never_twice => self.names.classes.len() + class,
            // Without its key no server would drop a repeat.
            Some(class) if matches!(self.effects[class], Effect::Keyed(..)) && !keyed => {
                self.names.classes.len() + class
            }
            Some(class) => class,
            None => unknown,
        };
        let told = info.within.into_iter().chain(told_time(headers)).min();
        let tenant = info.tenant.as_deref().or(text(headers, "x-caller"));
        let cost = text(headers, "x-call-cost").and_then(|cost| cost.parse::<f64>().ok());
        let cost = cost
            .filter(|cost| cost.is_finite() && *cost >= 0.0)
            .map(|micros| (micros * 1e3) as u64);
        Asked {
            class,
            // One that the settings do not name has no quota of its own.
            tenant: self.names.tenant(tenant).unwrap_or(usize::MAX),
            work: info.work.map(|work| work.as_nanos() as u64).or(cost),
            within: told.unwrap_or(self.deadlines[class]).min(MOST_TIME),
            told: told.is_some(),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// How long the caller waits by its headers: the least that they say.
pub(crate) fn told_time(headers: &HeaderMap) -> Option<Duration> {
    let budget = text(headers, "x-budget").and_then(|text| text.parse().ok());
    let budget = budget.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let timeout = text(headers, "grpc-timeout").and_then(grpc_timeout);
    budget.into_iter().chain(timeout).min()
}

/// The header's time: one to eight digits and a unit (gRPC over HTTP/2, Timeout).
fn grpc_timeout(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let count: u64 = digits.parse().ok()?;
    Some(match unit {
        "H" => Duration::from_secs(count * 3600),
        "M" => Duration::from_secs(count * 60),
        "S" => Duration::from_secs(count),
        "m" => Duration::from_millis(count),
        "u" => Duration::from_micros(count),
        "n" => Duration::from_nanos(count),
        _ => return None,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use http::Request;
    use woadstall_transport::grpc_timeout_of;

    fn classes() -> Classes {
        let text =
            woadstall_mock_servers::http1::config("127.0.0.1:1".parse().unwrap(), &[])["settings"]
                .to_string();
        let mut settings = woadstall_settings::parse_settings(text.as_bytes()).unwrap();
        let names = woadstall_settings::parse_names(text.as_bytes()).unwrap();
        let methods = [
            ("/p.P/Look".to_owned(), "look".to_owned()),
            ("/p.P/Pay".to_owned(), "pay".to_owned()),
        ];
        Classes::new(&mut settings, names, &methods).unwrap()
    }

    fn ask(path: &str, headers: &[(&str, &str)], info: Option<CallInfo>) -> Asked {
        let mut request = Request::builder().uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let (mut head, ()) = request.body(()).unwrap().into_parts();
        info.into_iter()
            .for_each(|info| drop(head.extensions.insert(info)));
        classes().ask(&head)
    }

    const LOOK: usize = 0;
    const PAY: usize = 1;
    const TWINS: usize = 3;
    const UNKNOWN: usize = 6;

    /// Guards rule 2: what nobody has said to be safe, or keyed with a key, is never sent twice.
    #[test]
    fn what_is_not_known_is_unsafe() {
        let effects = classes().effects;
        assert!(
            effects[TWINS..]
                .iter()
                .all(|effect| *effect == Effect::Unsafe)
        );
        assert_eq!(ask("/p.P/Look", &[], None).class, LOOK);
        assert_eq!(ask("/look?x=1", &[], None).class, LOOK);
        assert_eq!(
            ask("/p.P/Pay", &[("idempotency-key", "k")], None).class,
            PAY
        );
        assert_eq!(ask("/p.P/Pay", &[], None).class, TWINS + PAY);
        assert_eq!(
            ask("/p.P/Pay", &[("idempotency-key", "")], None).class,
            TWINS + PAY
        );
        assert_eq!(ask("/p.P/Look2", &[], None).class, UNKNOWN);
        assert_eq!(ask("/", &[], None).class, UNKNOWN);
        let info = |info: CallInfo| ask("/p.P/Look", &[], Some(info)).class;
        assert_eq!(
            info(CallInfo {
                class: Some("lok".into()),
                ..Default::default()
            }),
            UNKNOWN
        );
        assert_eq!(
            info(CallInfo {
                class: Some("post".into()),
                ..Default::default()
            }),
            2
        );
        assert_eq!(
            info(CallInfo {
                never_twice: true,
                ..Default::default()
            }),
            TWINS + LOOK
        );
        let keyed = CallInfo {
            class: Some("pay".into()),
            key: Some("k".into()),
            ..Default::default()
        };
        assert_eq!(info(keyed), PAY);
    }

    #[test]
    fn the_least_time_counts() {
        let within = |headers: &[(&str, &str)], info: Option<u64>| {
            let info = info.map(|ms| CallInfo {
                within: Some(Duration::from_millis(ms)),
                ..Default::default()
            });
            let asked = ask("/look", headers, info);
            (asked.within.as_millis(), asked.told)
        };
        assert_eq!(within(&[], None), (60_000, false), "the class's own");
        assert_eq!(within(&[("grpc-timeout", "80m")], None), (80, true));
        assert_eq!(
            within(&[("grpc-timeout", "80m"), ("x-budget", "0.050")], None),
            (50, true)
        );
        assert_eq!(
            within(&[("grpc-timeout", "80m"), ("x-budget", "0.050")], Some(7)),
            (7, true)
        );
        assert_eq!(
            within(&[("grpc-timeout", "99999999H")], None),
            (3_600_000, true),
            "bounded"
        );
        for unreadable in ["", "m", "123456789m", "-1m", "1 m", "1x", "é", "1µ"] {
            assert_eq!(grpc_timeout(unreadable), None, "{unreadable:?}");
        }
        assert_eq!(
            within(&[("x-budget", "NaN"), ("grpc-timeout", "oops")], None),
            (60_000, false)
        );
        assert_eq!(within(&[("x-budget", "-1")], None), (60_000, false));
        assert_eq!(within(&[("x-budget", "0")], None), (0, true));
    }

    /// What goes upstream must never say more than is left, and stay within eight digits.
    #[test]
    fn a_time_is_written_as_it_is_read() {
        for nanos in [
            0,
            1,
            99_999_999,
            100_000_000,
            123_456_789_012,
            7 << 50,
            u64::MAX,
        ] {
            let text = grpc_timeout_of(nanos);
            let read = grpc_timeout(&text).unwrap().as_nanos() as u64;
            assert!(
                text.len() <= 9 && read <= nanos && (nanos - read) as f64 <= nanos as f64 * 1e-4,
                "{text}"
            );
        }
    }

    #[test]
    fn faults_in_methods_are_named() {
        let text =
            woadstall_mock_servers::http1::config("127.0.0.1:1".parse().unwrap(), &[])["settings"]
                .to_string();
        let build = |methods: &[(&str, &str)]| {
            let mut settings = woadstall_settings::parse_settings(text.as_bytes()).unwrap();
            let names = woadstall_settings::parse_names(text.as_bytes()).unwrap();
            let methods: Vec<_> = methods
                .iter()
                .map(|(a, b)| (a.to_string(), b.to_string()))
                .collect();
            Classes::new(&mut settings, names, &methods).err().unwrap()
        };
        assert_eq!(
            build(&[("/a", "none")]),
            "method /a: the settings have no class \"none\""
        );
        assert_eq!(
            build(&[("/a", "look"), ("/a", "pay")]),
            "method /a is there twice"
        );
    }
}
