//! Reads fields of JSON documents. Findings are collected with their paths, so that all of them can
//! be shown together.

use serde_json::Value;
use std::fmt;

/// A fault at a path of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The path, as in `routes[3].timeout_ms`.
    pub path: String,
    /// What is wrong there.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// All findings of a document; displayed one a line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// A single finding.
    pub fn one(path: impl Into<String>, problem: impl Into<String>) -> Self {
        let mut findings = Self::default();
        findings.add(path, problem);
        findings
    }

    /// Adds one.
    pub fn add(&mut self, path: impl Into<String>, problem: impl Into<String>) {
        self.0.push(Finding {
            path: path.into(),
            problem: problem.into(),
        });
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|finding| writeln!(f, "{finding}"))
    }
}

impl std::error::Error for Findings {}

/// A value at a path of a document.
#[derive(Clone, Debug)]
pub struct FieldReader<'a> {
    value: Option<&'a Value>,
    path: String,
}

impl<'a> FieldReader<'a> {
    /// The whole document.
    pub fn new(document: &'a Value) -> Self {
        Self {
            value: Some(document),
            path: String::new(),
        }
    }

    /// The path, as findings name it.
    pub fn path(&self) -> &str {
        if self.path.is_empty() {
            "(document)"
        } else {
            &self.path
        }
    }

    /// The value, if there is one; `null` counts as none.
    pub fn value(&self) -> Option<&'a Value> {
        self.value.filter(|value| !value.is_null())
    }

    /// A field of an object.
    pub fn field(&self, name: &str) -> Self {
        let path = if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        };
        Self {
            value: self.value.and_then(|value| value.get(name)),
            path,
        }
    }

    /// The items of an array; none where the value is absent.
    pub fn items(&self, findings: &mut Findings) -> Vec<Self> {
        let Some(value) = self.value() else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            findings.add(self.path(), "must be an array");
            return Vec::new();
        };
        let item = |(index, value)| Self {
            value: Some(value),
            path: format!("{}[{index}]", self.path),
        };
        items.iter().enumerate().map(item).collect()
    }

    /// A string that must be there and must not be empty.
    pub fn string(&self, findings: &mut Findings) -> String {
        match self.value().map(Value::as_str) {
            Some(Some(text)) if !text.is_empty() => text.to_owned(),
            Some(Some(_)) => self.fault("must not be empty", findings),
            Some(None) => self.fault("must be a string", findings),
            None => self.fault("is missing", findings),
        }
    }

    /// A string, or none where the value is absent.
    pub fn optional_string(&self, findings: &mut Findings) -> Option<String> {
        self.value().map(|_| self.string(findings))
    }

    /// An integer, 0 or more, that must be there.
    pub fn integer(&self, findings: &mut Findings) -> u64 {
        match self.value().map(Value::as_u64) {
            Some(Some(number)) => number,
            Some(None) => self.fault("must be a whole number, 0 or more", findings),
            None => self.fault("is missing", findings),
        }
    }

    /// An integer, 0 or more, or `default` where the value is absent.
    pub fn integer_or(&self, default: u64, findings: &mut Findings) -> u64 {
        if self.value().is_some() {
            self.integer(findings)
        } else {
            default
        }
    }

    /// A number that is 0 or more, or `default` where the value is absent.
    pub fn number_or(&self, default: f64, findings: &mut Findings) -> f64 {
        match self.value().map(Value::as_f64) {
            Some(Some(number)) if number >= 0.0 => number,
            Some(_) => self.fault("must be a number, 0 or more", findings),
            None => default,
        }
    }

    /// A boolean, or `default` where the value is absent.
    pub fn bool_or(&self, default: bool, findings: &mut Findings) -> bool {
        match self.value().map(Value::as_bool) {
            Some(Some(flag)) => flag,
            Some(None) => self.fault("must be true or false", findings),
            None => default,
        }
    }

    /// Adds a finding; the value counts as the default of its type then.
    fn fault<T: Default>(&self, problem: &str, findings: &mut Findings) -> T {
        findings.add(self.path(), problem);
        T::default()
    }
}
