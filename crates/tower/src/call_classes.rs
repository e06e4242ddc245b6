//! Determines the class, tenant, estimated work and timeout of a call.

use crate::call_info::CallInfo;
use crate::error::BuildError;
use crate::timeout::{MAX_TIMEOUT, header_text, timeout_from_headers};
use http::request::Parts;
use std::collections::HashMap;
use std::time::Duration;
use woadstall_engine::Settings;
use woadstall_engine::decisions::{Class, Effect};
use woadstall_settings::Names;

/// Tenant index of calls whose tenant is not in the settings. These calls have no quota of their own.
const UNNAMED_TENANT: usize = usize::MAX;

/// The classes of the plug-in, in this order: the classes of the settings, the non-idempotent variant of each of them,
/// and the class of calls whose class is unknown.
pub(crate) struct CallClasses {
    names: Names,
    effects: Vec<Effect>,
    deadlines: Vec<Duration>,
    /// Class index of each configured method, by the method's path.
    methods: HashMap<String, usize>,
}

/// The parameters of a call that the load balancer needs.
#[derive(Debug, PartialEq)]
pub(crate) struct CallRequirements {
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant, or [`UNNAMED_TENANT`].
    pub tenant: usize,
    /// Estimated time that a server works on the call, in nanoseconds.
    pub estimated_work: Option<u64>,
    /// How long the caller waits.
    pub timeout: Duration,
    /// Whether the caller set the timeout; otherwise it is the deadline of the class.
    pub has_caller_timeout: bool,
}

impl CallClasses {
    /// Adds the plug-in's own classes to the settings.
    ///
    /// # Errors
    ///
    /// [`BuildError::UnknownClass`] or [`BuildError::DuplicateMethod`], for the first invalid method.
    pub fn new(
        settings: &mut Settings,
        names: Names,
        methods: &[(String, String)],
    ) -> Result<Self, BuildError> {
        let methods = index_methods(&names, methods)?;
        let named_classes = settings.classes.clone();
        let variants = named_classes.iter().map(non_idempotent);
        settings.classes.extend(variants);
        settings.classes.push(unknown_class(&named_classes));
        let deadline = |class: &Class| Duration::from_nanos(class.deadline);
        Ok(Self {
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            deadlines: settings.classes.iter().map(deadline).collect(),
            names,
            methods,
        })
    }

    /// Determines the requirements of a call. Invalid values are not an error; they are treated like absent ones.
    pub fn requirements(&self, head: &Parts) -> CallRequirements {
        let absent = CallInfo::default();
        let info = head.extensions.get::<CallInfo>().unwrap_or(&absent);
        let headers = &head.headers;
        let class = self.class(head, info);
        let caller_timeout = info
            .timeout
            .into_iter()
            .chain(timeout_from_headers(headers))
            .min();
        let tenant = info.tenant.as_deref().or(header_text(headers, "x-caller"));
        CallRequirements {
            class,
            tenant: self.names.tenant(tenant).unwrap_or(UNNAMED_TENANT),
            estimated_work: estimated_work(head, info),
            timeout: caller_timeout
                .unwrap_or(self.deadlines[class])
                .min(MAX_TIMEOUT),
            has_caller_timeout: caller_timeout.is_some(),
        }
    }

    /// The class of a call, in its non-idempotent variant if a retry could run the call twice.
    fn class(&self, head: &Parts, info: &CallInfo) -> usize {
        let Some(class) = self.named_class(head, info) else {
            return self.effects.len() - 1;
        };
        // Without an idempotency key no server would drop a retry.
        let lacks_key =
            matches!(self.effects[class], Effect::Keyed(..)) && !has_idempotency_key(head, info);
        if info.non_idempotent || lacks_key {
            self.names.classes.len() + class
        } else {
            class
        }
    }

    /// The class named in the [`CallInfo`], or else the class of the method, or else the class named by the first
    /// segment of the path.
    fn named_class(&self, head: &Parts, info: &CallInfo) -> Option<usize> {
        if let Some(class) = &info.class {
            return self.names.class(class);
        }
        let path = head.uri.path();
        let by_method = self.methods.get(path).copied();
        by_method.or_else(|| self.names.class(path.split('/').nth(1)?))
    }
}

/// Maps the path of each method to the index of its class.
fn index_methods(
    names: &Names,
    methods: &[(String, String)],
) -> Result<HashMap<String, usize>, BuildError> {
    let mut by_path = HashMap::new();
    for (path, class) in methods {
        let Some(index) = names.class(class) else {
            return Err(BuildError::UnknownClass {
                path: path.clone(),
                class: class.clone(),
            });
        };
        if by_path.insert(path.clone(), index).is_some() {
            return Err(BuildError::DuplicateMethod { path: path.clone() });
        }
    }
    Ok(by_path)
}

/// Returns a copy of a class for calls that must not run twice.
fn non_idempotent(class: &Class) -> Class {
    Class {
        effect: Effect::Unsafe,
        ..class.clone()
    }
}

/// Returns the class of calls whose class is unknown. It has the longest times and the lowest values of all named
/// classes, and its calls must not run twice.
fn unknown_class(named_classes: &[Class]) -> Class {
    let classes = || named_classes.iter();
    let longest = |time: fn(&Class) -> u64| classes().map(time).max().unwrap_or(1);
    let lowest = |value: fn(&Class) -> f64| classes().map(value).fold(f64::MAX, f64::min);
    Class {
        latency_target: longest(|class| class.latency_target),
        latency_target_stretch: 0.0,
        deadline: longest(|class| class.deadline),
        effect: Effect::Unsafe,
        late_value: lowest(|class| class.late_value),
        value: lowest(|class| class.value),
    }
}

fn has_idempotency_key(head: &Parts, info: &CallInfo) -> bool {
    info.key
        .as_deref()
        .or(header_text(&head.headers, "idempotency-key"))
        .is_some_and(|key| !key.is_empty())
}

/// The estimated work of a call in nanoseconds, from its [`CallInfo`] or the header `x-call-cost` (microseconds).
fn estimated_work(head: &Parts, info: &CallInfo) -> Option<u64> {
    if let Some(work) = info.work {
        return Some(work.as_nanos() as u64);
    }
    let micros: f64 = header_text(&head.headers, "x-call-cost")?.parse().ok()?;
    (micros.is_finite() && micros >= 0.0).then_some((micros * 1e3) as u64)
}

#[cfg(test)]
mod tests;
