//! Readers for the fields of JSON documents. All findings are collected with their paths, so that
//! they can be reported together.

use serde_json::Value;
use std::fmt;

/// An error at a path of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The path, for example `routes[3].timeout_ms`.
    pub path: String,
    /// The description of the error.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// All findings of a document. The `Display` form has one finding per line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Creates a list with a single finding.
    pub fn one(path: impl Into<String>, problem: impl Into<String>) -> Self {
        let mut findings = Self::default();
        findings.add(path, problem);
        findings
    }

    /// Adds a finding.
    pub fn add(&mut self, path: impl Into<String>, problem: impl Into<String>) {
        self.0.push(Finding {
            path: path.into(),
            problem: problem.into(),
        });
    }

    /// Returns whether the list has no findings.
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

/// A value that may be absent, at a path of a document.
#[derive(Clone, Debug)]
pub struct FieldReader<'a> {
    value: Option<&'a Value>,
    path: String,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader of the whole document.
    pub fn new(document: &'a Value) -> Self {
        Self {
            value: Some(document),
            path: String::new(),
        }
    }

    /// Returns the path as written in findings; `(document)` for the whole document.
    pub fn path(&self) -> &str {
        if self.path.is_empty() {
            "(document)"
        } else {
            &self.path
        }
    }

    /// Returns the value if it is present. `null` counts as absent.
    pub fn value(&self) -> Option<&'a Value> {
        self.value.filter(|value| !value.is_null())
    }

    /// Returns a reader of an object's field.
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

    /// Returns a reader for each item of an array, and no readers if the value is absent.
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

    /// Reads a required string, which must not be empty.
    pub fn string(&self, findings: &mut Findings) -> String {
        match self.value().map(Value::as_str) {
            Some(Some(text)) if !text.is_empty() => text.to_owned(),
            Some(Some(_)) => self.fault("must not be empty", findings),
            Some(None) => self.fault("must be a string", findings),
            None => self.fault("is missing", findings),
        }
    }

    /// Reads an optional string. A present string must not be empty.
    pub fn optional_string(&self, findings: &mut Findings) -> Option<String> {
        self.value().map(|_| self.string(findings))
    }

    /// Reads a required non-negative integer.
    pub fn integer(&self, findings: &mut Findings) -> u64 {
        match self.value().map(Value::as_u64) {
            Some(Some(number)) => number,
            Some(None) => self.fault("must be a whole number, 0 or more", findings),
            None => self.fault("is missing", findings),
        }
    }

    /// Reads a non-negative integer, or returns `default` if the value is absent.
    pub fn integer_or(&self, default: u64, findings: &mut Findings) -> u64 {
        if self.value().is_some() {
            self.integer(findings)
        } else {
            default
        }
    }

    /// Reads a non-negative number, or returns `default` if the value is absent.
    pub fn number_or(&self, default: f64, findings: &mut Findings) -> f64 {
        match self.value().map(Value::as_f64) {
            Some(Some(number)) if number >= 0.0 => number,
            Some(_) => self.fault("must be a number, 0 or more", findings),
            None => default,
        }
    }

    /// Reads a boolean, or returns `default` if the value is absent.
    pub fn bool_or(&self, default: bool, findings: &mut Findings) -> bool {
        match self.value().map(Value::as_bool) {
            Some(Some(flag)) => flag,
            Some(None) => self.fault("must be true or false", findings),
            None => default,
        }
    }

    /// Adds a finding and returns the default value of the type.
    fn fault<T: Default>(&self, problem: &str, findings: &mut Findings) -> T {
        findings.add(self.path(), problem);
        T::default()
    }
}
