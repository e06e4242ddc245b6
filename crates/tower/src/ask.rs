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
mod tests;
